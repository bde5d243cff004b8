/// Rendezvous (highest random weight) hashing: chooses the owners of a key from a set
/// of nodes. When a node joins or leaves, only the keys that it owns move.
#pragma once

#include <cstddef>      // for size_t
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

namespace ibis::base {

/// Chooses the candidates with the highest weights for a key. The result depends on the
/// arguments alone, so all nodes that know the same candidates agree on it.
///
/// @param key The key to be owned, such as a block's key.
/// @param candidates Names of the nodes; their order does not matter.
/// @param count The number of owners to choose.
/// @return At most `count` names, by descending weight.
std::vector<std::string> rendezvous_owners(std::string_view key,
                                           const std::vector<std::string>& candidates,
                                           std::size_t count);

}  // namespace ibis::base
