#include "ibis/serving/waiting_tasks.hpp"

#include <algorithm>  // for copy_if, min
#include <deque>      // for deque
#include <iterator>   // for back_inserter
#include <vector>     // for vector

#include "ibis/admission/waiting_order.hpp"     // for next_entry, waiting_entry
#include "ibis/serving/attempt.hpp"             // for dispatch_to, answer_if_ready
#include "ibis/serving/concurrency_limit.hpp"   // for has_capacity
#include "ibis/serving/connection_quota.hpp"    // for connection_quota_of
#include "ibis/serving/connections.hpp"         // for can_send_now
#include "ibis/serving/leaf_backoff.hpp"        // for backs_off, is_probed
#include "ibis/serving/request_completion.hpp"  // for answer_failure

namespace ibis::serving {
namespace {

using waiting_queue = std::deque<waiting_task>;

/// Removes tasks that no longer wait because they are done or their request was
/// answered.
void remove_settled(service_state& service, context& ctx) {
  std::erase_if(service.waiting, [&](const waiting_task& entry) {
    const pending_request* pending = find_pending_request(entry.caller, ctx);
    if (pending == nullptr) {
      service.kinds.count_lost(entry.route, ctx.now);
    }
    return pending == nullptr || pending->tasks[entry.shard].done;
  });
}

/// Whether the request fails if it loses another of its tasks.
bool is_critical(const pending_request& pending) {
  if (pending.route->shape != route_shape::fan_out) {
    return true;
  }
  return pending.tasks.size() - pending.given_up <= required_shards(*pending.route);
}

/// Whether waiting tasks age and are given up ahead of their turn. Deployments without
/// client accounts keep the plain order by criticality, priority and age.
bool shares_fairly(const context& ctx) {
  return ctx.node.configuration && ctx.node.configuration->accounts;
}

/// @return The time that a leaf is expected to need for a task of the request; 0 if
/// nothing is known.
base::duration expected_time(const pending_request& pending) {
  if (pending.expected > base::duration(0)) {
    return pending.expected;
  }
  return pending.latency_measured ? pending.typical_latency : base::duration(0);
}

admission::waiting_entry make_entry(const pending_request& pending,
                                    const context& ctx) {
  admission::waiting_entry entry;
  entry.critical = is_critical(pending);
  entry.priority = pending.priority;
  entry.account = pending.account;
  entry.kind = pending.route->name;
  entry.expected_cost = expected_time(pending);
  entry.request_cost =
      pending.typical_latency * static_cast<base::duration::rep>(pending.tasks.size());
  entry.arrived = pending.arrived;
  entry.deadline = pending.effective_deadline;
  entry.ages = shares_fairly(ctx);
  entry.latest_start = admission::latest_useful_start(
      entry.critical, entry.critical ? entry.expected_cost : pending.typical_latency,
      pending.objective_deadline, pending.effective_deadline);
  return entry;
}

/// @return The waiting tasks in the order of the queue, which has no settled ones.
std::vector<admission::waiting_entry> make_entries(const waiting_queue& waiting,
                                                   context& ctx) {
  std::vector<admission::waiting_entry> entries;
  entries.reserve(waiting.size());
  for (const waiting_task& task : waiting) {
    entries.push_back(make_entry(*find_pending_request(task.caller, ctx), ctx));
  }
  return entries;
}

void give_up_waiting(pending_request& pending, task_state& task, context& ctx) {
  if (is_pending(task)) {
    return;
  }
  ctx.node.services[task.service].kinds.count_lost(pending.route->name, ctx.now);
  ++ctx.node.count.waits_given_up;
  give_up_task(pending, task);
  answer_if_ready(pending, ctx);
}

bool is_expired(const waiting_task& task, context& ctx) {
  const pending_request* pending = find_pending_request(task.caller, ctx);
  return pending != nullptr &&
         !admission::can_end_in_time(make_entry(*pending, ctx), ctx.now);
}

/// Gives up tasks that can no longer end in time. What remains of their requests may
/// become critical by it, and then waits on.
void give_up_expired(service_state& service, context& ctx) {
  std::vector<waiting_task> expired;
  std::copy_if(service.waiting.begin(), service.waiting.end(),
               std::back_inserter(expired),
               [&ctx](const waiting_task& task) { return is_expired(task, ctx); });
  for (const waiting_task& task : expired) {
    if (!is_expired(task, ctx)) {
      continue;
    }
    std::erase_if(service.waiting, [&task](const waiting_task& entry) {
      return entry.caller == task.caller && entry.shard == task.shard;
    });
    pending_request& pending = *find_pending_request(task.caller, ctx);
    pending.tasks[task.shard].waiting = false;
    give_up_waiting(pending, pending.tasks[task.shard], ctx);
  }
  remove_settled(service, ctx);
}

/// Whether a task whose turn it is should be sent.
bool is_worth_sending(const pending_request& pending, const context& ctx) {
  const admission::waiting_entry entry = make_entry(pending, ctx);
  return entry.critical || admission::can_end_in_time(entry, ctx.now);
}

bool has_room(const leaf_state& leaf, std::uint64_t key, const context& ctx) {
  return has_capacity(leaf, ctx.now) && !is_probed(leaf) &&
         can_send_now(ctx.node, leaf, key, ctx.now);
}

/// @return What the leafs of a service can take from this node, at most.
admission::service_capacity capacity_of(const std::string& name,
                                        const service_state& service, std::uint64_t key,
                                        const context& ctx) {
  const connection_quota quota = connection_quota_of(ctx.node, name, ctx.now);
  const auto connections = static_cast<double>(quota.to_leaf);
  admission::service_capacity capacity;
  for (const leaf_ptr& leaf : service.leafs) {
    if (takes_new_work(*leaf) && !backs_off(*leaf, ctx.now)) {
      capacity.slots += std::min(leaf->concurrency_limit, connections);
      capacity.has_room = capacity.has_room || has_room(*leaf, key, ctx);
    }
  }
  capacity.slots = std::min(capacity.slots, static_cast<double>(quota.to_service));
  return capacity;
}

}  // namespace

bool refuse_if_out_of_time(pending_request& pending, context& ctx) {
  if (pending.remote || pending.route->shape == route_shape::fan_out ||
      !shares_fairly(ctx)) {
    return false;
  }
  const std::string& name = pending.tasks.front().service;
  const auto found = ctx.node.services.find(name);
  if (found == ctx.node.services.end() || found->second.waiting.empty()) {
    return false;
  }
  service_state& service = found->second;
  remove_settled(service, ctx);
  const admission::service_capacity capacity =
      capacity_of(name, service, pending.key, ctx);
  if (!admission::must_be_refused(make_entries(service.waiting, ctx),
                                  make_entry(pending, ctx), capacity,
                                  {ctx.node.account_use, service.kinds}, ctx.now)) {
    return false;
  }
  ctx.node.count.refused_for_time.add(pending.account);
  ctx.log("refused_for_time", {{"request", pending.request->id},
                               {"service", name},
                               {"account", pending.account},
                               {"waiting", std::to_string(service.waiting.size())},
                               {"slots", std::to_string(capacity.slots)}});
  answer_failure(pending, "no_time", ctx);
  return true;
}

void on_leaf_capacity(base::connection_id id, context& ctx) {
  const auto found = ctx.node.connections.find(id);
  if (found != ctx.node.connections.end()) {
    const std::string service = found->second.leaf->record.service;
    dispatch_waiting_tasks(service, ctx);
  }
}

void dispatch_waiting_tasks(const std::string& service, context& ctx) {
  const auto found = ctx.node.services.find(service);
  if (found == ctx.node.services.end()) {
    return;
  }
  service_state& state = found->second;
  waiting_queue& waiting = state.waiting;
  remove_settled(state, ctx);
  if (shares_fairly(ctx)) {
    give_up_expired(state, ctx);
  }
  while (!waiting.empty()) {
    const std::size_t first = *admission::next_entry(
        make_entries(waiting, ctx), {ctx.node.account_use, state.kinds}, ctx.now);
    pending_request& pending = *find_pending_request(waiting[first].caller, ctx);
    const std::size_t shard = waiting[first].shard;
    task_state& task = pending.tasks[shard];
    const leaf_choice choice =
        choose_leaf(task, requirements_of(pending, false, ctx), ctx);
    if (choice.result == selection_result::all_busy) {
      return;
    }
    waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(first));
    task.waiting = false;
    if (choice.result == selection_result::found && is_worth_sending(pending, ctx)) {
      dispatch_to(pending, shard, choice.leaf, ctx);
    } else {
      give_up_waiting(pending, task, ctx);
    }
    remove_settled(state, ctx);
  }
}

}  // namespace ibis::serving
