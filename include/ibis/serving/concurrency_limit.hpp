/// Limits how many requests this node has in flight at a leaf. The limit adapts to the
/// leaf's latency, so that queues build up in the nodes, where requests can be
/// prioritized and dropped, rather than in the leafs.
#pragma once

#include "ibis/serving/leaf_state.hpp"  // for leaf_state

namespace ibis::serving {

/// Raises the limit after an answer in typical time, and lowers it after a late one.
/// While the limit is below 1, also sets the pause before the next request.
/// @param typical_latency Latency that is typical of the request's route.
void update_concurrency_limit(leaf_state& leaf, base::duration latency,
                              base::duration typical_latency, base::time_point now,
                              const leaf_settings& settings);

/// Whether the limit allows another request to the leaf now.
bool has_capacity(const leaf_state& leaf, base::time_point now);

/// Whether the leaf is loaded lightly enough for a hedge: less than half of its limit
/// is in use.
bool has_spare_capacity(const leaf_state& leaf, base::time_point now);

}  // namespace ibis::serving
