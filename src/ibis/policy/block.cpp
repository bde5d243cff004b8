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

void dispatch(block_part& part, std::uint64_t block_id, std::size_t index,
              context& ctx);

block_state* find_block(block_part& part, std::uint64_t id) {
  const auto found = part.blocks.find(id);
  return found == part.blocks.end() ? nullptr : &found->second;
}

void cancel_attempt(block_part& part, base::attempt_id id, context& ctx) {
  attempt_state& attempt = part.attempts.at(id);
  attempt.block = 0;
  leaf_state& leaf = part.pools.leafs.at(attempt.leaf);
  const base::duration elapsed = ctx.now - attempt.started;
  // An attempt that was overtaken by its hedge would have taken at least this long.
  const double elapsed_us = std::chrono::duration<double, std::micro>(elapsed).count();
  if (elapsed_us > leaf.latency_us) {
    leaf.latency_us += part.pools.tuning.smoothing * (elapsed_us - leaf.latency_us);
    leaf.sampled_at = ctx.now;
  }
  ++ctx.shared.count.cancels;
  ctx.out.emplace_back(cancel_leaf_request{attempt.leaf, leaf.declared.address, id});
}

/// Removes the task of a dropped block from its group's queue.
void dequeue_task(block_part& part, const std::string& key, std::uint64_t id,
                  std::size_t index) {
  const auto queue = part.queues.find(key);
  if (queue == part.queues.end()) {
    return;
  }
  remove_task(queue->second, id, index);
  if (queue_length(queue->second) == 0) {
    part.queues.erase(queue);
  }
}

void drop_block(block_part& part, std::uint64_t id, context& ctx) {
  const block_state& block = part.blocks.at(id);
  for (std::size_t index = 0; index < block.tasks.size(); ++index) {
    const group_task& task = block.tasks[index];
    if (task.waiting) {
      dequeue_task(part, group_key_of(block, task), id, index);
    }
    for (const base::attempt_id attempt : task.live_attempts) {
      cancel_attempt(part, attempt, ctx);
    }
  }
  part.by_call.erase({block.peer, block.request.call});
  part.blocks.erase(id);
}

