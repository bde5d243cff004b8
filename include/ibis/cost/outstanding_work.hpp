/// Estimates what a leaf still has to do before it finishes another request.
#pragma once

#include <cstdint>  // for uint32_t
#include <vector>   // for vector

#include "ibis/base/time.hpp"        // for duration, time_point
#include "ibis/cost/cost_table.hpp"  // for cost_table, request_class

namespace ibis::cost {

/// A request at a leaf.
struct request_in_flight {
  request_class id;
  /// How long the leaf has worked on it; 0 if it still waits for a slot.
  base::duration age{0};
};

/// What else is known of a leaf's load.
struct leaf_load {
  std::uint32_t slots = 1;
  double pace = 1.0;    ///< How long work takes there, relative to the usual.
  double others = 0.0;  ///< Requests of other nodes that run or wait there.
};

/// Assumed share of its time that a request in flight of an unknown class still needs.
inline constexpr double unknown_residual = 0.6;

/// @return The time until the leaf has done the work that it has, spread over its
/// slots, at its pace.
///
/// The table's influence is bounded: a request counts from a tenth to four times
/// `expected`, and a table that predicts badly counts less, in favour of
/// `unknown_residual`.
/// @param expected What the request for which a leaf is chosen needs.
base::duration outstanding_work(const cost_table& table,
                                const std::vector<request_in_flight>& requests,
                                const leaf_load& load, base::duration expected,
                                base::time_point now);

}  // namespace ibis::cost
