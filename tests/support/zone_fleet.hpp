/// Nodes of one availability zone that follow the store through two of them, for tests
/// of how changes reach all of them.
#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <string>   // for string

#include "follower_fleet.hpp"  // for follower_fleet
#include "ibis/base/time.hpp"  // for milliseconds

namespace ibis::tests {

/// How soon a change must be in force at all nodes; the smallest site requires this.
inline constexpr base::milliseconds propagation_limit{3000};

/// Adds a node of the zone, which follows evacuations as well.
void add_zone_node(standins::follower_fleet& fleet, const std::string& name);

/// Starts nodes "node-0" and so on, which know each other and have a configuration of
/// version 2.
void populate_zone(standins::follower_fleet& fleet, std::size_t nodes);

/// @return The number of nodes that are alive.
std::size_t count_alive(const standins::follower_fleet& fleet);

/// Changes each topic, and checks that all nodes that are alive apply it in time.
/// @param version Of the new configuration; also names a leaf and a zone.
void check_propagation(standins::follower_fleet& fleet, std::uint64_t version);

}  // namespace ibis::tests
