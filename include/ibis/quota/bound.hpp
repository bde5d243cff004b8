/// The arithmetic of an account's bound: how many requests of the account may arrive at
/// leafs in any window, and how that is divided among those who admit requests.
///
/// In any window W, at most (rate x W + burst) x (1 + overage) + slack requests may
/// arrive. The owner's bucket uses rate x W + burst of it. The rest, called the excess,
/// is divided among the delay between a grant and its use, the bucket's headroom,
/// owners with a limited share, and the local allowances. See docs/design/quotas.md.
#pragma once

#include <cstddef>  // for size_t

#include "ibis/base/time.hpp"  // for milliseconds

namespace ibis::quota {

/// What may be admitted beyond the limits, and over which time the bound is measured.
struct bound_settings {
  base::milliseconds window{5000};
  double overage = 0.1;  ///< Share of the limit.
  double slack = 20;     ///< Requests.
  bool operator==(const bound_settings&) const = default;
};

/// An account's limit over all nodes.
struct rate_limit {
  double rate_per_s = 0;
  double burst = 0;
  bool operator==(const rate_limit&) const = default;
};

/// How many owners with a limited share can act at once: a stand-in on the other side
/// of a partition, one asked after a failure, and one that took over just now.
inline constexpr std::size_t max_limited_owners = 3;

/// The parameters of those who admit requests of an account.
struct plan {
  double rate_per_s = 0;
  double capacity = 1;            ///< Of the owner's bucket.
  base::milliseconds validity{};  ///< Of granted tokens.
  double limited_rate_per_s = 0;  ///< Of an owner with a limited share.
  double limited_capacity = 0;
  std::size_t local_nodes = 0;        ///< Nodes that have a local allowance.
  base::milliseconds local_period{};  ///< Time between two requests of an allowance.
};

/// @return The requests that may arrive at leafs in any window.
double arrivals_bound(const rate_limit& limit, const bound_settings& settings);

/// Divides an account's bound.
plan make_plan(const rate_limit& limit, const bound_settings& settings);

/// @return The most requests that the parts of a plan can bring to leafs in a window.
double worst_case_arrivals(const plan& parts, const bound_settings& settings);

}  // namespace ibis::quota
