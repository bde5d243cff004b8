/// Delays between the tries of a call that failed.
#pragma once

#include <cstdint>  // for uint32_t

#include "ibis/serving/state.hpp"  // for node_state

namespace ibis::serving {

/// Bounds of the delays between tries.
struct backoff_limits {
  base::milliseconds first{0};  ///< Doubled after each consecutive failure.
  base::milliseconds longest{0};
};

/// Computes the delay before the next try. Jitter of half the delay keeps nodes that
/// failed at the same time from all trying again at once.
/// @param failures Number of consecutive failures; at least 1.
base::milliseconds spread_backoff(const backoff_limits& limits, std::uint32_t failures,
                                  node_state& node);

}  // namespace ibis::serving