void finish_block(block_part& part, std::uint64_t id, context& ctx) {
  const block_state& block = part.blocks.at(id);
  ctx.send(block.peer, current_reply(part, block, true));
  drop_block(part, id, ctx);
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

void send_attempt(block_part& part, std::uint64_t block_id, std::size_t index,
                  const std::string& leaf_name, context& ctx) {
  block_state& block = part.blocks.at(block_id);
  group_task& task = block.tasks[index];
  leaf_state& leaf = part.pools.leafs.at(leaf_name);
  const base::attempt_id id{ctx.next_id()};
  const base::connection_id connection = acquire_connection(part.pools, leaf, id);
  const bool at_limit =
      static_cast<double>(leaf.in_flight) + 1.0 > leaf.concurrency_limit;
  const bool submit = block.request.kind == request_kind::submit;
  part.attempts[id] = {block_id, index,    leaf_name, connection,
                       ctx.now,  at_limit, submit,    task.pending};
  task.live_attempts.push_back(id);
  task.tried.push_back(leaf_name);
  ++part.pools.groups.at(group_key_of(block, task)).attempt_count;
  task.waiting = false;
  ++block.reply.attempts;
  ctx.add_timer(silence_timeout(part, block.service->name), timer_kind::attempt_timeout,
                id.value);
  ctx.out.emplace_back(
      send_leaf_request{connection, id, block.request.kind, block.service->name,
                        block.request.index_version, block.request.partition_epoch,
                        task.pending, block.request.query, block.request.limit,
                        block.request.idempotency_key, block.deadline - ctx.now});
}

/// Makes room in a full queue by refusing the newest waiting task of the lowest
/// priority below the given one.
/// @return Whether there was such a task.
bool evict_lower_priority(block_part& part, waiting_queue& queue,
                          wire::priority priority, context& ctx) {
  for (std::size_t lower = 0; lower < static_cast<std::size_t>(priority); ++lower) {
    auto& tasks = queue.by_priority[lower];
    if (tasks.empty()) {
      continue;
    }
    const waiting_task evicted = tasks.back();
    tasks.pop_back();
    block_state* block = find_block(part, evicted.block);
    if (block != nullptr && block->tasks[evicted.task].waiting) {
      ++ctx.shared.count.queue_refusals;
      fail_task(*block, block->tasks[evicted.task], missing_reason::shed);
      if (block->unfinished_tasks == 0) {
        finish_block(part, evicted.block, ctx);
      }
    }
    return true;
  }
  return false;
}

void enqueue(block_part& part, std::uint64_t block_id, std::size_t index,
             const group_pool& pool, context& ctx) {
  block_state& block = part.blocks.at(block_id);
  group_task& task = block.tasks[index];
  waiting_queue& queue = part.queues[group_key_of(block, task)];
  const std::size_t length = queue_length(queue);
  const bool too_late =
      ctx.now + expected_wait(part.pools, pool, length) > block.deadline;
  const bool queue_full = length >= block.service->policy.queue_limit;
  if (too_late ||
      (queue_full && !evict_lower_priority(part, queue, block.request.priority, ctx))) {
    ++ctx.shared.count.queue_refusals;
    fail_task(block, task, missing_reason::shed);
    return;
  }
  task.waiting = true;
  queue.by_priority[static_cast<std::size_t>(block.request.priority)].push_back(
      {block_id, index, block.deadline});
}

/// Sends a task to the best replica, queues it if all are busy, or else fails it.
void dispatch(block_part& part, std::uint64_t block_id, std::size_t index,
              context& ctx) {
  block_state& block = part.blocks.at(block_id);
  group_task& task = block.tasks[index];
  const auto pool = part.pools.groups.find(group_key_of(block, task));
  if (pool == part.pools.groups.end()) {
    fail_task(block, task, missing_reason::no_holder);
    return;
  }
  const pick_result chosen = pick_leaf(
      part.pools, pool->second, block.request.index_version, task.tried, ctx.now);
  if (chosen.failure == pick_failure::none) {
    send_attempt(part, block_id, index, chosen.leaf, ctx);
    return;
  }
  if (pool->second.released_at && task.tried.empty()) {
    fail_task(block, task, missing_reason::no_holder);
    return;
  }
  if (chosen.failure == pick_failure::busy) {
    enqueue(part, block_id, index, pool->second, ctx);
    return;
  }
  // The reason that an earlier attempt failed for says more than "no replica is left".
  const bool keeps_reason = !task.tried.empty() && chosen.failure == pick_failure::lost;
  fail_task(block, task, keeps_reason ? task.reason : reason_of(chosen.failure));
}

bool is_still_waiting(const block_part& part, const waiting_task& waiting) {
  const auto block = part.blocks.find(waiting.block);
  return block != part.blocks.end() && block->second.tasks[waiting.task].waiting;
}

/// Dispatches a group's waiting tasks while one of its leaves can take a request.
void dispatch_waiting(block_part& part, const std::string& key, context& ctx) {
  const auto queue = part.queues.find(key);
  const auto pool = part.pools.groups.find(key);
  if (queue == part.queues.end() || pool == part.pools.groups.end()) {
    return;
  }
  auto& classes = queue->second.by_priority;
  for (auto tasks = classes.rbegin(); tasks != classes.rend(); ++tasks) {
    while (!tasks->empty()) {
      const waiting_task next = tasks->front();
      if (!is_still_waiting(part, next)) {
        tasks->pop_front();
        continue;
      }
      block_state& block = part.blocks.at(next.block);
      const pick_result chosen =
          pick_leaf(part.pools, pool->second, block.request.index_version,
                    block.tasks[next.task].tried, ctx.now);
      if (chosen.failure == pick_failure::busy) {
        return;
      }
      tasks->pop_front();
      block.tasks[next.task].waiting = false;
      dispatch(part, next.block, next.task, ctx);
      if (block.unfinished_tasks == 0) {
        finish_block(part, next.block, ctx);
      }
    }
  }
  part.queues.erase(queue);
}

void remove_attempt(group_task& task, base::attempt_id id) {
  task.live_attempts.erase(
      std::remove(task.live_attempts.begin(), task.live_attempts.end(), id),
      task.live_attempts.end());
}

/// Retries a task on another replica if the limits and the budget allow it.
/// @param may_have_run Whether the ended attempt may have run.
/// @param never_sent Whether the ended attempt never reached a leaf. Its retry costs no
/// budget, as it put no load on the leaves.
void retry_or_fail(block_part& part, std::uint64_t block_id, std::size_t index,
                   bool may_have_run, bool never_sent, context& ctx) {
  block_state& block = part.blocks.at(block_id);
  group_task& task = block.tasks[index];
  const bool repeatable = block.request.kind == request_kind::search;
  const bool allowed = part.tuning.retry && (repeatable || !may_have_run) &&
                       task.retries < part.tuning.retries_per_group;
  if (!allowed) {
    fail_task(block, task, task.reason);
    return;
  }
  const auto pool = part.pools.groups.find(group_key_of(block, task));
  const bool all_tried =
      pool != part.pools.groups.end() && task.tried.size() >= pool->second.leafs.size();
  if (all_tried && task.reason == missing_reason::lost) {
    task.tried.clear();
  }
  if (!never_sent && !spend(part.pools.services[block.service->name].retries)) {
    fail_task(block, task, task.reason);
    return;
  }
  ++task.retries;
  ++block.reply.retries;
  ++ctx.shared.count.leaf_retries;
  dispatch(part, block_id, index, ctx);
}

/// Retries or fails a task after its last attempt in flight ended with shards pending.
void after_attempt(block_part& part, std::uint64_t block_id, std::size_t index,
                   bool may_have_run, bool never_sent, context& ctx) {
  block_state& block = part.blocks.at(block_id);
  group_task& task = block.tasks[index];
  if (task.done || !task.live_attempts.empty()) {
    return;
  }
  retry_or_fail(part, block_id, index, may_have_run, never_sent, ctx);
  if (part.blocks.at(block_id).unfinished_tasks == 0) {
    finish_block(part, block_id, ctx);
  }
}

void complete_task(block_part& part, std::uint64_t block_id, std::size_t index,
                   context& ctx) {
  block_state& block = part.blocks.at(block_id);
  group_task& task = block.tasks[index];
  for (const base::attempt_id other : task.live_attempts) {
    // Without these samples the latencies would be those of the fast attempts only.
    part.pools.services[block.service->name].latencies.record(
        ctx.now - part.attempts.at(other).started);
    cancel_attempt(part, other, ctx);
  }
  block.reply.may_have_run += static_cast<std::uint32_t>(task.live_attempts.size());
  task.live_attempts.clear();
  finish_task(block, task);
  if (block.unfinished_tasks == 0) {
    finish_block(part, block_id, ctx);
  }
}

void on_answered(block_part& part, const attempt_state& attempt, base::attempt_id id,
                 const leaf_replied& event, context& ctx) {
  block_state* block = find_block(part, attempt.block);
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
    after_attempt(part, attempt.block, attempt.task, true, false, ctx);
    return;
  }
  ++block->reply.may_have_run;
  merge_answer(*block, task, attempt, event);
  if (task.pending.empty()) {
    complete_task(part, attempt.block, attempt.task, ctx);
    return;
  }
  task.reason = missing_reason::moved;
  after_attempt(part, attempt.block, attempt.task, true, false, ctx);
}

