/// Limits the leafs that may get a shard's request when several nodes may send it.
///
/// The node that has the client chooses the leafs once for a request, and names them to
/// every holder that it asks. So the request reaches no more leafs than its route
/// allows, even if the nodes know different leafs at the moment.
#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint32_t, uint64_t
#include <string>   // for string
#include <vector>   // for vector

#include "ibis/base/time.hpp"           // for time_point
#include "ibis/serving/leaf_state.hpp"  // for leaf_ptr

namespace ibis::serving {

/// A leaf that joined less than this time ago is chosen last: other nodes may not know
/// it yet.
inline constexpr base::milliseconds new_leaf_age{2000};

/// A key that no leaf has.
inline constexpr std::uint64_t no_leaf_key = 0;

/// @return A short name of a leaf, the same on all nodes.
std::uint32_t leaf_tag(const std::string& leaf);

/// Chooses the leafs that may get a request, among those that take new work: those in
/// the node's own availability zone first, then by a hash that spreads requests over
/// them.
/// @param request Id of the request.
/// @param zone The node's availability zone.
/// @param count How many leafs to choose at most.
std::vector<leaf_ptr> choose_allowed_leafs(const std::vector<leaf_ptr>& leafs,
                                           const std::string& request,
                                           const std::string& zone, std::size_t count,
                                           base::time_point now);

/// @return The keys of the leafs whose tags are given; `no_leaf_key` if there are none.
std::vector<std::uint64_t> find_leaf_keys(const std::vector<leaf_ptr>& leafs,
                                          const std::vector<std::uint32_t>& tags);

}  // namespace ibis::serving
