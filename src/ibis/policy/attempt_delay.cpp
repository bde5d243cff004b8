#include "ibis/policy/attempt_delay.hpp"

#include <algorithm>  // for clamp

namespace ibis::policy {

base::duration hedge_delay(const block_part& part, const config::service& service) {
  if (part.tuning.fixed_hedge_delay.count() != 0) {
    return part.tuning.fixed_hedge_delay;
  }
  const auto learnt = part.pools.services.find(service.name);
  if (learnt == part.pools.services.end()) {
    return part.tuning.hedge_fallback;
  }
  const double hedged = service.policy.hedge_budget * part.tuning.planned_hedge_share;
  return learnt->second.latencies.quantile(1.0 - hedged, part.tuning.hedge_fallback);
}

base::duration silent_delay(const block_part& part, const std::string& service) {
  constexpr double high_quantile = 0.99;
  const base::duration floor = part.tuning.silent_floor;
  const base::duration ceiling = part.tuning.silent_ceiling;
  const auto learnt = part.pools.services.find(service);
  if (learnt == part.pools.services.end()) {
    return floor;
  }
  const base::duration typical =
      learnt->second.latencies.quantile(high_quantile, base::duration::zero());
  const auto scaled = std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double, std::nano>(typical) * part.tuning.silent_factor);
  return std::clamp(scaled, floor, ceiling);
}

}  // namespace ibis::policy
