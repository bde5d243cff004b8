#include "ibis/serving/effect.hpp"

#include <array>  // for array

namespace ibis::serving {

std::string_view to_string(outcome value) {
  constexpr std::array<std::string_view, outcome_count> names{
      "complete", "partial",   "leaf_failed", "not_run",
      "unknown",  "timed_out", "rejected",    "abandoned"};
  return names[static_cast<std::size_t>(value)];
}

}  // namespace ibis::serving
