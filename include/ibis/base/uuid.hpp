/// UUIDs of version 7 (RFC 9562), whose first 48 bits hold the time of their creation.
#pragma once

#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view

#include "ibis/base/time.hpp"  // for milliseconds

namespace ibis::base {

/// Reads the creation time from a UUID of version 7.
/// @param text The UUID in its usual form (8-4-4-4-12 hexadecimal digits, lower or
/// upper case).
/// @return The time since the Unix epoch, or nothing if the text is not such a UUID.
std::optional<milliseconds> uuid_v7_time(std::string_view text);

/// Builds a UUID of version 7 from a time and two random numbers.
/// @param unix_time Since the Unix epoch.
/// @param random_high Supplies 26 bits.
/// @param random_low Supplies 48 bits.
/// @return The UUID in its usual form, in lower case.
std::string make_uuid_v7(milliseconds unix_time, std::uint64_t random_high,
                         std::uint64_t random_low);

}  // namespace ibis::base
