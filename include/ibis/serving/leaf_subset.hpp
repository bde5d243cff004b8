/// Limits the leafs that may get a shard's request when several nodes may send it.
#pragma once

#include <cstdint>  // for uint64_t
#include <string>   // for string
#include <vector>   // for vector

#include "ibis/base/time.hpp"           // for time_point
#include "ibis/serving/leaf_state.hpp"  // for leaf_ptr

namespace ibis::serving {

/// How long a leaf counts as new: other nodes may not know it yet.
inline constexpr base::milliseconds new_leaf_age{2000};

/// Chooses the leafs that may get a request. Nodes that know the same leafs choose the
/// same ones, so that a request that a second node repeats reaches no further leaf.
/// Leafs that are new come last, those in the client's availability zone first.
/// @param request Id of the request; spreads requests over the leafs.
/// @param zone Availability zone of the node that has the client.
/// @param count How many leafs to choose at most.
/// @return The keys of the chosen leafs.
std::vector<std::uint64_t> choose_leaf_subset(const std::vector<leaf_ptr>& leafs,
                                              const std::string& request,
                                              const std::string& zone,
                                              std::size_t count, base::time_point now);

}  // namespace ibis::serving
