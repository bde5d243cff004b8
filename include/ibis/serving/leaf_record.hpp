/// A leaf's record in the registry.
#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <string>   // for string

#include "ibis/base/time.hpp"  // for milliseconds

namespace ibis::serving {

/// What a leaf registers about itself. `id` and `started_at` together identify one
/// incarnation of the leaf.
struct leaf_record {
  std::string id;
  std::string service;
  std::string address;  ///< "ip:port".
  std::string availability_zone;
  std::uint32_t slots = 1;           ///< Number of requests it processes concurrently.
  bool draining = false;             ///< The leaf takes no new work.
  base::milliseconds warm_up{0};     ///< How long the leaf is slow after its start.
  base::milliseconds started_at{0};  ///< Time since the Unix epoch.
  std::uint64_t sequence = 0;        ///< Grows with each report of an incarnation.
};

}  // namespace ibis::serving
