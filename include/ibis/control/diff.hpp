/// Differences between two configurations, as shown to an operator.
#pragma once

#include <map>     // for map
#include <string>  // for string
#include <vector>  // for vector

namespace ibis::control {

/// How a part differs.
enum class part_change : std::uint8_t { added, removed, changed };

/// The difference of one configuration part.
struct part_difference {
  std::string part;
  part_change change = part_change::changed;
  std::vector<std::string> details;  ///< Each "path: before -> after"; for `changed`.
};

/// Compares two sets of parts, given as JSON texts by part name. Equal parts are left
/// out.
std::vector<part_difference> compare_parts(
    const std::map<std::string, std::string>& before,
    const std::map<std::string, std::string>& after);

/// Formats differences as lines that start with "+" (added), "-" (removed) or "~"
/// (changed), each followed by its indented details; "no changes" if there are none.
std::string format_differences(const std::vector<part_difference>& differences);

}  // namespace ibis::control
