/// Applies the outcome of one attempt to its block and to what is known of the leaf.
#pragma once

#include "ibis/policy/block.hpp"  // for block_table, attempt_state

namespace ibis::policy {

/// @return The reason reported for a shard for which no leaf could be picked.
wire::missing_reason reason_of(pick_failure failure);
/// @return The reason reported for a shard that a leaf's answer does not cover.
wire::missing_reason reason_of(leaf_outcome outcome);

/// Returns whether the leaf stated that it did not run the request.
bool is_refusal(leaf_outcome outcome);

/// Merges an answer into the block's reply. Only shards that were asked for and are
/// still pending count, so that two answers for the same shard are not both merged.
void merge_answer(block_state& block, group_task& task, const attempt_state& attempt,
                  const leaf_replied& event);

/// Updates the leaf's status, concurrency limit and latencies from an answer.
void record_outcome(block_table& table, const attempt_state& attempt,
                    const leaf_replied& event, context& ctx);

}  // namespace ibis::policy
