#include "ibis/serving/account_quota.hpp"

#include <algorithm>  // for clamp, find_if, min
#include <cmath>      // for isfinite
#include <map>        // for map
#include <set>        // for set
#include <utility>    // for move

#include "ibis/serving/pending_request.hpp"     // for start_request
#include "ibis/serving/request_completion.hpp"  // for refuse_request

namespace ibis::serving {
namespace {

constexpr unsigned status_too_many = 429;
/// A request waits for a token for this part of its route's objective: 20 ms of the
/// shortest, 120 ms, while messages between nodes take up to 10 ms both ways.
constexpr int wait_divisor = 6;
constexpr base::milliseconds max_wait{250};
/// Longest time that is accepted from another node.
constexpr base::milliseconds max_granted_time = std::chrono::hours(1);
constexpr base::milliseconds stopping_retry_after{50};

std::map<std::string, quota::rate_limit> read_limits(const catalog& config) {
  std::map<std::string, quota::rate_limit> limits;
  if (config.accounts) {
    for (const access::account& account : config.accounts->accounts) {
      if (std::isfinite(account.rate_per_s) && account.rate_per_s > 0) {
        limits.try_emplace(account.name,
                           quota::rate_limit{account.rate_per_s, account.burst});
      }
    }
  }
  return limits;
}

wire::quota_request to_wire(quota::token_request&& request) {
  return {std::move(request.account),
          request.serial,
          static_cast<std::uint8_t>(request.kind),
          request.wanted,
          request.urgent,
          request.returned,
          request.returned_grant,
          request.used_locally,
          request.version};
}

quota::token_request from_wire(const wire::quota_request& request) {
  return {request.account,
          request.serial,
          static_cast<quota::request_kind>(request.kind),
          request.wanted,
          request.urgent,
          request.returned,
          request.returned_grant,
          request.used_locally,
          request.version};
}

wire::quota_grant to_wire(quota::token_grant&& grant) {
  return {std::move(grant.account), grant.serial,      grant.tokens,
          grant.validity,           grant.retry_after, grant.version,
          std::move(grant.owner),   grant.released,    grant.contended};
}

quota::token_grant from_wire(const wire::quota_grant& grant) {
  const auto bounded = [](base::milliseconds value) {
    return std::clamp(value, base::milliseconds(0), max_granted_time);
  };
  return {grant.account,
          grant.serial,
          grant.tokens,
          bounded(grant.validity),
          bounded(grant.retry_after),
          grant.version,
          grant.owner,
          grant.released,
          grant.contended};
}

/// @return A node's address, which is unknown if the node joined just now.
peer find_peer(const node_state& node, const std::string& name) {
  const auto found =
      std::find_if(node.peers.begin(), node.peers.end(),
                   [&name](const peer& other) { return other.node == name; });
  return found == node.peers.end() ? peer{name, "", ""} : *found;
}

void reject_over_limit(const pending_request& pending, const quota::decision& decision,
                       context& ctx) {
  ctx.log("request_over_limit",
          {{"request", pending.request->id},
           {"account", pending.account},
           {"reason", decision.reason},
           {"retry_after_ms", std::to_string(decision.retry_after.count())}},
          true);
  ctx.out.emplace_back(record_request_end{pending.route->name, outcome::not_run,
                                          ctx.now - pending.arrived});
  caller_answer answer;
  answer.status = status_too_many;
  answer.retry_after = decision.retry_after;
  answer.body = "the account's rate limit is reached";
  answer.close = ctx.node.stop.requested;
  ctx.out.emplace_back(answer_caller{pending.caller, std::move(answer)});
}

void apply(const quota::decision& decision, context& ctx) {
  const auto found = ctx.node.quota_waiting.find(base::caller_id{decision.request});
  if (found == ctx.node.quota_waiting.end()) {
    return;
  }
  pending_request pending = std::move(found->second);
  ctx.node.quota_waiting.erase(found);
  if (decision.admitted) {
    start_request(std::move(pending), ctx);
  } else {
    reject_over_limit(pending, decision, ctx);
  }
}

void carry_out(quota::output&& out, context& ctx) {
  for (auto& sent : out.requests) {
    ctx.out.emplace_back(request_quota{find_peer(ctx.node, sent.node),
                                       to_wire(std::move(sent.message))});
  }
  for (auto& sent : out.grants) {
    ctx.out.emplace_back(grant_quota{sent.node, to_wire(std::move(sent.message))});
  }
  for (const quota::notice& notice : out.notices) {
    ctx.log(notice.name, {{"account", notice.account}, {"node", notice.node}});
  }
  for (const base::time_point due : out.wake_at) {
    if (ctx.node.quota_dues.insert(due).second) {
      ctx.add_timer(due, timer_kind::quota);
    }
  }
  for (const quota::decision& decision : out.decisions) {
    apply(decision, ctx);
  }
}

/// Applies the limits of the configuration in force.
/// @return Whether any account is limited.
bool update_limits(context& ctx) {
  node_state& node = ctx.node;
  if (!node.settings.quota || !node.configuration) {
    return false;
  }
  if (node.quota.view.self.empty()) {
    node.quota.view.self = node.settings.node;
    node.quota.view.first_start = node.settings.first_start;
    node.quota.view.joined_at = node.started_at;
  }
  const bool same_bound = node.quota.bound == *node.settings.quota;
  if (node.quota_configuration != node.configuration || !same_bound) {
    node.quota_configuration = node.configuration;
    node.quota.bound = *node.settings.quota;
    quota::output out;
    quota::configure(node.quota, node.configuration->version,
                     read_limits(*node.configuration), ctx.now, out);
    carry_out(std::move(out), ctx);
  }
  return !node.quota.accounts.empty();
}

/// Logs the accounts with requests, so that their sum over all nodes can be worked out
/// from the nodes' logs.
void log_accounts(context& ctx) {
  for (const auto& [name, state] : ctx.node.quota.accounts) {
    if (state.count.admitted + state.count.refused > 0) {
      ctx.log("quota_account",
              {{"account", name},
               {"owner", state.candidates.empty() ? "" : state.candidates.front()},
               {"admitted", std::to_string(state.count.admitted)},
               {"early", std::to_string(state.count.admitted_early)},
               {"locally", std::to_string(state.count.admitted_locally)},
               {"refused", std::to_string(state.count.refused)},
               {"undecided", std::to_string(state.count.undecided)}});
    }
  }
}

}  // namespace

void admit_by_quota(pending_request&& pending, context& ctx) {
  const bool limited = !pending.account.empty() && update_limits(ctx) &&
                       ctx.node.quota.accounts.contains(pending.account);
  if (!limited) {
    start_request(std::move(pending), ctx);
    return;
  }
  const std::string account = pending.account;
  const base::caller_id caller = pending.caller;
  const auto time_left = std::chrono::duration_cast<base::milliseconds>(
      pending.effective_deadline - ctx.now);
  const base::milliseconds wait = std::min(
      {pending.route->objective / wait_divisor, time_left / wait_divisor, max_wait});
  ctx.node.quota_waiting.insert_or_assign(caller, std::move(pending));
  quota::output out;
  quota::decide(ctx.node.quota, account, caller.value, wait, ctx.now, out);
  carry_out(std::move(out), ctx);
}

bool forget_quota_request(base::caller_id caller, context& ctx) {
  if (ctx.node.quota_waiting.empty()) {
    return false;
  }
  const auto found = ctx.node.quota_waiting.find(caller);
  if (found == ctx.node.quota_waiting.end()) {
    return false;
  }
  ctx.out.emplace_back(record_request_end{found->second.route->name, outcome::abandoned,
                                          ctx.now - found->second.arrived});
  ctx.node.quota_waiting.erase(found);
  quota::forget(ctx.node.quota, caller.value);
  return true;
}

void update_quota_nodes(bool self_counted, context& ctx) {
  if (!ctx.node.settings.quota) {
    return;
  }
  update_limits(ctx);
  std::vector<std::string> names;
  names.reserve(ctx.node.peers.size());
  for (const peer& other : ctx.node.peers) {
    names.push_back(other.node);
  }
  quota::output out;
  quota::on_nodes(ctx.node.quota, names, self_counted, ctx.now, out);
  carry_out(std::move(out), ctx);
  log_accounts(ctx);
}

void on_quota_requested(const quota_requested& event, context& ctx) {
  if (!update_limits(ctx) || event.request.kind >= quota::request_kind_count) {
    return;
  }
  quota::output out;
  quota::on_request(ctx.node.quota, event.node, from_wire(event.request), ctx.now, out);
  carry_out(std::move(out), ctx);
}

void on_quota_granted(const quota_granted& event, context& ctx) {
  if (!update_limits(ctx)) {
    return;
  }
  quota::output out;
  quota::on_grant(ctx.node.quota, event.node, from_wire(event.grant), ctx.now, out);
  carry_out(std::move(out), ctx);
}

void on_quota_undeliverable(const quota_undeliverable& event, context& ctx) {
  if (!update_limits(ctx)) {
    return;
  }
  quota::output out;
  quota::on_undeliverable(ctx.node.quota, event.node, from_wire(event.request), ctx.now,
                          out);
  carry_out(std::move(out), ctx);
}

void on_quota_due(context& ctx) {
  std::set<base::time_point>& dues = ctx.node.quota_dues;
  dues.erase(dues.begin(), dues.upper_bound(ctx.now));
  quota::output out;
  quota::on_time(ctx.node.quota, ctx.now, out);
  carry_out(std::move(out), ctx);
}

void resign_accounts(context& ctx) {
  if (ctx.node.quota.accounts.empty()) {
    return;
  }
  quota::output out;
  quota::stop(ctx.node.quota, ctx.now, out);
  carry_out(std::move(out), ctx);
}

void reject_quota_requests(context& ctx) {
  const auto waiting = std::exchange(ctx.node.quota_waiting, {});
  for (const auto& [caller, pending] : waiting) {
    quota::forget(ctx.node.quota, caller.value);
    refuse_request(caller, *pending.request, stopping_retry_after, "stopping", ctx);
  }
}

}  // namespace ibis::serving