void on_refused(block_part& part, const attempt_state& attempt, base::attempt_id id,
                const leaf_replied& event, context& ctx) {
  block_state* block = find_block(part, attempt.block);
  if (block == nullptr) {
    return;
  }
  group_task& task = block->tasks[attempt.task];
  remove_attempt(task, id);
  task.reason = reason_of(event.outcome);
  const bool may_have_run = !is_refusal(event.outcome);
  block->reply.may_have_run += may_have_run ? 1 : 0;
  after_attempt(part, attempt.block, attempt.task, may_have_run, false, ctx);
}

void hedge_task(block_part& part, std::uint64_t block_id, std::size_t index,
                context& ctx) {
  block_state* block = find_block(part, block_id);
  if (block == nullptr) {
    return;
  }
  group_task& task = block->tasks[index];
  if (task.done || task.live_attempts.empty() ||
      task.hedges >= part.tuning.hedges_per_group) {
    return;
  }
  const std::string key = group_key_of(*block, task);
  const auto pool = part.pools.groups.find(key);
  // Waiting tasks go first; under overload a hedge would only add load.
  if (pool == part.pools.groups.end() || part.queues.count(key) != 0) {
    return;
  }
  const bool all_tried = task.tried.size() >= pool->second.leafs.size();
  const std::vector<std::string> excluded =
      all_tried ? std::vector<std::string>{} : task.tried;
  const pick_result chosen = pick_leaf(part.pools, pool->second,
                                       block->request.index_version, excluded, ctx.now);
  if (chosen.failure != pick_failure::none ||
      !spend(part.pools.services[block->service->name].hedges)) {
    return;
  }
  ++task.hedges;
  ++block->reply.hedges;
  ++ctx.shared.count.leaf_hedges;
  send_attempt(part, block_id, index, chosen.leaf, ctx);
  ctx.add_timer(hedge_delay(part, *block->service), timer_kind::attempt_hedge, block_id,
                index);
}

