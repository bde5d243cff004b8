#include "ibis/serving/concurrency_limit.hpp"

#include <algorithm>  // for clamp, max, min

namespace ibis::serving {
namespace {

void decrease_limit(leaf_state& leaf, double factor, base::time_point now,
                    const leaf_settings& settings) {
  leaf.concurrency_limit =
      std::max(settings.min_limit, leaf.concurrency_limit * factor);
  leaf.decreased_at = now;
}

/// Enforces a limit below one request by a pause after each request.
void update_pacing(leaf_state& leaf, base::duration latency, base::time_point now) {
  if (leaf.concurrency_limit >= 1.0) {
    return;
  }
  const std::chrono::duration<double, std::nano> pause =
      latency * (1.0 / leaf.concurrency_limit - 1.0);
  leaf.next_send_at = now + std::chrono::duration_cast<base::duration>(pause);
}

}  // namespace

void update_concurrency_limit(leaf_state& leaf, base::duration latency,
                              base::duration typical_latency, base::time_point now,
                              const leaf_settings& settings) {
  const double latency_ratio =
      base::to_ms(latency) / std::max(1.0, base::to_ms(typical_latency));
  if (latency_ratio <= settings.late_factor) {
    leaf.concurrency_limit =
        std::min(settings.max_limit,
                 leaf.concurrency_limit +
                     settings.limit_step / std::max(1.0, leaf.concurrency_limit));
  } else if (now - leaf.decreased_at > latency) {
    // Requests that queued together are late together: they are one sign of overload,
    // not many.
    decrease_limit(leaf, settings.limit_decrease, now, settings);
  }
  update_pacing(leaf, std::min<base::duration>(latency, settings.max_pacing_delay),
                now);
}

bool has_capacity(const leaf_state& leaf, base::time_point now) {
  return static_cast<double>(leaf.running.size()) <
             std::max(1.0, leaf.concurrency_limit) &&
         now >= leaf.next_send_at;
}

bool has_spare_capacity(const leaf_state& leaf, base::time_point now) {
  constexpr double share = 0.5;
  return leaf.concurrency_limit >= 1.0 && now >= leaf.next_send_at &&
         static_cast<double>(leaf.running.size()) < leaf.concurrency_limit * share;
}

}  // namespace ibis::serving
