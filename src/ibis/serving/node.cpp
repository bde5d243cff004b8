#include "ibis/serving/node.hpp"

#include <optional>  // for optional
#include <variant>   // for visit
#include <vector>    // for vector

#include "ibis/serving/account_quota.hpp"       // for on_quota_requested
#include "ibis/serving/attempt.hpp"             // for find_pending_request
#include "ibis/serving/connections.hpp"         // for maintain_connections
#include "ibis/serving/evacuations.hpp"         // for knows_evacuations
#include "ibis/serving/holders.hpp"             // for update_holders
#include "ibis/serving/leaf_events.hpp"         // for on_leaf_answered
#include "ibis/serving/node_records.hpp"        // for on_nodes_counted
#include "ibis/serving/peer_replies.hpp"        // for on_peer_query
#include "ibis/serving/pending_request.hpp"     // for on_request
#include "ibis/serving/registry.hpp"            // for remove_expired_leafs
#include "ibis/serving/request_completion.hpp"  // for answer_with_what_is_ready
#include "ibis/serving/shard_replies.hpp"       // for on_shards_requested
#include "ibis/serving/shard_requests.hpp"      // for on_shards_replied
#include "ibis/serving/store_follower.hpp"      // for start_following
#include "ibis/serving/store_probe.hpp"         // for on_probe_due, on_store_probed

namespace ibis::serving {
namespace {

/// Period of maintenance until the node has routing data and warm connections.
constexpr base::milliseconds warm_up_period{60};

void add_maintenance(context& ctx) {
  const bool warming =
      !has_routing_data(ctx.node) || !has_warm_connections(ctx.node, ctx.now);
  const base::milliseconds period =
      warming ? warm_up_period : ctx.node.settings.leafs.maintenance_period;
  ctx.add_timer(ctx.now + period, timer_kind::maintenance);
}

/// Answers all requests that have no answer yet, since the process must exit.
/// @return Their number.
std::size_t answer_unfinished_requests(context& ctx) {
  std::vector<base::caller_id> callers;
  for (const auto& [caller, pending] : ctx.node.pending_requests) {
    callers.push_back(caller);
  }
  for (const base::caller_id caller : callers) {
    if (pending_request* pending = find_pending_request(caller, ctx)) {
      answer_with_what_is_ready(*pending, "stopping", ctx);
    }
  }
  return callers.size();
}

void finish_stop(context& ctx) {
  ctx.node.stop.finished = true;
  reject_quota_requests(ctx);
  const std::size_t unfinished = answer_unfinished_requests(ctx);
  ctx.log("stopped", {{"unfinished", std::to_string(unfinished)}}, unfinished > 0);
  ctx.out.emplace_back(finish_process{ctx.node.pending_requests.size()});
}

void on_stop_requested(context& ctx) {
  stop_state& stop = ctx.node.stop;
  if (stop.requested) {
    return;
  }
  stop.requested = true;
  stop.requested_at = ctx.now;
  ctx.log("stop_requested",
          {{"in_flight", std::to_string(ctx.node.pending_requests.size())}});
  ctx.add_timer(ctx.now + ctx.node.settings.stop.accept_for,
                timer_kind::stop_accepting);
  reply_to_waiting_peers(ctx);
  resign_accounts(ctx);
}

void on_stop_accepting(context& ctx) {
  ctx.node.stop.accepting = false;
  ctx.node.stop.accept_ended_at = ctx.now;
  ctx.out.emplace_back(stop_accepting{});
  ctx.out.emplace_back(unregister_node{});
  ctx.add_timer(ctx.now, timer_kind::stop_check);
}

void on_stop_check(context& ctx) {
  const stop_settings& settings = ctx.node.settings.stop;
  const bool limit_reached = ctx.now - ctx.node.stop.requested_at >= settings.limit;
  const bool linger_over = ctx.now - ctx.node.stop.accept_ended_at >= settings.linger;
  const bool idle = ctx.node.pending_requests.empty() && ctx.node.quota_waiting.empty();
  if ((idle && linger_over) || limit_reached) {
    finish_stop(ctx);
    return;
  }
  ctx.add_timer(ctx.now + settings.check_period, timer_kind::stop_check);
}

void on_peer_lost(const std::string& name, context& ctx) {
  avoid_holder(name, ctx.node.settings.holders.backoff, ctx);
  retry_calls_of(name, ctx);
  cancel_requests_of(name, ctx);
}

/// Replaces the settings. Which topics are followed stays the same until a restart.
void change_settings(const node_settings& settings, context& ctx) {
  const bool follow_evacuations = ctx.node.settings.store.follow_evacuations;
  ctx.node.settings = settings;
  ctx.node.settings.store.follow_evacuations = follow_evacuations;
  if (settings.store.follow_evacuations != follow_evacuations) {
    ctx.log("evacuations_need_restart",
            {{"followed", follow_evacuations ? "true" : "false"}}, true);
  }
}

void on_maintenance(context& ctx) {
  if (ctx.node.holders_outdated) {
    ctx.node.holders_outdated = false;
    update_holders(ctx);
  }
  maintain_connections(ctx);
  connect_holders(ctx);
  add_maintenance(ctx);
}

void on_timer(const timer& due, context& ctx) {
  switch (due.kind) {
    case timer_kind::maintenance:
      on_maintenance(ctx);
      break;
    case timer_kind::remove_expired:
      remove_expired_leafs(ctx);
      break;
    case timer_kind::count_nodes:
      on_count_due(due, ctx);
      break;
    case timer_kind::write_record:
      on_write_record_due(due, ctx);
      break;
    case timer_kind::probe_store:
      on_probe_due(ctx);
      break;
    case timer_kind::peer_wait:
      on_peer_wait_due(ctx);
      break;
    case timer_kind::stale_listing_caught_up:
    case timer_kind::store_call:
    case timer_kind::store_retry:
      on_store_timer(due, ctx);
      break;
    case timer_kind::progress_reply:
      on_progress_due({due.subject}, ctx);
      break;
    case timer_kind::holder_silent:
      on_holder_silent({due.subject}, ctx);
      break;
    case timer_kind::quota:
      on_quota_due(ctx);
      break;
    case timer_kind::stop_accepting:
      on_stop_accepting(ctx);
      break;
    case timer_kind::stop_check:
      on_stop_check(ctx);
      break;
    default:
      on_request_timer(due, ctx);
      break;
  }
}

/// Passes each event to its handler.
struct dispatcher {
  context& ctx;  // NOLINT(*-avoid-const-or-ref-data-members)

