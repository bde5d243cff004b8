#include "ibis/policy/block_outcome.hpp"

#include <algorithm>  // for find

namespace ibis::policy {

using wire::missing_reason;

missing_reason reason_of(pick_failure failure) {
  switch (failure) {
    case pick_failure::draining:
      return missing_reason::draining;
    case pick_failure::version_gone:
      return missing_reason::version_gone;
    case pick_failure::busy:
      return missing_reason::shed;
    case pick_failure::none:
    case pick_failure::lost:
      break;
  }
  return missing_reason::lost;
}

missing_reason reason_of(leaf_outcome outcome) {
  switch (outcome) {
    case leaf_outcome::shed:
      return missing_reason::shed;
    case leaf_outcome::draining:
      return missing_reason::draining;
    case leaf_outcome::version_gone:
      return missing_reason::version_gone;
    case leaf_outcome::moved:
    case leaf_outcome::answered:
      return missing_reason::moved;
    case leaf_outcome::cancelled:
    case leaf_outcome::invalid:
      break;
  }
  return missing_reason::lost;
}

bool is_refusal(leaf_outcome outcome) {
  return outcome == leaf_outcome::shed || outcome == leaf_outcome::draining ||
         outcome == leaf_outcome::version_gone || outcome == leaf_outcome::moved;
}

void merge_answer(block_state& block, group_task& task, const attempt_state& attempt,
                  const leaf_replied& event) {
  std::vector<wire::shard_index> merged;
  for (const wire::shard_index shard : event.covered) {
    const auto asked = std::find(attempt.shards.begin(), attempt.shards.end(), shard);
    const auto pending = std::find(task.pending.begin(), task.pending.end(), shard);
    if (asked != attempt.shards.end() && pending != task.pending.end()) {
      merged.push_back(shard);
      task.pending.erase(pending);
    }
  }
  block.reply.covered.insert(block.reply.covered.end(), merged.begin(), merged.end());
  for (const wire::hit& hit : event.hits) {
    if (std::find(merged.begin(), merged.end(), hit.shard) != merged.end()) {
      block.reply.hits.push_back(hit);
    }
  }
  if (!event.result.empty()) {
    block.reply.result = event.result;
  }
}

void record_outcome(block_table& table, const attempt_state& attempt,
                    const leaf_replied& event, context& ctx) {
  leaf_state& leaf = table.pools.leafs.at(attempt.leaf);
  record_status(leaf, event.status);
  if (event.outcome == leaf_outcome::draining) {
    leaf.draining = true;
  }
  if (event.outcome == leaf_outcome::shed) {
    ++ctx.shared.count.leaf_sheds;
    record_shed(table.pools, leaf, ctx.now);
  }
  if (event.outcome == leaf_outcome::invalid) {
    record_failure(table.pools, leaf, ctx);
  }
  if (event.outcome != leaf_outcome::answered) {
    return;
  }
  const base::duration latency = ctx.now - attempt.started;
  const std::size_t allowance =
      connection_allowance(table.pools, ctx.shared.nodes, leaf);
  record_success(table.pools, leaf, latency, attempt.was_at_limit, allowance, ctx.now);
  const auto group = table.pools.groups.find(leaf.group_key);
  if (group != table.pools.groups.end()) {
    table.pools.services[group->second.service->name].latencies.record(latency);
  }
}

}  // namespace ibis::policy