void check_unanswered(block_part& part, base::attempt_id id, context& ctx) {
  const auto attempt = part.attempts.find(id);
  if (attempt == part.attempts.end() || attempt->second.submit) {
    return;
  }
  leaf_state& leaf = part.pools.leafs.at(attempt->second.leaf);
  probe_silent_leaf(part.pools, leaf, attempt->second.started, ctx);
}

void send_early_reply(block_part& part, std::uint64_t id, context& ctx) {
  block_state* block = find_block(part, id);
  if (block == nullptr) {
    return;
  }
  ctx.send(block->peer, current_reply(part, *block, false));
}

void expire_block(block_part& part, std::uint64_t id, context& ctx) {
  block_state* block = find_block(part, id);
  if (block == nullptr) {
    return;
  }
  for (group_task& task : block->tasks) {
    if (!task.done) {
      task.reason = missing_reason::timeout;
    }
  }
  finish_block(part, id, ctx);
}

/// Records the request's call and returns whether it was seen before. Duplicates are
/// ignored so that a request that was answered as not run does not run later.
bool is_duplicate(block_part& part, const std::string& peer,
                  const wire::block_request& request) {
  const std::uint64_t call_hash = base::hash64(peer, request.call.value);
  if (!part.seen_calls.insert(call_hash).second) {
    return true;
  }
  part.seen_order.push_back(call_hash);
  if (part.seen_order.size() > part.tuning.max_seen_calls) {
    part.seen_calls.erase(part.seen_order.front());
    part.seen_order.pop_front();
  }
  return false;
}

bool serves_any(const block_part& part, const wire::block_request& request) {
  for (const std::uint32_t group : request.groups) {
    if (part.pools.groups.count(group_key(request.service, group)) != 0) {
      return true;
    }
  }
  return false;
}

void start_timers(const block_part& part, const block_state& block, std::uint64_t id,
                  context& ctx) {
  ctx.add_timer(block.request.budget, timer_kind::block_deadline, id);
  if (block.request.early_reply.count() > 0) {
    ctx.add_timer(block.request.early_reply, timer_kind::block_early_reply, id);
  }
  const bool hedges = part.tuning.hedge && block.service->policy.hedge_budget > 0;
  if (!hedges || block.request.kind != request_kind::search) {
    return;
  }
  const base::duration delay = hedge_delay(part, *block.service);
  for (std::size_t index = 0; index < block.tasks.size(); ++index) {
    ctx.add_timer(delay, timer_kind::attempt_hedge, id, index);
  }
}

}  // namespace

void on_block_request(block_part& part, const std::string& peer,
                      const wire::block_request& request, context& ctx) {
  if (is_duplicate(part, peer, request)) {
    return;
  }
  const auto service = find_service(ctx.shared.nodes, request.service);
  if (service == nullptr || !groups_exist(request, *service) ||
      !serves_any(part, request)) {
    ctx.send(peer, make_refusal(request, service.get(), missing_reason::no_holder));
    return;
  }
  if (service->partition_epoch != request.partition_epoch) {
    ctx.send(peer, make_refusal(request, service.get(), missing_reason::moved));
    return;
  }
  block_state block = make_block(peer, request, service, ctx.now);
  if (request.kind == request_kind::describe) {
    ctx.send(peer, describe(part, block));
    return;
  }
  const std::uint64_t id = ctx.next_id();
  start_timers(part, block, id, ctx);
  const std::size_t tasks = block.tasks.size();
  part.blocks[id] = std::move(block);
  part.by_call[{peer, request.call}] = id;
  service_stats& stats = part.pools.services[request.service];
  for (std::size_t index = 0; index < tasks; ++index) {
    ++ctx.shared.count.first_attempts;
    earn(stats.hedges);
    earn(stats.retries);
    dispatch(part, id, index, ctx);
  }
  if (part.blocks.at(id).unfinished_tasks == 0) {
    finish_block(part, id, ctx);
  }
}

void on_block_cancel(block_part& part, const std::string& peer,
                     base::block_call_id call, context& ctx) {
  const auto found = part.by_call.find({peer, call});
  if (found != part.by_call.end()) {
    drop_block(part, found->second, ctx);
  }
}

