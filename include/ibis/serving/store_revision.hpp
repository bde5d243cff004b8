/// A position in the store's sequence of changes. The store numbers its changes. If it
/// is restored from an older copy of its data, a new era begins and the numbers after
/// that of the copy are given out again.
#pragma once

#include <compare>  // for strong_ordering
#include <cstdint>  // for uint64_t
#include <string>   // for string

namespace ibis::serving {

/// A revision of the store. Revisions of a later era are greater, whatever their
/// number.
struct store_revision {
  std::uint64_t era = 0;  ///< 0 if it is unknown.
  std::uint64_t number = 0;
  auto operator<=>(const store_revision&) const = default;
};

/// @return A revision for logs, such as "3/145".
std::string to_string(const store_revision& revision);

}  // namespace ibis::serving
