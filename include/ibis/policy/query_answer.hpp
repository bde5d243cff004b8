/// Builds the answer to a query from the replies to its block requests.
#pragma once

#include <cstddef>  // for size_t

#include "ibis/policy/query.hpp"  // for query_state

namespace ibis::policy {

/// @return An answer with the request's id, tenant and priority only.
answer empty_answer(const query_received& request, base::request_id id);

/// @return The number of shards that the replies so far cover.
std::size_t covered_count(const query_state& query);

/// Adds all shards of a block to the answer's missing shards.
void add_missing_of_block(const query_state& query, const query_block& block,
                          wire::missing_reason reason, answer& value);

/// Merges the replies into an answer: the best hits of all of them, and the missing
/// shards with their reasons. The outcome is not set yet.
answer merge_replies(const query_state& query, base::request_id id,
                     base::time_point now);

/// Returns whether any leaf may have run the request.
bool any_may_have_run(const query_state& query);

/// Sets the answer's outcome and reason from its coverage.
void set_outcome(answer& value, const query_state& query, const query_tuning& tuning);

/// Returns whether any reply lists a shard as missing for the reason.
bool has_missing_reason(const query_state& query, wire::missing_reason reason);

/// Rewrites a reply so that it lists each shard of the block exactly once, as covered
/// or as missing, and no other shard. The block's shards are those of the query's own
/// configuration, whatever the holder reports. A holder that does not know the service
/// reports no shard at all.
///
/// @param unlisted_reason The reason for shards that the reply does not list.
void normalize_shards(const query_state& query, const query_block& block,
                      wire::missing_reason unlisted_reason, wire::block_reply& reply);

/// Returns whether a reply covers no shard and lists shards as missing for this reason
/// only.
bool all_missing_with_reason(const wire::block_reply& reply,
                             wire::missing_reason reason);

}  // namespace ibis::policy
