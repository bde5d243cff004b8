#include "ibis/policy/block.hpp"

#include <algorithm>  // for find
#include <utility>    // for move

#include "ibis/base/hash.hpp"             // for hash64
#include "ibis/policy/attempt_delay.hpp"  // for hedge_delay
#include "ibis/policy/block_outcome.hpp"  // for merge_answer, record_outcome
#include "ibis/policy/block_reply.hpp"    // for current_reply
#include "ibis/policy/block_tasks.hpp"    // for dispatch, after_attempt

namespace ibis::policy {
namespace {

using wire::missing_reason;
using wire::request_kind;

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
