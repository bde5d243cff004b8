#include "ibis/policy/block.hpp"

#include <algorithm>  // for find, remove
#include <utility>    // for move

#include "ibis/base/hash.hpp"             // for hash64
#include "ibis/policy/attempt_delay.hpp"  // for hedge_delay
#include "ibis/policy/block_outcome.hpp"  // for merge_answer, record_outcome
#include "ibis/policy/block_reply.hpp"    // for current_reply

namespace ibis::policy {
namespace {

using wire::missing_reason;
using wire::request_kind;

void dispatch(block_table& table, std::uint64_t block_id, std::size_t index,
              context& ctx);

block_state* find_block(block_table& table, std::uint64_t id) {
  const auto found = table.blocks.find(id);
  return found == table.blocks.end() ? nullptr : &found->second;
}

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

void finish_task(block_state& block, group_task& task) {
  task.done = true;
  task.waiting = false;
  --block.unfinished_tasks;
}

void fail_task(block_state& block, group_task& task, missing_reason reason) {
  task.reason = reason;
  finish_task(block, task);
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

/// Sends a task to the best replica, queues it if all are busy, or else fails it.
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

bool is_still_waiting(const block_table& table, const waiting_task& waiting) {
  const auto block = table.blocks.find(waiting.block);
  return block != table.blocks.end() && block->second.tasks[waiting.task].waiting;
}

/// Dispatches a group's waiting tasks while one of its leafs can take a request.
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

/// Retries or fails a task after its last attempt in flight ended with shards pending.
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

void on_answered(block_table& table, const attempt_state& attempt, base::attempt_id id,
                 const leaf_replied& event, context& ctx) {
  block_state* block = find_block(table, attempt.block);
  if (block == nullptr) {
    ++ctx.shared.count.late_leaf_replies;
    return;
  }
  group_task& task = block->tasks[attempt.task];
  remove_attempt(task, id);
  if (event.index_version != block->request.index_version &&
      block->request.kind == request_kind::search) {
    ++ctx.shared.count.version_mismatches;
    ++block->reply.may_have_run;
    task.reason = missing_reason::version_gone;
    after_attempt(table, attempt.block, attempt.task, true, false, ctx);
    return;
  }
  ++block->reply.may_have_run;
  merge_answer(*block, task, attempt, event);
  if (task.pending.empty()) {
    complete_task(table, attempt.block, attempt.task, ctx);
    return;
  }
  task.reason = missing_reason::moved;
  after_attempt(table, attempt.block, attempt.task, true, false, ctx);
}

void on_refused(block_table& table, const attempt_state& attempt, base::attempt_id id,
                const leaf_replied& event, context& ctx) {
  block_state* block = find_block(table, attempt.block);
  if (block == nullptr) {
    return;
  }
  group_task& task = block->tasks[attempt.task];
  remove_attempt(task, id);
  task.reason = reason_of(event.outcome);
  const bool may_have_run = !is_refusal(event.outcome);
  block->reply.may_have_run += may_have_run ? 1 : 0;
  after_attempt(table, attempt.block, attempt.task, may_have_run, false, ctx);
}

void hedge_task(block_table& table, std::uint64_t block_id, std::size_t index,
                context& ctx) {
  block_state* block = find_block(table, block_id);
  if (block == nullptr) {
    return;
  }
  group_task& task = block->tasks[index];
  if (task.done || task.live_attempts.empty() ||
      task.hedges >= table.tuning.hedges_per_group) {
    return;
  }
  const std::string key = group_key_of(*block, task);
  const auto pool = table.pools.groups.find(key);
  // Waiting tasks go first; under overload a hedge would only add load.
  if (pool == table.pools.groups.end() || table.queues.count(key) != 0) {
    return;
  }
  const bool all_tried = task.tried.size() >= pool->second.leafs.size();
  const std::vector<std::string> excluded =
      all_tried ? std::vector<std::string>{} : task.tried;
  const pick_result chosen = pick_leaf(table.pools, pool->second,
                                       block->request.index_version, excluded, ctx.now);
  if (chosen.failure != pick_failure::none ||
      !spend(table.pools.services[block->service->name].hedges)) {
    return;
  }
  ++task.hedges;
  ++block->reply.hedges;
  ++ctx.shared.count.leaf_hedges;
  send_attempt(table, block_id, index, chosen.leaf, ctx);
  ctx.add_timer(hedge_delay(table, *block->service), timer_kind::attempt_hedge,
                block_id, index);
}

void check_unanswered(block_table& table, base::attempt_id id, context& ctx) {
  const auto attempt = table.attempts.find(id);
  if (attempt == table.attempts.end() || attempt->second.submit) {
    return;
  }
  leaf_state& leaf = table.pools.leafs.at(attempt->second.leaf);
  probe_silent_leaf(table.pools, leaf, attempt->second.started, ctx);
}

void send_early_reply(block_table& table, std::uint64_t id, context& ctx) {
  block_state* block = find_block(table, id);
  if (block == nullptr) {
    return;
  }
  ctx.send(block->peer, current_reply(table, *block, false));
}

void expire_block(block_table& table, std::uint64_t id, context& ctx) {
  block_state* block = find_block(table, id);
  if (block == nullptr) {
    return;
  }
  for (group_task& task : block->tasks) {
    if (!task.done) {
      task.reason = missing_reason::timeout;
    }
  }
  finish_block(table, id, ctx);
}

/// Records the request's call and returns whether it was seen before. Duplicates are
/// ignored so that a request that was answered as not run does not run later.
bool is_duplicate(block_table& table, const std::string& peer,
                  const wire::block_request& request) {
  const std::uint64_t call_hash = base::hash64(peer, request.call.value);
  if (!table.seen_calls.insert(call_hash).second) {
    return true;
  }
  table.seen_order.push_back(call_hash);
  if (table.seen_order.size() > table.tuning.max_seen_calls) {
    table.seen_calls.erase(table.seen_order.front());
    table.seen_order.pop_front();
  }
  return false;
}

bool serves_any(const block_table& table, const wire::block_request& request) {
  for (const std::uint32_t group : request.groups) {
    if (table.pools.groups.count(group_key(request.service, group)) != 0) {
      return true;
    }
  }
  return false;
}

void start_timers(const block_table& table, const block_state& block, std::uint64_t id,
                  context& ctx) {
  ctx.add_timer(block.request.budget, timer_kind::block_deadline, id);
  if (block.request.early_reply.count() > 0) {
    ctx.add_timer(block.request.early_reply, timer_kind::block_early_reply, id);
  }
  const bool hedges = table.tuning.hedge && block.service->policy.hedge_budget > 0;
  if (!hedges || block.request.kind != request_kind::search) {
    return;
  }
  const base::duration delay = hedge_delay(table, *block.service);
  for (std::size_t index = 0; index < block.tasks.size(); ++index) {
    ctx.add_timer(delay, timer_kind::attempt_hedge, id, index);
  }
}

}  // namespace

void on_block_request(block_table& table, const std::string& peer,
                      const wire::block_request& request, context& ctx) {
  if (is_duplicate(table, peer, request)) {
    return;
  }
  const auto service = find_service(ctx.shared.nodes, request.service);
  if (service == nullptr || !groups_exist(request, *service) ||
      !serves_any(table, request)) {
    ctx.send(peer, make_refusal(request, service.get(), missing_reason::no_holder));
    return;
  }
  if (service->partition_epoch != request.partition_epoch) {
    ctx.send(peer, make_refusal(request, service.get(), missing_reason::moved));
    return;
  }
  block_state block = make_block(peer, request, service, ctx.now);
  if (request.kind == request_kind::list_versions) {
    ctx.send(peer, make_versions_reply(table, block));
    return;
  }
  const std::uint64_t id = ctx.next_id();
  start_timers(table, block, id, ctx);
  const std::size_t tasks = block.tasks.size();
  table.blocks[id] = std::move(block);
  table.by_call[{peer, request.call}] = id;
  service_stats& stats = table.pools.services[request.service];
  for (std::size_t index = 0; index < tasks; ++index) {
    ++ctx.shared.count.first_attempts;
    earn(stats.hedges);
    earn(stats.retries);
    dispatch(table, id, index, ctx);
  }
  if (table.blocks.at(id).unfinished_tasks == 0) {
    finish_block(table, id, ctx);
  }
}

void on_block_cancel(block_table& table, const std::string& peer,
                     base::block_call_id call, context& ctx) {
  const auto found = table.by_call.find({peer, call});
  if (found != table.by_call.end()) {
    drop_block(table, found->second, ctx);
  }
}

void on_entry_lost(block_table& table, const std::string& peer, context& ctx) {
  std::vector<std::uint64_t> lost_blocks;
  for (const auto& [id, block] : table.blocks) {
    if (block.peer == peer && block.request.kind == request_kind::search) {
      lost_blocks.push_back(id);
    }
  }
  for (const std::uint64_t id : lost_blocks) {
    drop_block(table, id, ctx);
  }
}

void on_leaf_reply(block_table& table, const leaf_replied& event, context& ctx) {
  const auto found = table.attempts.find(event.attempt);
  if (found == table.attempts.end()) {
    ++ctx.shared.count.late_leaf_replies;
    return;
  }
  const attempt_state attempt = std::move(found->second);
  table.attempts.erase(found);
  const std::string key = table.pools.leafs.at(attempt.leaf).group_key;
  record_outcome(table, attempt, event, ctx);
  if (event.outcome == leaf_outcome::invalid) {
    drop_connection(table.pools, attempt.connection, true, ctx);
  } else {
    release_connection(table.pools, attempt.connection);
  }
  if (event.outcome == leaf_outcome::answered) {
    on_answered(table, attempt, event.attempt, event, ctx);
  } else {
    on_refused(table, attempt, event.attempt, event, ctx);
  }
  dispatch_waiting(table, key, ctx);
}

void on_attempt_lost(block_table& table, const attempt_lost& event, context& ctx) {
  const auto found = table.attempts.find(event.attempt);
  if (found == table.attempts.end()) {
    return;
  }
  const attempt_state attempt = std::move(found->second);
  table.attempts.erase(found);
  leaf_state& leaf = table.pools.leafs.at(attempt.leaf);
  const std::string key = leaf.group_key;
  record_failure(table.pools, leaf, ctx);
  drop_connection(table.pools, attempt.connection, true, ctx);
  block_state* block = find_block(table, attempt.block);
  if (block != nullptr) {
    group_task& task = block->tasks[attempt.task];
    remove_attempt(task, event.attempt);
    task.reason = missing_reason::lost;
    block->reply.may_have_run += event.may_have_reached_leaf ? 1 : 0;
    after_attempt(table, attempt.block, attempt.task, event.may_have_reached_leaf,
                  !event.may_have_reached_leaf, ctx);
  }
  dispatch_waiting(table, key, ctx);
}

void on_connection_opened(block_table& table, const connection_opened& event,
                          context& ctx) {
  const auto found = table.pools.connections.find(event.connection);
  const std::string leaf =
      found == table.pools.connections.end() ? std::string() : found->second.leaf;
  for (const base::attempt_id silent : on_open_succeeded(table.pools, event, ctx)) {
    on_attempt_lost(table, {silent, true}, ctx);
  }
  if (!leaf.empty()) {
    open_next_connection(table.pools, leaf, ctx);
    dispatch_waiting(table, table.pools.leafs.at(leaf).group_key, ctx);
  }
}

void on_connection_failed(block_table& table, const connection_failed& event,
                          context& ctx) {
  const auto found = table.pools.connections.find(event.connection);
  if (found == table.pools.connections.end()) {
    return;
  }
  const std::string key = table.pools.leafs.at(found->second.leaf).group_key;
  on_open_failed(table.pools, event, ctx);
  dispatch_waiting(table, key, ctx);
}

void on_status_polled(block_table& table, const status_polled& event, context& ctx) {
  const auto found = table.pools.leafs.find(event.leaf);
  if (found == table.pools.leafs.end() || !event.status) {
    return;
  }
  record_status(found->second, *event.status);
  dispatch_waiting(table, found->second.group_key, ctx);
}

void on_block_timer(block_table& table, const timer& due, context& ctx) {
  switch (due.kind) {
    case timer_kind::block_deadline:
      expire_block(table, due.subject, ctx);
      return;
    case timer_kind::block_early_reply:
      send_early_reply(table, due.subject, ctx);
      return;
    case timer_kind::attempt_hedge:
      hedge_task(table, due.subject, due.detail, ctx);
      return;
    case timer_kind::attempt_timeout:
      check_unanswered(table, {due.subject}, ctx);
      return;
    default:
      return;
  }
}

std::size_t waiting_count(const block_table& table) {
  std::size_t count = 0;
  for (const auto& [key, queue] : table.queues) {
    count += queue_length(queue);
  }
  return count;
}

}  // namespace ibis::policy
