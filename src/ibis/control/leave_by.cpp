#include "ibis/control/leave_by.hpp"

#include <cstdlib>     // for setenv
#include <ctime>       // for mktime, tzset
#include <filesystem>  // for is_regular_file, path

#include "ibis/config/parse.hpp"  // for parse_timestamp

namespace ibis::control {
namespace {

/// Whether the system's time zone database has a name. The C library takes any other
/// name for UTC.
bool is_known_time_zone(const std::string& name) {
  const std::filesystem::path database = "/usr/share/zoneinfo";
  const std::filesystem::path relative = std::filesystem::path(name).lexically_normal();
  if (relative.is_absolute() || *relative.begin() == "..") {
    return false;
  }
  std::error_code unreadable;  // Then the name is unknown.
  return name == "UTC" ||
         std::filesystem::is_regular_file(database / relative, unreadable);
}

}  // namespace

base::result<base::milliseconds> parse_leave_by(const std::string& text,
                                                const std::string& time_zone) {
  if (time_zone.empty()) {
    return config::parse_timestamp(text);
  }
  if (!is_known_time_zone(time_zone)) {
    return base::error{
        base::error_code::invalid_input, "parse time zone", "",
        "'" + time_zone +
            "' is not a known time zone; expected a name such as Europe/Prague"};
  }
  const auto as_utc = config::parse_timestamp(text + "Z");
  if (!as_utc) {
    return as_utc.error();
  }
  setenv("TZ", time_zone.c_str(), 1);  // NOLINT(concurrency-mt-unsafe)
  tzset();
  const std::time_t wall_time =
      std::chrono::duration_cast<std::chrono::seconds>(as_utc.value()).count();
  std::tm calendar_time{};
  gmtime_r(&wall_time, &calendar_time);
  calendar_time.tm_isdst = -1;
  return base::milliseconds(std::chrono::seconds(std::mktime(&calendar_time)));
}

}  // namespace ibis::control