void on_entry_lost(block_part& part, const std::string& peer, context& ctx) {
  std::vector<std::uint64_t> lost_blocks;
  for (const auto& [id, block] : part.blocks) {
    if (block.peer == peer && block.request.kind == request_kind::search) {
      lost_blocks.push_back(id);
    }
  }
  for (const std::uint64_t id : lost_blocks) {
    drop_block(part, id, ctx);
  }
}

void on_leaf_reply(block_part& part, const leaf_replied& event, context& ctx) {
  const auto found = part.attempts.find(event.attempt);
  if (found == part.attempts.end()) {
    ++ctx.shared.count.late_leaf_replies;
    return;
  }
  const attempt_state attempt = std::move(found->second);
  part.attempts.erase(found);
  const std::string key = part.pools.leafs.at(attempt.leaf).group_key;
  record_outcome(part, attempt, event, ctx);
  if (event.outcome == leaf_outcome::invalid) {
    drop_connection(part.pools, attempt.connection, true, ctx);
  } else {
    release_connection(part.pools, attempt.connection);
  }
  if (event.outcome == leaf_outcome::answered) {
    on_answered(part, attempt, event.attempt, event, ctx);
  } else {
    on_refused(part, attempt, event.attempt, event, ctx);
  }
  dispatch_waiting(part, key, ctx);
}

void on_attempt_lost(block_part& part, const attempt_lost& event, context& ctx) {
  const auto found = part.attempts.find(event.attempt);
  if (found == part.attempts.end()) {
    return;
  }
  const attempt_state attempt = std::move(found->second);
  part.attempts.erase(found);
  leaf_state& leaf = part.pools.leafs.at(attempt.leaf);
  const std::string key = leaf.group_key;
  record_failure(part.pools, leaf, ctx);
  drop_connection(part.pools, attempt.connection, true, ctx);
  block_state* block = find_block(part, attempt.block);
  if (block != nullptr) {
    group_task& task = block->tasks[attempt.task];
    remove_attempt(task, event.attempt);
    task.reason = missing_reason::lost;
    block->reply.may_have_run += event.may_have_reached_leaf ? 1 : 0;
    after_attempt(part, attempt.block, attempt.task, event.may_have_reached_leaf,
                  !event.may_have_reached_leaf, ctx);
  }
  dispatch_waiting(part, key, ctx);
}

void on_connection_opened(block_part& part, const connection_opened& event,
                          context& ctx) {
  const auto found = part.pools.connections.find(event.connection);
  const std::string leaf =
      found == part.pools.connections.end() ? std::string() : found->second.leaf;
  for (const base::attempt_id silent : on_open_succeeded(part.pools, event, ctx)) {
    on_attempt_lost(part, {silent, true}, ctx);
  }
  if (!leaf.empty()) {
    open_next_connection(part.pools, leaf, ctx);
    dispatch_waiting(part, part.pools.leafs.at(leaf).group_key, ctx);
  }
}

void on_connection_failed(block_part& part, const connection_failed& event,
                          context& ctx) {
  const auto found = part.pools.connections.find(event.connection);
  if (found == part.pools.connections.end()) {
    return;
  }
  const std::string key = part.pools.leafs.at(found->second.leaf).group_key;
  on_open_failed(part.pools, event, ctx);
  dispatch_waiting(part, key, ctx);
}

void on_status_polled(block_part& part, const status_polled& event, context& ctx) {
  const auto found = part.pools.leafs.find(event.leaf);
  if (found == part.pools.leafs.end() || !event.status) {
    return;
  }
  record_status(found->second, *event.status);
  dispatch_waiting(part, found->second.group_key, ctx);
}

void on_block_timer(block_part& part, const timer& due, context& ctx) {
  switch (due.kind) {
    case timer_kind::block_deadline:
      expire_block(part, due.subject, ctx);
      return;
    case timer_kind::block_early_reply:
      send_early_reply(part, due.subject, ctx);
      return;
    case timer_kind::attempt_hedge:
      hedge_task(part, due.subject, due.detail, ctx);
      return;
    case timer_kind::attempt_timeout:
      check_unanswered(part, {due.subject}, ctx);
      return;
    default:
      return;
  }
}

std::size_t waiting_count(const block_part& part) {
  std::size_t count = 0;
  for (const auto& [key, queue] : part.queues) {
    count += queue_length(queue);
  }
  return count;
}

}  // namespace ibis::policy
