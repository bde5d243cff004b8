/// Queries shards for other nodes, which ask this node as a holder of the connections
/// to their leafs. See `holders.hpp`.
#pragma once

#include <string>  // for string

#include "ibis/serving/state.hpp"  // for context, pending_request

namespace ibis::serving {

/// Starts to query the shards that another node asks for.
void on_shards_requested(const shards_requested& event, context& ctx);

/// Stops what this node does for a request that its node no longer needs.
void on_shards_cancelled(const shards_cancelled& event, context& ctx);

/// Stops all requests of a node to which the connection was lost.
void cancel_requests_of(const std::string& node, context& ctx);

/// Replies with what the shards have answered since the last reply, even if that is
/// nothing, to show that this node is alive.
void on_progress_due(base::caller_id caller, context& ctx);

/// Replies if all shards are decided, or with any news once the objective has passed.
void reply_if_ready(pending_request& pending, context& ctx);

/// Sends the final reply of a request of another node, and removes the request.
/// @param reason Why it ended, for the log; empty if all shards were decided.
void finish_shards(pending_request& pending, const char* reason, context& ctx);

}  // namespace ibis::serving
