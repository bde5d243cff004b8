#include "ibis/serving/node_records.hpp"

#include <algorithm>  // for clamp, max, min
#include <optional>   // for optional
#include <utility>    // for exchange, move

#include "ibis/serving/account_quota.hpp"     // for update_quota_nodes
#include "ibis/serving/backoff.hpp"           // for spread_backoff
#include "ibis/serving/connection_quota.hpp"  // for service_budget
#include "ibis/serving/holders.hpp"           // for update_holders
#include "ibis/serving/registry.hpp"          // for forget_leaving_notices
#include "ibis/serving/update_source.hpp"     // for forget_old_peer_failures

namespace ibis::serving {
namespace {

backoff_limits record_backoff(const node_state& node) {
  return {node.settings.store.record_backoff, node.settings.store.record_backoff_limit};
}

/// @return The time to the next count: shorter while the whole system starts and nodes
/// that joined since the last count may be many.
base::milliseconds next_count_delay(const node_state& node, base::time_point now) {
  const base::milliseconds period = node.settings.store.count_period;
  const bool starting = node.settings.first_start && now - node.started_at < period;
  return starting ? std::min(second_count_delay, period) : period;
}

/// Schedules the next count. Only the latest schedule is in force.
void schedule_count(base::milliseconds delay, context& ctx) {
  ctx.add_timer(ctx.now + delay, timer_kind::count_nodes, 0,
                ++ctx.node.records.count_serial);
}

void request_page(const std::string& after, context& ctx) {
  ctx.node.records.page_after = after;
  ctx.out.emplace_back(count_nodes{after, ctx.node.settings.store.list_timeout});
}

void start_count(context& ctx) {
  ctx.node.records.counting = true;
  ctx.node.records.counted = {};
  request_page("", ctx);
}

void write_record(context& ctx) {
  node_records_state& records = ctx.node.records;
  records.written_at = ctx.now;
  ++records.write_serial;
  ctx.out.emplace_back(register_node{ctx.node.settings.store.list_timeout});
}

/// Writes this node's record, which was not in a count, unless the count may be older
/// than the record.
void ensure_registered(context& ctx) {
  constexpr base::milliseconds max_count_age{5000};
  const std::optional<base::time_point>& written_at = ctx.node.records.written_at;
  const bool may_exist = written_at && ctx.now - *written_at < max_count_age;
  if (!may_exist && !ctx.node.stop.requested) {
    write_record(ctx);
  }
}

void append_page(nodes_counted& all, const nodes_counted& page) {
  all.count += page.count;
  all.self = all.self || page.self;
  all.peers.insert(all.peers.end(), page.peers.begin(), page.peers.end());
}

void forget_old_failures(context& ctx) {
  forget_old_peer_failures(ctx);
  const base::duration forget_after = ctx.node.settings.holders.backoff_limit;
  std::erase_if(ctx.node.holder_health, [&ctx, forget_after](const auto& entry) {
    return entry.second.avoid_until + forget_after <= ctx.now;
  });
  forget_leaving_notices(ctx);
}

/// Chooses from when on this node takes part in the slack.
base::time_point choose_slack_start(context& ctx) {
  const node_settings& settings = ctx.node.settings;
  // A new record is in the next count of each other node. Nodes that start together
  // count each other more often at first.
  const bool new_record = ctx.node.records.written_at.has_value();
  return new_record && !settings.first_start ? ctx.now + settings.store.count_period
                                             : ctx.now;
}

void note_visibility(bool self_counted, context& ctx) {
  std::optional<base::time_point>& slack_from = ctx.node.records.slack_from;
  if (!self_counted) {
    slack_from.reset();
  } else if (!slack_from) {
    slack_from = choose_slack_start(ctx);
  }
}

void replace_count(std::size_t nodes, context& ctx) {
  node_records_state& records = ctx.node.records;
  const base::duration window = ctx.node.settings.budget.window;
  std::erase_if(records.earlier, [&ctx, window](const earlier_count& value) {
    return ctx.now - value.replaced_at >= window;
  });
  const bool changed = nodes != ctx.node.nodes;
  if (changed && records.counted_before) {
    records.earlier.push_back({ctx.node.nodes, ctx.now});
  }
  records.counted_before = true;
  ctx.node.nodes = nodes;
}

/// Logs the budgets of which most is spent, so that the sum over all nodes can be
/// worked out from their logs.
void log_spent_budgets(context& ctx) {
  constexpr double logged_share = 0.5;
  for (auto& [name, service] : ctx.node.services) {
    const extra_budget_settings settings = service_budget(ctx.node, name, ctx.now);
    const std::uint32_t spent = service.budget.spent(ctx.now, settings);
    const double allowed = service.budget.allowed(ctx.now, settings);
    if (spent > 0 && spent >= logged_share * allowed) {
      ctx.log("extra_requests_spent", {{"service", name},
                                       {"spent", std::to_string(spent)},
                                       {"allowed", std::to_string(allowed)},
                                       {"nodes", std::to_string(ctx.node.nodes)}});
    }
  }
}

void apply_count(nodes_counted&& all, context& ctx) {
  // The store may have counted from a copy that is older than this node's record.
  const std::size_t others = all.self ? all.count - 1 : all.count;
  replace_count(others + 1, ctx);
  note_visibility(all.self, ctx);
  ctx.node.peers = std::move(all.peers);
  forget_old_failures(ctx);
  log_spent_budgets(ctx);
  update_quota_nodes(all.self, ctx);
  if (!all.self) {
    ensure_registered(ctx);
  }
  update_holders(ctx);
}

}  // namespace

std::size_t nodes_sharing_budget(const node_state& node, base::time_point now) {
  std::size_t most = node.nodes;
  for (const earlier_count& value : node.records.earlier) {
    if (now - value.replaced_at < node.settings.budget.window) {
      most = std::max(most, value.nodes);
    }
  }
  return most;
}

double usable_slack(const node_state& node, base::time_point now) {
  const auto& from = node.records.slack_from;
  if (!from) {
    return 0;
  }
  const double window = base::to_ms(node.settings.budget.window);
  return std::clamp(base::to_ms(now - *from) / window, 0.0, 1.0);
}

void start_counting(context& ctx) {
  start_count(ctx);
  schedule_count(second_count_delay, ctx);
}

void on_count_due(const timer& due, context& ctx) {
  const node_records_state& records = ctx.node.records;
  if (due.detail != records.count_serial) {
    return;
  }
  // Pages of a count that is still in progress must not be mixed with another's.
  if (!records.counting) {
    start_count(ctx);
  }
  schedule_count(next_count_delay(ctx.node, ctx.now), ctx);
}

void on_nodes_counted(const nodes_counted& page, context& ctx) {
  node_records_state& records = ctx.node.records;
  append_page(records.counted, page);
  if (page.next_page_after.empty()) {
    records.counting = false;
    records.count_failures = 0;
    apply_count(std::exchange(records.counted, {}), ctx);
    return;
  }
  if (page.next_page_after <= records.page_after) {
    ctx.log("node_count_does_not_advance",
            {{"after", records.page_after}, {"next", page.next_page_after}}, true);
    on_node_count_failed(ctx);
    return;
  }
  request_page(page.next_page_after, ctx);
}

void on_node_count_failed(context& ctx) {
  node_records_state& records = ctx.node.records;
  records.counting = false;
  records.counted = {};
  ++records.count_failures;
  schedule_count(
      spread_backoff(record_backoff(ctx.node), records.count_failures, ctx.node), ctx);
}

void on_store_restored(context& ctx) {
  // Nodes spread their counts, since all of them notice the restoration.
  constexpr base::milliseconds max_delay{1000};
  ctx.node.records.written_at.reset();
  const auto delay = std::chrono::duration_cast<base::milliseconds>(
      max_delay * random_fraction(ctx.node));
  schedule_count(delay, ctx);
}

void on_node_record_written(const node_record_written& event, context& ctx) {
  node_records_state& records = ctx.node.records;
  if (event.written) {
    records.write_failures = 0;
    return;
  }
  ++records.write_failures;
  const base::milliseconds delay =
      spread_backoff(record_backoff(ctx.node), records.write_failures, ctx.node);
  ctx.add_timer(ctx.now + delay, timer_kind::write_record, 0, records.write_serial);
}

void on_write_record_due(const timer& due, context& ctx) {
  const bool is_latest = due.detail == ctx.node.records.write_serial;
  if (is_latest && !ctx.node.stop.requested) {
    write_record(ctx);
  }
}

}  // namespace ibis::serving