  void operator()(const request_arrived& event) const { on_request(event, ctx); }
  void operator()(const caller_disconnected& event) const {
    on_caller_disconnected(event.caller, ctx);
  }
  void operator()(const connection_opened& event) const {
    on_connection_opened(event.connection, ctx);
  }
  void operator()(const connection_failed& event) const {
    on_connection_failed(event, ctx);
  }
  void operator()(const connection_lost& event) const {
    on_connection_lost(event, ctx);
  }
  void operator()(const leaf_answered& event) const { on_leaf_answered(event, ctx); }
  void operator()(const topic_listed& event) const { on_topic_listed(event, ctx); }
  void operator()(const topic_changed& event) const { on_topic_changed(event, ctx); }
  void operator()(const store_call_failed& event) const {
    on_store_call_failed(event, ctx);
  }
  void operator()(const nodes_counted& event) const { on_nodes_counted(event, ctx); }
  void operator()(const node_count_failed& /*event*/) const {
    on_node_count_failed(ctx);
  }
  void operator()(const node_record_written& event) const {
    on_node_record_written(event, ctx);
  }
  void operator()(const peer_query_received& event) const { on_peer_query(event, ctx); }
  void operator()(const peer_replied& event) const { on_peer_reply(event, ctx); }
  void operator()(const shards_requested& event) const {
    on_shards_requested(event, ctx);
  }
  void operator()(const shards_replied& event) const { on_shards_replied(event, ctx); }
  void operator()(const shards_cancelled& event) const {
    on_shards_cancelled(event, ctx);
  }
  void operator()(const shards_undeliverable& event) const {
    on_shards_undeliverable(event, ctx);
  }
  void operator()(const quota_requested& event) const {
    on_quota_requested(event, ctx);
  }
  void operator()(const quota_granted& event) const { on_quota_granted(event, ctx); }
  void operator()(const quota_undeliverable& event) const {
    on_quota_undeliverable(event, ctx);
  }
  void operator()(const peer_lost& event) const { on_peer_lost(event.node, ctx); }
  void operator()(const store_probed& event) const { on_store_probed(event, ctx); }
  void operator()(const settings_changed& event) const {
    change_settings(event.settings, ctx);
  }
  void operator()(const stop_requested& /*event*/) const { on_stop_requested(ctx); }
  void operator()(const tick& /*event*/) const {
    while (const auto due = ctx.node.timers.pop_due(ctx.now)) {
      on_timer(*due, ctx);
    }
  }
};

/// @return Where the ids of a process start, so that they differ from those of other
/// processes. The highest bit stays free.
std::uint64_t first_id(std::uint32_t random_seed) {
  constexpr unsigned shift = 31;
  return std::uint64_t{random_seed} << shift;
}

}  // namespace

double random_fraction(node_state& node) {
  const double range = 1.0 + std::minstd_rand::max() - std::minstd_rand::min();
  return static_cast<double>(node.random() - std::minstd_rand::min()) / range;
}

node_state make_node(const node_settings& settings, std::uint32_t random_seed) {
  node_state node;
  node.settings = settings;
  node.random.seed(random_seed);
  // Other nodes may still reply to calls from before this process started.
  node.last_id = first_id(random_seed);
  for (topic_state& topic : node.topics) {
    topic.call_serial = node.last_id;
  }
  return node;
}

effects start(node_state& node, base::time_point now) {
  effects out;
  context ctx{now, node, out};
  node.started_at = now;
  start_following(ctx);
  start_counting(ctx);
  ctx.add_timer(now + node.settings.store.probe_period, timer_kind::probe_store);
  add_maintenance(ctx);
  return out;
}

effects reduce(node_state& node, const event& value, base::time_point now) {
  effects out;
  context ctx{now, node, out};
  std::visit(dispatcher{ctx}, value);
  return out;
}

std::optional<base::time_point> next_tick(const node_state& node) {
  return node.timers.next_due();
}

readiness check_readiness(const node_state& node, base::time_point now) {
  if (node.stop.requested) {
    return {false, "stopping"};
  }
  if (!node.configuration) {
    return {false, "no configuration"};
  }
  if (!knows_evacuations(node)) {
    return {false, "no evacuations listed"};
  }
  if (!has_routing_data(node)) {
    return {false, "no leafs listed"};
  }
  const bool waited = now - node.started_at >= node.settings.max_warm_up_wait;
  if (!waited && !has_warm_connections(node, now)) {
    return {false, "connections are warming up"};
  }
  return {true, ""};
}

}  // namespace ibis::serving
