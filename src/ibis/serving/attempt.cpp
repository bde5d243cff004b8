#include "ibis/serving/attempt.hpp"

#include <algorithm>  // for any_of, find
#include <utility>    // for move

#include "ibis/serving/connection_quota.hpp"    // for service_budget
#include "ibis/serving/connections.hpp"         // for mark_busy, open_connection_to
#include "ibis/serving/leaf_subset.hpp"         // for choose_allowed_leafs
#include "ibis/serving/request_completion.hpp"  // for answer_merged
#include "ibis/serving/shard_replies.hpp"       // for reply_if_ready

namespace ibis::serving {
namespace {

/// @return An open connection on which the request can be sent at once, and was not
/// sent before. For a request that must not be executed twice, a connection that was
/// idle for long is not used if another can be opened.
std::optional<base::connection_id> usable_connection(const pending_request& pending,
                                                     const leaf_ptr& leaf,
                                                     context& ctx) {
  const auto idle = find_idle(ctx.node, *leaf, pending.key);
  if (!idle || pending.route->idempotent ||
      !can_open_connection(ctx.node, *leaf, ctx.now)) {
    return idle;
  }
  const connection_state& connection = ctx.node.connections.at(*idle);
  const bool fresh =
      ctx.now - connection.since <= ctx.node.settings.leafs.max_fresh_idle;
  return fresh ? idle : std::nullopt;
}

void enqueue_task(pending_request& pending, std::size_t shard, context& ctx) {
  task_state& task = pending.tasks[shard];
  task.waiting = true;
  ctx.node.services[task.service].waiting.push_back(
      {pending.caller, shard, pending.route->name, ctx.now});
}

void answer_single_if_ready(pending_request& pending, context& ctx) {
  const task_state& task = pending.tasks.front();
  if (!task.done) {
    return;
  }
  if (task.failure) {
    forward_leaf_answer(pending, task.failure, ctx);
    return;
  }
  answer_failure(pending, task.sent == 0 ? "no_leaf" : "attempts_failed", ctx);
}

void answer_fan_out_if_ready(pending_request& pending, context& ctx) {
  const std::size_t undecided = pending.tasks.size() - pending.parts - pending.given_up;
  const std::size_t needed = required_shards(*pending.route);
  if (pending.parts + undecided < needed) {
    answer_failure(pending, "too_few_shards", ctx);
    return;
  }
  const bool enough = pending.parts >= needed;
  if (undecided == 0 || (pending.objective_passed && enough)) {
    answer_merged(pending, ctx);
  }
}

}  // namespace

pending_request* find_pending_request(base::caller_id caller, context& ctx) {
  const auto found = ctx.node.pending_requests.find(caller);
  return found == ctx.node.pending_requests.end() ? nullptr : &found->second;
}

leaf_requirements requirements_of(const pending_request& pending, bool is_hedge,
                                  const context& ctx) {
  const bool late = ctx.now >= pending.objective_deadline;
  const base::time_point useful_until =
      late ? pending.effective_deadline : pending.objective_deadline;
  return {pending.key,
          pending.route->max_leafs,
          is_hedge,
          pending.typical_latency,
          useful_until - ctx.now,
          pending.expected};
}

void send(pending_request& pending, std::size_t shard, base::connection_id id,
          context& ctx) {
  task_state& task = pending.tasks[shard];
  const base::duration late_after = pending.hedge_delay;
  const base::time_point late_answer_limit =
      pending.effective_deadline + ctx.node.settings.leafs.late_answer_grace;
  mark_busy(id,
            {pending.caller, shard, pending.key, late_answer_limit,
             pending.typical_latency, late_after, pending.cost_class, pending.expected},
            ctx);
  const connection_state& connection = ctx.node.connections.at(id);
  const leaf_state& leaf = *connection.leaf;
  if (std::find(task.tried_leafs.begin(), task.tried_leafs.end(), leaf.key) ==
      task.tried_leafs.end()) {
    task.tried_leafs.push_back(leaf.key);
  }
  task.active_connections.push_back(id);
  const bool known = pending.expected > base::duration(0);
  ctx.node.account_use.charge(
      pending.account, known ? pending.expected : pending.typical_latency, ctx.now);
  if (task.sent == 0) {
    ctx.node.services[task.service].kinds.count_started(pending.route->name, ctx.now);
  }
  ++task.sent;
  ++ctx.node.count.sends;
  const auto remaining = std::chrono::duration_cast<base::milliseconds>(
      pending.effective_deadline - ctx.now);
  ctx.out.emplace_back(
      send_to_leaf{id, pending.request, leaf.record.id, remaining, pending.account});
  ctx.add_timer(ctx.now + late_after, timer_kind::hedge, pending.caller.value, shard);
  ctx.add_timer(late_answer_limit, timer_kind::late_answer_limit, id.value,
                connection.serial);
}

void dispatch_to(pending_request& pending, std::size_t shard, const leaf_ptr& leaf,
                 context& ctx) {
  if (const auto id = usable_connection(pending, leaf, ctx)) {
    send(pending, shard, *id, ctx);
    return;
  }
  make_room_for_connection(*leaf, ctx);
  ++pending.tasks[shard].opening;
  open_connection_to(leaf, pending.caller, shard, ctx);
  ctx.add_timer(ctx.now + pending.hedge_delay, timer_kind::hedge, pending.caller.value,
                shard);
}

bool dispatch(pending_request& pending, std::size_t shard, context& ctx) {
  task_state& task = pending.tasks[shard];
  const leaf_choice choice =
      choose_leaf(task, requirements_of(pending, false, ctx), ctx);
  if (choice.result == selection_result::none) {
    return false;
  }
  if (task.sent > 0) {
    extra_budget& budget = ctx.node.services[task.service].budget;
    if (!budget.try_spend(ctx.now, service_budget(ctx.node, task.service, ctx.now))) {
      ++ctx.node.count.budget_refusals;
      return false;
    }
    ++ctx.node.count.retries;
  }
  if (choice.result == selection_result::all_busy) {
    enqueue_task(pending, shard, ctx);
    return true;
  }
  dispatch_to(pending, shard, choice.leaf, ctx);
  return true;
}

namespace {

/// Whether one of the leafs that were chosen for a task may still get it.
bool has_usable_leaf(const task_state& task, context& ctx) {
  const std::vector<leaf_ptr>& leafs = ctx.node.services[task.service].leafs;
  return std::any_of(leafs.begin(), leafs.end(), [&task](const leaf_ptr& leaf) {
    return takes_new_work(*leaf) &&
           std::find(task.leaf_subset.begin(), task.leaf_subset.end(), leaf->key) !=
               task.leaf_subset.end();
  });
}

}  // namespace

void choose_task_leafs(const pending_request& pending, task_state& task, context& ctx) {
  if (!task.leaf_tags.empty() && !has_usable_leaf(task, ctx) && task.sent == 0 &&
      !task.may_have_run) {
    // No leaf has got it, so that others may be chosen.
    task.leaf_subset.clear();
    task.leaf_tags.clear();
  }
  if (!task.leaf_tags.empty()) {
    return;
  }
  if (task.sent > 0 || task.may_have_run) {
    // A holder may have sent it to a leaf that this node did not know.
    task.leaf_subset = {no_leaf_key};
    return;
  }
  for (const leaf_ptr& leaf : choose_allowed_leafs(
           ctx.node.services[task.service].leafs, pending.request->id,
           ctx.node.settings.availability_zone, pending.route->max_leafs, ctx.now)) {
    task.leaf_subset.push_back(leaf->key);
    task.leaf_tags.push_back(leaf_tag(leaf->record.id));
  }
}

void apply_allowed_leafs(pending_request& pending, std::size_t shard, context& ctx) {
  task_state& task = pending.tasks[shard];
  const std::vector<leaf_ptr>& leafs = ctx.node.services[task.service].leafs;
  const remote_caller& remote = *pending.remote;
  if (shard < remote.allowed_leafs.size() && !remote.allowed_leafs[shard].empty()) {
    task.leaf_subset = find_leaf_keys(leafs, remote.allowed_leafs[shard]);
    return;
  }
  // The node that has the client knows no leaf. Each holder may use one, as long as
  // together they stay within the limit.
  const std::size_t count = remote.sent_before < pending.route->max_leafs ? 1 : 0;
  std::vector<std::uint32_t> tags;
  for (const leaf_ptr& leaf :
       choose_allowed_leafs(leafs, pending.request->id,
                            ctx.node.settings.availability_zone, count, ctx.now)) {
    tags.push_back(leaf_tag(leaf->record.id));
  }
  task.leaf_subset = find_leaf_keys(leafs, tags);
}

void give_up_task(pending_request& pending, task_state& task) {
  task.done = true;
  ++pending.given_up;
}

bool is_pending(const task_state& task) {
  return !task.active_connections.empty() || !task.active_calls.empty() ||
         task.opening > 0 || task.waiting;
}

void on_attempt_failed(pending_request& pending, std::size_t shard, context& ctx) {
  task_state& task = pending.tasks[shard];
  if (task.done || is_pending(task)) {
    return;
  }
  const bool repeatable = pending.route->idempotent || !task.may_have_run;
  const bool allowed =
      repeatable && task.sent < max_sends && ctx.now < pending.effective_deadline;
  if (allowed && dispatch(pending, shard, ctx)) {
    return;
  }
  give_up_task(pending, task);
}

void answer_if_ready(pending_request& pending, context& ctx) {
  if (pending.remote) {
    reply_if_ready(pending, ctx);
    return;
  }
  if (pending.route->shape == route_shape::fan_out) {
    answer_fan_out_if_ready(pending, ctx);
    return;
  }
  answer_single_if_ready(pending, ctx);
}

void log_attempt(const char* name, const pending_request& pending, std::size_t shard,
                 const leaf_state& leaf, const std::string& detail, context& ctx) {
  ctx.log(name, {{"request", pending.request->id},
                 {"service", pending.tasks[shard].service},
                 {"leaf", leaf.record.id},
                 {"address", leaf.record.address},
                 {"sends", std::to_string(pending.tasks[shard].sent)},
                 {"detail", detail}});
}

}  // namespace ibis::serving
