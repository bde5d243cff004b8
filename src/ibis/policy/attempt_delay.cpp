#include "ibis/policy/attempt_delay.hpp"

#include <algorithm>  // for clamp

namespace ibis::policy {

base::duration hedge_delay(const block_table& table, const config::service& service) {
  if (table.tuning.fixed_hedge_delay.count() != 0) {
    return table.tuning.fixed_hedge_delay;
  }
  const auto stats = table.pools.services.find(service.name);
  if (stats == table.pools.services.end()) {
    return table.tuning.default_hedge_delay;
  }
  const double hedge_share =
      service.policy.hedge_budget * table.tuning.planned_hedge_share;
  return stats->second.latencies.quantile(1.0 - hedge_share,
                                          table.tuning.default_hedge_delay);
}

base::duration silence_timeout(const block_table& table, const std::string& service) {
  constexpr double high_quantile = 0.99;
  const base::duration floor = table.tuning.min_silence_timeout;
  const base::duration ceiling = table.tuning.max_silence_timeout;
  const auto stats = table.pools.services.find(service);
  if (stats == table.pools.services.end()) {
    return floor;
  }
  const base::duration typical =
      stats->second.latencies.quantile(high_quantile, base::duration::zero());
  const auto scaled = std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double, std::nano>(typical) *
      table.tuning.silence_timeout_factor);
  return std::clamp(scaled, floor, ceiling);
}

}  // namespace ibis::policy
