#include "ibis/control/leave_by.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

namespace ibis::control {

TEST_CASE("A time is read in the time zone that is named") {
  const auto expected = parse_leave_by("2026-12-06T22:59:00Z", "");
  REQUIRE(expected);
  CHECK(parse_leave_by("2026-12-06T23:59:00+01:00", "").value() == expected.value());
  for (const char* utc : {"UTC", "Etc/UTC"}) {
    INFO(utc);
    CHECK(parse_leave_by("2026-12-06T22:59:00", utc).value() == expected.value());
  }
  CHECK(parse_leave_by("2026-12-06T23:59:00", "Europe/Prague").value() ==
        expected.value());
}

// Guards against a time that is read as UTC because its time zone is unknown.
TEST_CASE("An unknown time zone is refused") {
  for (const char* zone :
       {"Foo/Bar", "Europe", "../zoneinfo/UTC", "/usr/share/zoneinfo/UTC", "Prague"}) {
    INFO(zone);
    CHECK_FALSE(parse_leave_by("2026-12-06T23:59:00", zone));
  }
  CHECK_FALSE(parse_leave_by("soon", ""));
  CHECK_FALSE(parse_leave_by("soon", "UTC"));
}

}  // namespace ibis::control
