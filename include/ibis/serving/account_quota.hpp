/// Enforces the rate limits of client accounts. The decisions are made in
/// `ibis::quota`; this connects them to requests, messages and timers of a node.
#pragma once

#include "ibis/serving/state.hpp"  // for context, pending_request

namespace ibis::serving {

/// Starts a request of a client if its account's limit permits it, otherwise rejects it
/// with a 429. It may wait for a token for a part of its route's objective first.
void admit_by_quota(pending_request&& pending, context& ctx);

/// Removes a request that waits for a token, since its client disconnected.
/// @return False if there is no such request.
bool forget_quota_request(base::caller_id caller, context& ctx);

/// Passes the nodes of a complete count on.
/// @param self_counted Whether this node's own record is among them.
void update_quota_nodes(bool self_counted, context& ctx);

void on_quota_requested(const quota_requested& event, context& ctx);
void on_quota_granted(const quota_granted& event, context& ctx);
void on_quota_undeliverable(const quota_undeliverable& event, context& ctx);
void on_quota_due(context& ctx);

/// Hands this node's accounts over, since it stops.
void resign_accounts(context& ctx);

/// Rejects the requests that still wait, since the process must exit.
void reject_quota_requests(context& ctx);

}  // namespace ibis::serving
