/// Limits the leafs that may get a shard's request when several nodes may send it.
#pragma once

#include <cstdint>  // for uint64_t
#include <string>   // for string
#include <vector>   // for vector

#include "ibis/base/time.hpp"           // for time_point
#include "ibis/serving/leaf_state.hpp"  // for leaf_ptr

namespace ibis::serving {

struct service_state;

/// How long other nodes may not know yet that a leaf joined or left.
inline constexpr base::milliseconds leaf_news_delay{2000};

/// A leaf that left a service a short time ago.
struct departed_leaf {
  std::string id;
  std::string availability_zone;
  base::time_point left_at{};
};

/// Chooses the leafs that may get a request. Nodes that know the same leafs choose the
/// same ones, so that a request that a second node repeats reaches no further leaf. A
/// leaf that has just left keeps its rank, and one that has just joined comes last,
/// since other nodes may not know of it yet. Leafs in the client's availability zone
/// come first.
/// @param request Id of the request; spreads requests over the leafs.
/// @param zone Availability zone of the node that has the client.
/// @param count How many leafs to choose at most.
/// @return The keys of the chosen leafs.
std::vector<std::uint64_t> choose_leaf_subset(const service_state& service,
                                              const std::string& request,
                                              const std::string& zone,
                                              std::size_t count, base::time_point now);

/// Adds a leaf to the departed ones, and forgets those that left long ago.
void note_departed(service_state& service, const leaf_record& leaf,
                   base::time_point now);

}  // namespace ibis::serving
