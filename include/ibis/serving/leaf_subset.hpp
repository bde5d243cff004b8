/// Limits the leafs that may get a shard's request when several nodes may send it.
#pragma once

#include <cstddef>  // for size_t
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

/// A request that several nodes may send to leafs.
struct delegated_request {
  std::string id;             ///< Spreads requests over the leafs.
  std::string zone;           ///< Availability zone of the node that has the client.
  std::size_t max_leafs = 1;  ///< How many leafs may get it, from all nodes.
  std::uint32_t sent_before = 0;  ///< How many nodes may have sent it before.
};

/// Chooses the leafs that may get a request from this node. Nodes that know the same
/// leafs choose the same ones, so that a request that a second node repeats reaches no
/// further leaf. A leaf that has just left keeps its rank, since other nodes may still
/// know it. While a leaf is new, others may not know it yet: each node then chooses
/// only one leaf, and none once as many nodes as leafs are allowed may have sent the
/// request. Leafs in the client's availability zone come first.
/// @return The keys of the chosen leafs; the key 0, which no leaf has, if none is left.
std::vector<std::uint64_t> choose_leaf_subset(const service_state& service,
                                              const delegated_request& request,
                                              base::time_point now);

/// Adds a leaf to the departed ones, and forgets those that left long ago.
void note_departed(service_state& service, const leaf_record& leaf,
                   base::time_point now);

}  // namespace ibis::serving
