/// Queues of tasks that wait in the node until a leaf of their service has capacity.
#pragma once

#include <string>  // for string

#include "ibis/serving/state.hpp"  // for context

namespace ibis::serving {

/// Sends the tasks waiting for a service for as long as its leafs have capacity, in the
/// order of `admission::next_entry`. Gives up those that can no longer end in time.
void dispatch_waiting_tasks(const std::string& service, context& ctx);

/// Refuses a client's request to a single leaf if the work that waits ahead of it would
/// take longer than the client waits. Refusing destroys `pending`.
/// @return Whether it was refused.
bool refuse_if_out_of_time(pending_request& pending, context& ctx);

/// Handles the end of the pause between requests to a leaf whose concurrency limit is
/// below 1.
/// @param id A connection to that leaf.
void on_leaf_capacity(base::connection_id id, context& ctx);

}  // namespace ibis::serving
