/// Latency histograms with fixed buckets and estimated quantiles.
#pragma once

#include <sstream>  // for ostringstream, which Boost.Accumulators needs

#include <array>                                    // for array
#include <boost/accumulators/accumulators.hpp>      // for accumulator_set
#include <boost/accumulators/statistics/count.hpp>  // for tag::count
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>  // for tag
#include <boost/accumulators/statistics/max.hpp>                         // for tag::max
#include <boost/accumulators/statistics/stats.hpp>                       // for stats
#include <boost/accumulators/statistics/sum.hpp>                         // for tag::sum
#include <cstdint>                                                       // for uint64_t

#include "ibis/base/time.hpp"  // for duration

namespace ibis::runtime {

/// Upper bounds (inclusive) of the buckets, in milliseconds. One more bucket, without a
/// bound, holds all longer latencies.
inline constexpr std::array<double, 14> bucket_bounds_ms{
    1, 2, 3, 5, 8, 12, 20, 35, 60, 100, 200, 500, 1000, 5000};

/// Counts latencies in buckets and estimates quantiles with the extended P-square
/// algorithm of Boost.Accumulators, which stores no samples. Everything but `record`
/// returns 0 as long as there are no samples.
class latency_histogram {
 public:
  latency_histogram();
  /// Adds a sample.
  void record(base::duration latency);

  /// @return The number of samples.
  [[nodiscard]] std::uint64_t count() const;
  /// @return The sum of all samples in milliseconds.
  [[nodiscard]] double sum_ms() const;
  /// @return The longest sample in milliseconds.
  [[nodiscard]] double max_ms() const;
  /// @param q The quantile, from 0.5 to 0.999. Values between 0.5, 0.75, 0.9, 0.95,
  /// 0.99 and 0.999 are interpolated.
  /// @return The estimated quantile in milliseconds.
  [[nodiscard]] double quantile_ms(double q) const;
  /// @param bound An index into `bucket_bounds_ms`.
  /// @return The number of samples at or below that bound.
  [[nodiscard]] std::uint64_t cumulative_count(std::size_t bound) const;

 private:
  using sample_set = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count, boost::accumulators::tag::sum,
                  boost::accumulators::tag::max,
                  boost::accumulators::tag::extended_p_square_quantile>>;
  sample_set samples_;
  std::array<std::uint64_t, bucket_bounds_ms.size() + 1> buckets_{};
};

}  // namespace ibis::runtime
