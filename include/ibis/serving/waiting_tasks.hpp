/// Queues of tasks that wait in the node until a leaf of their service has capacity.
#pragma once

#include <string>  // for string

#include "ibis/serving/state.hpp"  // for context

namespace ibis::serving {

/// Sends the tasks waiting for a service for as long as its leafs have capacity. Tasks
/// without which their request would fail go first, then those of more urgent routes,
/// then those that have waited longest.
void dispatch_waiting_tasks(const std::string& service, context& ctx);

/// Handles the end of the pause between requests to a leaf whose concurrency limit is
/// below 1.
/// @param id A connection to that leaf.
void on_leaf_capacity(base::connection_id id, context& ctx);

}  // namespace ibis::serving
