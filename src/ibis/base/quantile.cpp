#include "ibis/base/quantile.hpp"

#include <cstddef>  // for size_t

namespace ibis::base {

double quantile_of(const std::vector<double>& sorted, double q) {
  if (sorted.empty()) {
    return 0;
  }
  return sorted[static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1))];
}

}  // namespace ibis::base
