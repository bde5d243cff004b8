/// Decision logic of a serving node: a single reducer that turns events into effects.
/// It performs no I/O and reads no clock, so that it can be tested on simulated time.
///
///     node_state node = make_node(settings, seed);
///     carry_out(start(node, now));
///     carry_out(reduce(node, request_arrived{...}, now));  // for each event
#pragma once

#include <cstddef>   // for size_t
#include <optional>  // for optional
#include <string>    // for string

#include "ibis/serving/state.hpp"  // for node_state

namespace ibis::serving {

/// Creates the state of a node whose process has just started.
/// @param random_seed Must differ between nodes, so that they do not act in lockstep,
/// and between the starts of a node, so that its calls to other nodes have different
/// ids.
node_state make_node(const node_settings& settings, std::uint32_t random_seed);

/// Starts a node's timers and begins to follow the store. Must be called exactly once.
effects start(node_state& node, base::time_point now);

/// Processes one event. Due timers fire on a `tick` only.
///
/// @param node Updated in place, since copying it would cost more than the decisions.
/// @param now Time of the event; must never go backwards.
/// @return The effects to carry out, in order.
effects reduce(node_state& node, const event& value, base::time_point now);

/// @return When the next `tick` event is due, or nothing if no timer is set.
std::optional<base::time_point> next_tick(const node_state& node);

/// Whether a load balancer should send clients to this node.
struct readiness {
  bool ready = false;
  const char* reason = "";  ///< Why the node is not ready; empty if it is.
};

/// @return The node's readiness. A node that is stopping is not ready, and neither is
/// one that has no configuration, has not listed the leafs or is still opening its
/// first connections.
readiness check_readiness(const node_state& node, base::time_point now);

}  // namespace ibis::serving
