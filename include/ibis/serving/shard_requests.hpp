/// Asks holders to query the shards of a fan-out request. See `holders.hpp`.
#pragma once

#include <cstddef>  // for size_t
#include <string>   // for string
#include <vector>   // for vector

#include "ibis/serving/state.hpp"  // for context, pending_request

namespace ibis::serving {

/// Asks the holders of a request's shards for them.
/// @return The indices of the tasks that no holder was asked for. This node sends them
/// to leafs itself.
std::vector<std::size_t> ask_holders(pending_request& pending, context& ctx);

/// Adds a holder's reply to its request. Shards that the holder did not send to any
/// leaf are asked for elsewhere.
void on_shards_replied(const shards_replied& event, context& ctx);

/// Asks another holder, after a request could not be sent to the first one.
void on_shards_undeliverable(const shards_undeliverable& event, context& ctx);

/// Asks other holders for the shards that a lost peer has not replied for.
void retry_calls_of(const std::string& node, context& ctx);

/// Asks another holder as well if one has not replied in time, and resets the
/// connection to it if this happens again.
void on_holder_silent(base::block_call_id call, context& ctx);

/// Cancels what holders still do for a request that was answered or whose client
/// disconnected.
void cancel_shard_calls(const pending_request& pending, context& ctx);

}  // namespace ibis::serving
