#include "ibis/policy/latency_window.hpp"

#include <algorithm>  // for clamp
#include <cmath>      // for log, pow

namespace ibis::policy {
namespace {

constexpr double min_latency_us = 20.0;
constexpr double bucket_ratio = 1.09;
constexpr std::size_t window_samples = 4000;
constexpr std::size_t min_samples = 30;

std::size_t bucket_of(base::duration latency, std::size_t bucket_count) {
  const double us = std::chrono::duration<double, std::micro>(latency).count();
  if (us <= min_latency_us) {
    return 0;
  }
  const double index = std::log(us / min_latency_us) / std::log(bucket_ratio);
  return std::min(bucket_count - 1, static_cast<std::size_t>(index) + 1);
}

base::duration upper_bound_of(std::size_t bucket) {
  const double us =
      min_latency_us * std::pow(bucket_ratio, static_cast<double>(bucket));
  return std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double, std::micro>(us));
}

}  // namespace

void latency_window::record(base::duration latency) {
  ++counts_[bucket_of(latency, bucket_count)];
  ++total_;
  if (total_ < window_samples) {
    return;
  }
  total_ = 0;
  for (std::uint32_t& count : counts_) {
    count /= 2;
    total_ += count;
  }
}

base::duration latency_window::quantile(double q, base::duration fallback) const {
  if (total_ < min_samples) {
    return fallback;
  }
  const auto rank = static_cast<std::size_t>(q * static_cast<double>(total_));
  std::size_t cumulative_count = 0;
  for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
    cumulative_count += counts_[bucket];
    if (cumulative_count > rank) {
      return upper_bound_of(bucket);
    }
  }
  return upper_bound_of(bucket_count - 1);
}

}  // namespace ibis::policy
