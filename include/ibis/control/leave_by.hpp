/// The time by which an upstream or VM is to have left, as operators state it.
#pragma once

#include <string>  // for string

#include "ibis/base/error.hpp"  // for result
#include "ibis/base/time.hpp"   // for milliseconds

namespace ibis::control {

/// Parses a time such as 2026-12-06T23:59:00+01:00, or without an offset if a time zone
/// is named. Sets the process's time zone to that one, so it is not thread-safe.
///
/// @param time_zone A name of the system's time zone database, such as Europe/Prague;
/// empty for none.
/// @return The time since the Unix epoch; `invalid_input` if the time or the time zone
/// is invalid.
base::result<base::milliseconds> parse_leave_by(const std::string& text,
                                                const std::string& time_zone);

}  // namespace ibis::control
