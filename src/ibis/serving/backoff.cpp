#include "ibis/serving/backoff.hpp"

#include <algorithm>  // for min

namespace ibis::serving {

base::milliseconds spread_backoff(const backoff_limits& limits, std::uint32_t failures,
                                  node_state& node) {
  constexpr std::uint32_t max_doublings = 4;
  const std::uint32_t doublings = std::min(failures - 1, max_doublings);
  const base::milliseconds full_delay =
      std::min(limits.first * (1U << doublings), limits.longest);
  return full_delay / 2 +
         base::milliseconds(static_cast<base::milliseconds::rep>(
             node.random() % static_cast<std::uint64_t>(full_delay.count() / 2 + 1)));
}

}  // namespace ibis::serving
