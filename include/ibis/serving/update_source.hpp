/// Chooses where a node gets store updates from: the store or a peer. In each
/// availability zone only a few nodes watch the store and pass its changes to the
/// others, so that the load on the store does not grow with the number of nodes. A node
/// that the store refuses gets updates from one of these watchers.
#pragma once

#include <optional>  // for optional

#include "ibis/serving/state.hpp"  // for node_state

namespace ibis::serving {

/// Chooses the source of updates. All nodes rank the nodes of an availability zone by
/// the same hash, so that they agree on the watchers, except for peers that a node
/// currently avoids.
/// @return The peer to query, or nothing if this node is to query the store itself.
std::optional<peer> choose_update_source(const node_state& node, base::time_point now);

/// Excludes a peer as an update source for `peer_settings::avoid_peer_for`, and for
/// longer after each further failure. Does nothing if it is excluded already.
/// @param node Name of the peer.
void avoid_peer(const std::string& node, context& ctx);

/// Forgets the failures of a peer, which has replied.
void forget_peer_failures(const std::string& node, context& ctx);

/// Forgets failures from so long ago that they count no more.
void forget_old_peer_failures(context& ctx);

}  // namespace ibis::serving
