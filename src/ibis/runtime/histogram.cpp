#include "ibis/runtime/histogram.hpp"

#include <algorithm>  // for lower_bound

namespace ibis::runtime {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 7> probabilities{0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999};

}  // namespace

latency_histogram::latency_histogram()
    : samples_(accumulators::extended_p_square_probabilities = probabilities) {}

void latency_histogram::record(base::duration latency) {
  const double ms = base::to_ms(latency);
  samples_(ms);
  const auto bound =
      std::lower_bound(bucket_bounds_ms.begin(), bucket_bounds_ms.end(), ms);
  ++buckets_[static_cast<std::size_t>(bound - bucket_bounds_ms.begin())];
}

std::uint64_t latency_histogram::count() const {
  return accumulators::count(samples_);
}

double latency_histogram::sum_ms() const {
  return count() == 0 ? 0 : accumulators::sum(samples_);
}

double latency_histogram::max_ms() const {
  return count() == 0 ? 0 : accumulators::max(samples_);
}

double latency_histogram::quantile_ms(double q) const {
  return count() == 0
             ? 0
             : accumulators::quantile(samples_, accumulators::quantile_probability = q);
}

std::uint64_t latency_histogram::cumulative_count(std::size_t bound) const {
  std::uint64_t total = 0;
  for (std::size_t i = 0; i <= bound; ++i) {
    total += buckets_[i];
  }
  return total;
}

}  // namespace ibis::runtime
