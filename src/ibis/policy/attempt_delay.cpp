#include "ibis/policy/attempt_delay.hpp"

#include <algorithm>  // for clamp

namespace ibis::policy {

base::duration hedge_delay(const block_part& part, const config::service& service) {
  if (part.tuning.fixed_hedge_delay.count() != 0) {
    return part.tuning.fixed_hedge_delay;
  }
  const auto stats = part.pools.services.find(service.name);
  if (stats == part.pools.services.end()) {
    return part.tuning.default_hedge_delay;
  }
  const double hedge_share =
      service.policy.hedge_budget * part.tuning.planned_hedge_share;
  return stats->second.latencies.quantile(1.0 - hedge_share,
                                          part.tuning.default_hedge_delay);
}

base::duration silence_timeout(const block_part& part, const std::string& service) {
  constexpr double high_quantile = 0.99;
  const base::duration floor = part.tuning.min_silence_timeout;
  const base::duration ceiling = part.tuning.max_silence_timeout;
  const auto stats = part.pools.services.find(service);
  if (stats == part.pools.services.end()) {
    return floor;
  }
  const base::duration typical =
      stats->second.latencies.quantile(high_quantile, base::duration::zero());
  const auto scaled = std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double, std::nano>(typical) *
      part.tuning.silence_timeout_factor);
  return std::clamp(scaled, floor, ceiling);
}

}  // namespace ibis::policy
