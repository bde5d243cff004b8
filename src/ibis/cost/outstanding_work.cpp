#include "ibis/cost/outstanding_work.hpp"

#include <algorithm>  // for clamp, max

namespace ibis::cost {
namespace {

// Bounds of what a request counts, relative to the one for which a leaf is chosen. The
// costs of routes that share leafs differ by about 3.
constexpr double min_ratio = 0.1;
constexpr double max_ratio = 4.0;

/// @return The bounded ratio of the times, closer to `unknown_residual` the less the
/// table is trusted.
double bounded_ratio(double residual_ms, double expected_ms, double trust) {
  const double ratio = std::clamp(residual_ms / expected_ms, min_ratio, max_ratio);
  return unknown_residual + trust * (ratio - unknown_residual);
}

}  // namespace

base::duration outstanding_work(const cost_table& table,
                                const std::vector<request_in_flight>& requests,
                                const leaf_load& load, base::duration expected,
                                base::time_point now) {
  const double expected_ms = base::to_ms(expected);
  if (expected_ms <= 0) {
    return base::duration{0};
  }
  const double trust = table.trust();
  double work = 0;  // In multiples of `expected`.
  for (const request_in_flight& request : requests) {
    const auto residual = table.residual(request.id, request.age, now);
    work += residual ? bounded_ratio(base::to_ms(*residual), expected_ms, trust)
                     : unknown_residual;
  }
  const double typical_ms = base::to_ms(table.typical());
  work += load.others * (typical_ms > 0 ? bounded_ratio(unknown_residual * typical_ms,
                                                        expected_ms, trust)
                                        : unknown_residual);
  const double slots = std::max(1U, load.slots);
  return std::chrono::duration_cast<base::duration>(expected *
                                                    (work * load.pace / slots));
}

}  // namespace ibis::cost
