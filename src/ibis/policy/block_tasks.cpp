#include "ibis/policy/block_tasks.hpp"

#include <algorithm>  // for remove

#include "ibis/policy/attempt_delay.hpp"  // for silence_timeout
#include "ibis/policy/block_outcome.hpp"  // for reason_of
#include "ibis/policy/block_reply.hpp"    // for current_reply

namespace ibis::policy {
namespace {

using wire::missing_reason;
using wire::request_kind;

void cancel_attempt(block_table& table, base::attempt_id id, context& ctx) {
  attempt_state& attempt = table.attempts.at(id);
  attempt.block = 0;
  leaf_state& leaf = table.pools.leafs.at(attempt.leaf);
  const base::duration elapsed = ctx.now - attempt.started;
  // An attempt that was overtaken by its hedge would have taken at least this long.
  const double elapsed_us = std::chrono::duration<double, std::micro>(elapsed).count();
  if (elapsed_us > leaf.latency_us) {
    leaf.latency_us += table.pools.tuning.smoothing * (elapsed_us - leaf.latency_us);
    leaf.sampled_at = ctx.now;
  }
  ++ctx.shared.count.cancels;
  ctx.out.emplace_back(cancel_leaf_request{attempt.leaf, leaf.declared.address, id});
}

/// Removes the task of a dropped block from its group's queue.
void dequeue_task(block_table& table, const std::string& key, std::uint64_t id,
                  std::size_t index) {
  const auto queue = table.queues.find(key);
  if (queue == table.queues.end()) {
    return;
  }
  remove_task(queue->second, id, index);
  if (queue_length(queue->second) == 0) {
    table.queues.erase(queue);
  }
}

void finish_task(block_state& block, group_task& task) {
  task.done = true;
  task.waiting = false;
  --block.unfinished_tasks;
}

void fail_task(block_state& block, group_task& task, missing_reason reason) {
  task.reason = reason;
  finish_task(block, task);
}

/// Makes room in a full queue by refusing the newest waiting task of the lowest
/// priority below the given one.
/// @return Whether there was such a task.
bool evict_lower_priority(block_table& table, waiting_queue& queue,
                          wire::priority priority, context& ctx) {
  for (std::size_t lower = 0; lower < static_cast<std::size_t>(priority); ++lower) {
    auto& tasks = queue.by_priority[lower];
    if (tasks.empty()) {
      continue;
    }
    const waiting_task evicted = tasks.back();
    tasks.pop_back();
    block_state* block = find_block(table, evicted.block);
    if (block != nullptr && block->tasks[evicted.task].waiting) {
      ++ctx.shared.count.queue_refusals;
      fail_task(*block, block->tasks[evicted.task], missing_reason::shed);
      if (block->unfinished_tasks == 0) {
        finish_block(table, evicted.block, ctx);
      }
    }
    return true;
  }
  return false;
}

void enqueue(block_table& table, std::uint64_t block_id, std::size_t index,
             const group_pool& pool, context& ctx) {
  block_state& block = table.blocks.at(block_id);
  group_task& task = block.tasks[index];
  waiting_queue& queue = table.queues[group_key_of(block, task)];
  const std::size_t length = queue_length(queue);
  const bool too_late =
      ctx.now + expected_wait(table.pools, pool, length) > block.deadline;
  const bool queue_full = length >= block.service->policy.queue_limit;
  if (too_late || (queue_full &&
                   !evict_lower_priority(table, queue, block.request.priority, ctx))) {
    ++ctx.shared.count.queue_refusals;
    fail_task(block, task, missing_reason::shed);
    return;
  }
  task.waiting = true;
  queue.by_priority[static_cast<std::size_t>(block.request.priority)].push_back(
      {block_id, index, block.deadline});
}

bool is_still_waiting(const block_table& table, const waiting_task& waiting) {
  const auto block = table.blocks.find(waiting.block);
  return block != table.blocks.end() && block->second.tasks[waiting.task].waiting;
}

/// Retries a task on another replica if the limits and the budget allow it.
/// @param may_have_run Whether the ended attempt may have run.
/// @param never_sent Whether the ended attempt never reached a leaf. Its retry costs no
/// budget, as it put no load on the leafs.
void retry_or_fail(block_table& table, std::uint64_t block_id, std::size_t index,
                   bool may_have_run, bool never_sent, context& ctx) {
  block_state& block = table.blocks.at(block_id);
  group_task& task = block.tasks[index];
  const bool repeatable = block.request.kind == request_kind::search;
  const bool allowed = table.tuning.retry && (repeatable || !may_have_run) &&
                       task.retries < table.tuning.retries_per_group;
  if (!allowed) {
    fail_task(block, task, task.reason);
    return;
  }
  const auto pool = table.pools.groups.find(group_key_of(block, task));
  const bool all_tried = pool != table.pools.groups.end() &&
                         task.tried.size() >= pool->second.leafs.size();
  if (all_tried && task.reason == missing_reason::lost) {
    task.tried.clear();
  }
  if (!never_sent && !spend(table.pools.services[block.service->name].retries)) {
    fail_task(block, task, task.reason);
    return;
  }
  ++task.retries;
  ++block.reply.retries;
  ++ctx.shared.count.leaf_retries;
  dispatch(table, block_id, index, ctx);
}

}  // namespace

block_state* find_block(block_table& table, std::uint64_t id) {
  const auto found = table.blocks.find(id);
  return found == table.blocks.end() ? nullptr : &found->second;
}

void drop_block(block_table& table, std::uint64_t id, context& ctx) {
  const block_state& block = table.blocks.at(id);
  for (std::size_t index = 0; index < block.tasks.size(); ++index) {
    const group_task& task = block.tasks[index];
    if (task.waiting) {
      dequeue_task(table, group_key_of(block, task), id, index);
    }
    for (const base::attempt_id attempt : task.live_attempts) {
      cancel_attempt(table, attempt, ctx);
    }
  }
  table.by_call.erase({block.peer, block.request.call});
  table.blocks.erase(id);
}

void finish_block(block_table& table, std::uint64_t id, context& ctx) {
  const block_state& block = table.blocks.at(id);
  ctx.send(block.peer, current_reply(table, block, true));
  drop_block(table, id, ctx);
}

void send_attempt(block_table& table, std::uint64_t block_id, std::size_t index,
                  const std::string& leaf_name, context& ctx) {
  block_state& block = table.blocks.at(block_id);
  group_task& task = block.tasks[index];
  leaf_state& leaf = table.pools.leafs.at(leaf_name);
  const base::attempt_id id{ctx.next_id()};
  const base::connection_id connection = acquire_connection(table.pools, leaf, id);
  const bool at_limit =
      static_cast<double>(leaf.in_flight) + 1.0 > leaf.concurrency_limit;
  const bool submit = block.request.kind == request_kind::submit;
  table.attempts[id] = {block_id, index,    leaf_name, connection,
                        ctx.now,  at_limit, submit,    task.pending};
  task.live_attempts.push_back(id);
  task.tried.push_back(leaf_name);
  ++table.pools.groups.at(group_key_of(block, task)).attempt_count;
  task.waiting = false;
  ++block.reply.attempts;
  ctx.add_timer(silence_timeout(table, block.service->name),
                timer_kind::attempt_timeout, id.value);
  ctx.out.emplace_back(
      send_leaf_request{connection, id, block.request.kind, block.service->name,
                        block.request.index_version, block.request.partition_epoch,
                        task.pending, block.request.query, block.request.limit,
                        block.request.idempotency_key, block.deadline - ctx.now});
}

void dispatch(block_table& table, std::uint64_t block_id, std::size_t index,
              context& ctx) {
  block_state& block = table.blocks.at(block_id);
  group_task& task = block.tasks[index];
  const auto pool = table.pools.groups.find(group_key_of(block, task));
  if (pool == table.pools.groups.end()) {
    fail_task(block, task, missing_reason::no_holder);
    return;
  }
  const pick_result chosen = pick_leaf(
      table.pools, pool->second, block.request.index_version, task.tried, ctx.now);
  if (chosen.failure == pick_failure::none) {
    send_attempt(table, block_id, index, chosen.leaf, ctx);
    return;
  }
  if (pool->second.released_at && task.tried.empty()) {
    fail_task(block, task, missing_reason::no_holder);
    return;
  }
  if (chosen.failure == pick_failure::busy) {
    enqueue(table, block_id, index, pool->second, ctx);
    return;
  }
  // The reason that an earlier attempt failed for says more than "no replica is left".
  const bool keeps_reason = !task.tried.empty() && chosen.failure == pick_failure::lost;
  fail_task(block, task, keeps_reason ? task.reason : reason_of(chosen.failure));
}

void dispatch_waiting(block_table& table, const std::string& key, context& ctx) {
  const auto queue = table.queues.find(key);
  const auto pool = table.pools.groups.find(key);
  if (queue == table.queues.end() || pool == table.pools.groups.end()) {
    return;
  }
  auto& tasks_by_priority = queue->second.by_priority;
  for (auto tasks = tasks_by_priority.rbegin(); tasks != tasks_by_priority.rend();
       ++tasks) {
    while (!tasks->empty()) {
      const waiting_task next = tasks->front();
      if (!is_still_waiting(table, next)) {
        tasks->pop_front();
        continue;
      }
      block_state& block = table.blocks.at(next.block);
      const pick_result chosen =
          pick_leaf(table.pools, pool->second, block.request.index_version,
                    block.tasks[next.task].tried, ctx.now);
      if (chosen.failure == pick_failure::busy) {
        return;
      }
      tasks->pop_front();
      block.tasks[next.task].waiting = false;
      dispatch(table, next.block, next.task, ctx);
      if (block.unfinished_tasks == 0) {
        finish_block(table, next.block, ctx);
      }
    }
  }
  table.queues.erase(queue);
}

void remove_attempt(group_task& task, base::attempt_id id) {
  task.live_attempts.erase(
      std::remove(task.live_attempts.begin(), task.live_attempts.end(), id),
      task.live_attempts.end());
}

void after_attempt(block_table& table, std::uint64_t block_id, std::size_t index,
                   bool may_have_run, bool never_sent, context& ctx) {
  block_state& block = table.blocks.at(block_id);
  group_task& task = block.tasks[index];
  if (task.done || !task.live_attempts.empty()) {
    return;
  }
  retry_or_fail(table, block_id, index, may_have_run, never_sent, ctx);
  if (table.blocks.at(block_id).unfinished_tasks == 0) {
    finish_block(table, block_id, ctx);
  }
}

void complete_task(block_table& table, std::uint64_t block_id, std::size_t index,
                   context& ctx) {
  block_state& block = table.blocks.at(block_id);
  group_task& task = block.tasks[index];
  for (const base::attempt_id other : task.live_attempts) {
    // Without these samples the latencies would be those of the fast attempts only.
    table.pools.services[block.service->name].latencies.record(
        ctx.now - table.attempts.at(other).started);
    cancel_attempt(table, other, ctx);
  }
  block.reply.may_have_run += static_cast<std::uint32_t>(task.live_attempts.size());
  task.live_attempts.clear();
  finish_task(block, task);
  if (block.unfinished_tasks == 0) {
    finish_block(table, block_id, ctx);
  }
}

}  // namespace ibis::policy
