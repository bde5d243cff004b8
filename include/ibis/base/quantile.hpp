/// Quantiles of measured values.
#pragma once

#include <vector>  // for vector

namespace ibis::base {

/// @param sorted Values in ascending order.
/// @param q From 0 to 1.
/// @return The value below which that share of the values lies; 0 if there are none.
double quantile_of(const std::vector<double>& sorted, double q);

}  // namespace ibis::base
