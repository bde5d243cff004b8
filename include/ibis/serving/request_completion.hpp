/// Completes client requests. Every answer that a node sends to a client is made here.
#pragma once

#include "ibis/serving/state.hpp"  // for context, pending_request

namespace ibis::serving {

/// Answers a request now, from the shards that have answered if they are enough.
/// @param reason Why it is answered early, for the log.
void answer_with_what_is_ready(pending_request& pending, const char* reason,
                               context& ctx);

/// Answers a fan-out request by merging the shard answers received so far. The answer
/// states how many shards are missing.
void answer_merged(pending_request& pending, context& ctx);

/// Forwards the answer of a single leaf to the client, unchanged.
void forward_leaf_answer(pending_request& pending,
                         const std::shared_ptr<leaf_answer>& answer, context& ctx);

/// Answers a request that failed. If no leaf can have executed it, the answer is a 503
/// with a Retry-After, so that the client may safely retry; otherwise it is a 502,
/// which leaves open whether the request was executed.
void answer_failure(pending_request& pending, const char* reason, context& ctx);

/// Answers a request whose deadline has passed with a 504.
void answer_timeout(pending_request& pending, context& ctx);

/// Answers a request that was not sent to any leaf with a 503.
/// @param retry_after Delay after which the client should retry.
void refuse_request(base::caller_id caller, const inbound_request& request,
                    base::milliseconds retry_after, const char* reason, context& ctx);

/// Answers an invalid request, or one that matches no route, with a 4xx status.
void reject_request(base::caller_id caller, const inbound_request& request,
                    unsigned status, const char* reason, context& ctx);

/// Removes the state of a request that was answered or whose client disconnected.
/// Attempts that are still running at leafs are bounded by their connections' timers.
void remove_request(base::caller_id caller, context& ctx);

}  // namespace ibis::serving
