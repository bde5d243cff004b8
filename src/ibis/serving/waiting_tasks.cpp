#include "ibis/serving/waiting_tasks.hpp"

#include <algorithm>  // for min_element
#include <deque>      // for deque

#include "ibis/serving/attempt.hpp"  // for dispatch_to, answer_if_ready

namespace ibis::serving {
namespace {

using waiting_queue = std::deque<waiting_task>;

/// Removes tasks that no longer wait because they are done or their request was
/// answered.
void remove_settled(waiting_queue& waiting, context& ctx) {
  std::erase_if(waiting, [&ctx](const waiting_task& entry) {
    const pending_request* pending = find_pending_request(entry.caller, ctx);
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

/// Orders critical requests first, then by priority.
bool has_precedence(const pending_request& first, const pending_request& second) {
  if (is_critical(first) != is_critical(second)) {
    return is_critical(first);
  }
  return first.priority < second.priority;
}

/// @return The task to send next: one of a critical request before others, then the
/// most urgent, then the one that has waited longest.
waiting_queue::iterator next_waiting(waiting_queue& waiting, context& ctx) {
  return std::min_element(
      waiting.begin(), waiting.end(),
      [&ctx](const waiting_task& first, const waiting_task& second) {
        return has_precedence(*find_pending_request(first.caller, ctx),
                              *find_pending_request(second.caller, ctx));
      });
}

/// Whether a task's answer can still arrive in time, or is needed even if late.
bool is_worth_sending(const pending_request& pending, context& ctx) {
  return is_critical(pending) ||
         ctx.now + pending.typical_latency < pending.objective_deadline;
}

}  // namespace

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
  auto& waiting = found->second.waiting;
  remove_settled(waiting, ctx);
  while (!waiting.empty()) {
    const auto first = next_waiting(waiting, ctx);
    pending_request& pending = *find_pending_request(first->caller, ctx);
    const std::size_t shard = first->shard;
    task_state& task = pending.tasks[shard];
    const leaf_choice choice =
        choose_leaf(task, requirements_of(pending, false, ctx), ctx);
    if (choice.result == selection_result::all_busy) {
      return;
    }
    waiting.erase(first);
    task.waiting = false;
    if (choice.result == selection_result::found && is_worth_sending(pending, ctx)) {
      dispatch_to(pending, shard, choice.leaf, ctx);
    } else if (!is_pending(task)) {
      give_up_task(pending, task);
      answer_if_ready(pending, ctx);
    }
    remove_settled(waiting, ctx);
  }
}

}  // namespace ibis::serving
