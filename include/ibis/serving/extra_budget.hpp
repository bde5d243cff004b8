/// Limits extra requests to a service: hedges and retries together, that is, all sends
/// of a task after its first. The limit holds over a sliding time window.
#pragma once

#include <array>    // for array
#include <cstddef>  // for size_t
#include <cstdint>  // for uint32_t, int64_t

#include "ibis/base/time.hpp"  // for time_point

namespace ibis::serving {

/// Allows `ratio` extra requests for each request in the window, plus `slack`.
struct extra_budget_settings {
  double ratio = 0.2;
  double slack = 10;
  base::milliseconds window{10000};
};

/// Counts requests and extra requests in slices of the window.
///
///     extra_budget budget;
///     budget.count_request(now, settings);
///     if (budget.try_spend(now, settings)) { /* hedge or retry */ }
class extra_budget {
 public:
  /// Counts the first send of a task, which raises the allowance.
  void count_request(base::time_point now, const extra_budget_settings& settings);
  /// Counts one extra request if the allowance permits it.
  /// @return False if the allowance is exhausted.
  bool try_spend(base::time_point now, const extra_budget_settings& settings);
  /// @return The extra requests counted in the window.
  std::uint32_t spent(base::time_point now, const extra_budget_settings& settings);
  /// @return The extra requests that are allowed in the window.
  double allowed(base::time_point now, const extra_budget_settings& settings);
  /// @return The unused share of the window's allowance, from 0 to 1.
  double remaining_share(base::time_point now, const extra_budget_settings& settings);

 private:
  static constexpr std::size_t slice_count = 20;
  struct slice {
    std::uint32_t requests = 0;
    std::uint32_t extras = 0;
  };
  void advance(base::time_point now, const extra_budget_settings& settings);
  [[nodiscard]] double allowance(const extra_budget_settings& settings) const;

  std::array<slice, slice_count> slices_{};
  std::int64_t current_ = 0;
  std::uint32_t requests_ = 0;
  std::uint32_t extras_ = 0;
};

}  // namespace ibis::serving
