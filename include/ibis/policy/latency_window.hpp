/// A decaying histogram of latencies, for quantiles of recent samples.
#pragma once

#include <array>    // for array
#include <cstddef>  // for size_t
#include <cstdint>  // for uint32_t

#include "ibis/base/time.hpp"  // for duration

namespace ibis::policy {

/// A histogram of latencies with exponential buckets. Once the window is full all
/// counts are halved, so that old samples lose weight.
class latency_window {
 public:
  /// Adds a sample.
  void record(base::duration latency);
  /// Estimates a quantile of the recorded latencies.
  ///
  /// @param q The quantile, 0 to 1.
  /// @param fallback The result while there are too few samples.
  /// @return The upper bound of the bucket that holds the quantile.
  [[nodiscard]] base::duration quantile(double q, base::duration fallback) const;
  /// Returns the number of samples in the window, which falls when counts are halved.
  [[nodiscard]] std::size_t sample_count() const { return total_; }

 private:
  static constexpr std::size_t bucket_count = 160;
  std::array<std::uint32_t, bucket_count> counts_{};
  std::size_t total_ = 0;
};

}  // namespace ibis::policy
