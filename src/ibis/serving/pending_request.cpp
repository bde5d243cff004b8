#include "ibis/serving/pending_request.hpp"

#include <algorithm>  // for any_of, clamp, max, min
#include <memory>     // for make_shared
#include <numeric>    // for iota
#include <utility>    // for move

#include "ibis/access/authorize.hpp"            // for authorize
#include "ibis/serving/account_quota.hpp"       // for admit_by_quota
#include "ibis/serving/attempt.hpp"             // for dispatch, answer_if_ready
#include "ibis/serving/connection_quota.hpp"    // for service_budget
#include "ibis/serving/evacuations.hpp"         // for knows_evacuations
#include "ibis/serving/leaf_choice.hpp"         // for choose_leaf
#include "ibis/serving/leaf_events.hpp"         // for on_connection_timer
#include "ibis/serving/request_completion.hpp"  // for refuse_request, reject_request
#include "ibis/serving/request_cost.hpp"        // for set_expected_cost
#include "ibis/serving/shard_requests.hpp"      // for ask_holders
#include "ibis/serving/view_age.hpp"            // for view_age
#include "ibis/serving/waiting_tasks.hpp"  // for on_leaf_capacity, refuse_if_out_of_time

namespace ibis::serving {
namespace {

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
/// A request that was sent to no leaf is refused after this fraction of its objective.
constexpr int first_send_divisor = 4;
/// Retry delay while this node is stopping, in which case another node takes the
/// request.
constexpr base::milliseconds stopping_retry_after{50};
/// Retry delay while this node has not loaded its routes yet.
constexpr base::milliseconds starting_retry_after{300};
/// Retry delay while this node's view of the configuration is too old to judge a key.
/// Short, since any other node may know the key.
constexpr base::milliseconds outdated_view_retry_after{100};
/// Successive multiples of it, modulo 1, are spread evenly over [0, 1).
constexpr double golden_ratio = 0.6180339887498949;

base::duration scale(base::milliseconds whole, double share) {
  return std::chrono::duration_cast<base::duration>(whole * share);
}

/// Sets the latency that is typical of the route now, and the delay after which an
/// unanswered task is late.
void set_latency_expectations(pending_request& pending, context& ctx) {
  constexpr double median = 0.5;
  const hedge_settings& settings = ctx.node.settings.hedge;
  const base::milliseconds objective = pending.route->objective;
  const policy::latency_window& window =
      ctx.node.statistics[pending.route->name].part_latency;
  const base::duration latest = scale(objective, settings.latest_share);
  const base::duration late = window.quantile(settings.quantile, latest);
  pending.hedge_delay =
      std::clamp(late, scale(objective, settings.earliest_share), latest);
  pending.latency_measured =
      window.quantile(median, base::duration(0)) > base::duration(0);
  pending.typical_latency =
      window.quantile(median, scale(objective, settings.default_latency_share));
}

std::vector<task_state> make_tasks(const pending_request& pending, context& ctx) {
  std::vector<task_state> tasks;
  const route& matched = *pending.route;
  if (matched.shape == route_shape::fan_out) {
    for (const std::string& shard : matched.shards) {
      tasks.emplace_back().service = shard;
    }
    return tasks;
  }
  double& position = ctx.node.statistics[pending.route->name].split_position;
  position += golden_ratio;
  position -= position >= 1.0 ? 1.0 : 0.0;
  tasks.emplace_back().service = choose_target(matched, position);
  return tasks;
}

/// @return How long this node may take so that the answer reaches its client within the
/// route's objective.
base::milliseconds answer_time_budget(const route& matched, bool new_connection,
                                      context& ctx) {
  const node_settings& settings = ctx.node.settings;
  base::milliseconds margin = settings.travel_margin;
  if (new_connection) {
    margin += settings.connect_margin;
  }
  return std::max(base::milliseconds(1), matched.objective - margin);
}

void add_request_timers(const pending_request& pending, context& ctx) {
  const base::milliseconds objective = pending.route->objective;
  const std::uint64_t subject = pending.caller.value;
  ctx.add_timer(pending.effective_deadline, timer_kind::deadline, subject);
  ctx.add_timer(pending.arrived + objective / first_send_divisor,
                timer_kind::first_send_deadline, subject);
  if (pending.route->shape == route_shape::fan_out) {
    ctx.add_timer(pending.objective_deadline, timer_kind::objective_deadline, subject);
  }
}

/// Counts the first send of a task, or spends an extra request if another node may have
/// sent it before.
/// @return Whether the task may be sent.
bool admit_task(const pending_request& pending, const task_state& task, context& ctx) {
  extra_budget& budget = ctx.node.services[task.service].budget;
  const extra_budget_settings settings =
      service_budget(ctx.node, task.service, ctx.now);
  if (pending.remote && pending.remote->sent_before > 0) {
    const bool admitted = budget.try_spend(ctx.now, settings);
    ctx.node.count.budget_refusals += admitted ? 0 : 1;
    return admitted;
  }
  budget.count_request(ctx.now, settings);
  return true;
}

/// @return The indices of the tasks that this node sends to leafs itself.
std::vector<std::size_t> delegate_tasks(pending_request& pending, context& ctx) {
  if (pending.route->shape == route_shape::fan_out && !pending.remote) {
    return ask_holders(pending, ctx);
  }
  std::vector<std::size_t> all(pending.tasks.size());
  std::iota(all.begin(), all.end(), std::size_t{0});
  return all;
}

void start_tasks(pending_request& pending, context& ctx) {
  if (refuse_if_out_of_time(pending, ctx)) {
    return;
  }
  for (const std::size_t shard : delegate_tasks(pending, ctx)) {
    task_state& task = pending.tasks[shard];
    if (pending.remote) {
      apply_allowed_leafs(pending, shard, ctx);
    }
    if (!admit_task(pending, task, ctx) || !dispatch(pending, shard, ctx)) {
      give_up_task(pending, task);
    }
  }
  add_request_timers(pending, ctx);
  answer_if_ready(pending, ctx);
}

void on_hedge_timer(const timer& due, context& ctx) {
  pending_request* pending = find_pending_request({due.subject}, ctx);
  if (pending == nullptr || !pending->route->idempotent) {
    return;
  }
  const std::size_t shard = due.detail;
  task_state& task = pending->tasks[shard];
  const bool connecting = task.active_connections.empty() && task.opening == 1;
  const bool unanswered = task.active_connections.size() == 1 && task.opening == 0;
  if (task.done || task.waiting || task.sent >= max_sends ||
      !(connecting || unanswered)) {
    return;
  }
  const leaf_choice choice =
      choose_leaf(task, requirements_of(*pending, true, ctx), ctx);
  if (choice.result != selection_result::found) {
    ctx.add_timer(ctx.now + ctx.node.settings.hedge.recheck, timer_kind::hedge,
                  due.subject, shard);
    return;
  }
  if (unanswered && postpones_hedge(*pending, task, *choice.leaf, ctx)) {
    ++ctx.node.count.hedges_postponed;
    ctx.add_timer(ctx.now + ctx.node.settings.hedge.recheck, timer_kind::hedge,
                  due.subject, shard);
    return;
  }
  extra_budget& budget = ctx.node.services[task.service].budget;
  if (task.sent > 0 &&
      !budget.try_spend(ctx.now, service_budget(ctx.node, task.service, ctx.now))) {
    ++ctx.node.count.budget_refusals;
    return;
  }
  task.hedged = unanswered;
  ++ctx.node.count.hedges;
  log_attempt("hedged", *pending, shard, *choice.leaf, "late", ctx);
  dispatch_to(*pending, shard, choice.leaf, ctx);
}

void on_first_send_deadline(base::caller_id caller, context& ctx) {
  pending_request* pending = find_pending_request(caller, ctx);
  if (pending == nullptr) {
    return;
  }
  const bool sent = std::any_of(pending->tasks.begin(), pending->tasks.end(),
                                [](const task_state& task) { return task.sent > 0; });
  if (!sent) {
    answer_failure(*pending, "no_connection", ctx);
  }
}

void on_deadline(base::caller_id caller, context& ctx) {
  pending_request* pending = find_pending_request(caller, ctx);
  if (pending == nullptr) {
    return;
  }
  answer_timeout(*pending, ctx);
}

void on_objective_deadline(base::caller_id caller, context& ctx) {
  pending_request* pending = find_pending_request(caller, ctx);
  if (pending == nullptr) {
    return;
  }
  pending->objective_passed = true;
  answer_if_ready(*pending, ctx);
}

/// Whether a request that arrives now may be unfinished when the process must exit.
/// While load balancers may not have noticed the stop, it is served as far as possible.
bool may_outlast_stop(base::milliseconds timeout, const context& ctx) {
  const stop_state& stop = ctx.node.stop;
  return stop.requested && !stop.accepting &&
         ctx.now + timeout > stop.requested_at + ctx.node.settings.stop.limit;
}

/// @return The request with the header fields about access keys and accounts in its
/// head, where a configuration without accounts has them.
inbound_request_ptr with_access_fields(const inbound_request_ptr& received) {
  if (received->access_fields.empty()) {
    return received;
  }
  auto request = std::make_shared<inbound_request>(*received);
  request->head += request->access_fields;
  return request;
}

/// Sets a request's account, or answers it if its access key does not allow it.
/// @return Whether the request may be served.
bool authorize_request(pending_request& pending, context& ctx) {
  const auto& accounts = pending.configuration->accounts;
  if (!accounts) {
    pending.request = with_access_fields(pending.request);
    return true;
  }
  const inbound_request& request = *pending.request;
  const topic_state& view =
      ctx.node.topics[static_cast<std::size_t>(store_topic::configuration)];
  const access::access_decision decision = access::authorize(
      *accounts,
      {pending.route->allow_anonymous, request.access_key, view_age(view, ctx.now)},
      ctx.node.settings.access);
  switch (decision.result) {
    case access::access_result::account:
      pending.account = decision.account->name;
      pending.priority = decision.account->priority.value_or(pending.route->priority);
      ctx.node.count.accounts.add(pending.account);
      return true;
    case access::access_result::anonymous:
      return true;
    case access::access_result::view_too_old:
      ++ctx.node.count.outdated_views;
      refuse_request(pending.caller, request, outdated_view_retry_after,
                     "configuration_outdated", ctx);
      return false;
    case access::access_result::unknown_key:
      break;
  }
  ++ctx.node.count.unknown_keys;
  reject_request(pending.caller, request, status_unauthorized,
                 request.access_key ? "unknown access key" : "no access key", ctx);
  return false;
}

}  // namespace

void start_request(pending_request&& pending, context& ctx) {
  set_latency_expectations(pending, ctx);
  pending.key = request_key(pending.request->id);
  set_expected_cost(pending, ctx);
  pending.tasks = make_tasks(pending, ctx);
  const base::caller_id caller = pending.caller;
  const auto inserted = ctx.node.pending_requests.emplace(caller, std::move(pending));
  start_tasks(inserted.first->second, ctx);
}

void on_request(const request_arrived& event, context& ctx) {
  ++ctx.node.count.requests;
  const inbound_request& request = *event.request;
  if (ctx.node.stop.finished) {
    refuse_request(event.caller, request, stopping_retry_after, "stopping", ctx);
    return;
  }
  if (!ctx.node.configuration) {
    refuse_request(event.caller, request, starting_retry_after, "no_configuration",
                   ctx);
    return;
  }
  if (!knows_evacuations(ctx.node)) {
    refuse_request(event.caller, request, starting_retry_after, "no_evacuations", ctx);
    return;
  }
  if (request.id.empty()) {
    reject_request(event.caller, request, status_bad_request, "the request has no id",
                   ctx);
    return;
  }
  const route* matched =
      find_route(*ctx.node.configuration, request.host, request.target);
  if (matched == nullptr) {
    reject_request(event.caller, request, status_not_found, "no route matches", ctx);
    return;
  }
  const base::milliseconds deadline =
      request.deadline.value_or(ctx.node.settings.default_timeout);
  const base::milliseconds timeout = std::min(deadline, matched->timeout);
  if (may_outlast_stop(timeout, ctx)) {
    refuse_request(event.caller, request, stopping_retry_after, "stopping", ctx);
    return;
  }
  pending_request pending;
  pending.caller = event.caller;
  pending.request = event.request;
  pending.configuration = ctx.node.configuration;
  pending.route = matched;
  pending.priority = matched->priority;
  pending.arrived = ctx.now;
  pending.deadline = ctx.now + deadline;
  pending.effective_deadline = ctx.now + timeout;
  pending.objective_deadline =
      ctx.now + answer_time_budget(*matched, event.first_on_connection, ctx);
  if (authorize_request(pending, ctx)) {
    admit_by_quota(std::move(pending), ctx);
  }
}

void on_caller_disconnected(base::caller_id caller, context& ctx) {
  pending_request* pending = find_pending_request(caller, ctx);
  if (pending == nullptr) {
    forget_quota_request(caller, ctx);
    return;
  }
  const base::time_point limit = ctx.now + ctx.node.settings.leafs.abandon_delay;
  for (const task_state& task : pending->tasks) {
    for (const base::connection_id id : task.active_connections) {
      ctx.add_timer(limit, timer_kind::abandoned_attempt, id.value,
                    ctx.node.connections.at(id).serial);
    }
  }
  ctx.log("caller_left", {{"request", pending->request->id},
                          {"route", pending->route->name},
                          {"parts", std::to_string(pending->parts)}});
  if (!pending->remote) {
    ctx.out.emplace_back(record_request_end{pending->route->name, outcome::abandoned,
                                            ctx.now - pending->arrived});
  }
  remove_request(caller, ctx);
}

void on_request_timer(const timer& due, context& ctx) {
  switch (due.kind) {
    case timer_kind::hedge:
      on_hedge_timer(due, ctx);
      break;
    case timer_kind::objective_deadline:
      on_objective_deadline({due.subject}, ctx);
      break;
    case timer_kind::first_send_deadline:
      on_first_send_deadline({due.subject}, ctx);
      break;
    case timer_kind::deadline:
      on_deadline({due.subject}, ctx);
      break;
    case timer_kind::late_answer_limit:
    case timer_kind::abandoned_attempt:
      on_connection_timer(due, ctx);
      break;
    case timer_kind::leaf_capacity:
      on_leaf_capacity({due.subject}, ctx);
      break;
    case timer_kind::connect_deadline:
      on_connect_deadline({due.subject}, ctx);
      break;
    default:
      break;
  }
}

}  // namespace ibis::serving
