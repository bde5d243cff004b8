#include "ibis/reactor/transit_delay.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

namespace ibis::reactor {
namespace {

using base::microseconds;

TEST_CASE("A message that took longer than the fastest one of its sender is late") {
  transit_delay delay;
  CHECK(delay.measure("a", microseconds(1000), microseconds(500)) == microseconds(0));
  CHECK(delay.measure("a", microseconds(2000), microseconds(1900)) ==
        microseconds(400));
  CHECK(delay.measure("a", microseconds(3000), microseconds(2300)) == microseconds(0));
  CHECK(delay.measure("a", microseconds(4000), microseconds(3500)) ==
        microseconds(200));
}

TEST_CASE("Each sender has a clock of its own") {
  transit_delay delay;
  CHECK(delay.measure("a", microseconds(0), microseconds(100)) == microseconds(0));
  CHECK(delay.measure("b", microseconds(0), microseconds(9000)) == microseconds(0));
  CHECK(delay.measure("b", microseconds(50), microseconds(9100)) == microseconds(50));
}

}  // namespace
}  // namespace ibis::reactor
