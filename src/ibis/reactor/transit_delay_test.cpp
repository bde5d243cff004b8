#include "ibis/reactor/transit_delay.hpp"

#include <algorithm>         // for max
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <limits>            // for numeric_limits

namespace ibis::reactor {
namespace {

using base::microseconds;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// How long the messages of these tests travel, unless said otherwise.
constexpr microseconds transit{300};
constexpr milliseconds message_interval{100};

/// A sender and a reader whose clocks can be set apart.
struct clock_pair {
  /// Sends and reads a message.
  /// @return Its delay as measured.
  microseconds exchange(microseconds waited = microseconds(0)) {
    now += message_interval;
    return delay.measure("a", now + sender_offset,
                         now + transit + waited + reader_offset);
  }

  transit_delay delay;
  microseconds now{hours(1)};
  microseconds sender_offset{0};
  microseconds reader_offset{0};
};

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

// Guards against a holder that takes all requests of a node for outdated, for ever,
// after one of their clocks was set.
TEST_CASE("After a clock is set, delays are right again within two windows") {
  for (const seconds step : {seconds(-100), seconds(100)}) {
    for (const bool at_sender : {true, false}) {
      INFO(step.count() << (at_sender ? " s at the sender" : " s at the reader"));
      clock_pair clocks;
      for (int i = 0; i < 100; ++i) {
        clocks.exchange();
      }
      (at_sender ? clocks.sender_offset : clocks.reader_offset) = step;
      const microseconds set_at = clocks.now;
      while (clocks.now < set_at + 2 * transit_delay::window) {
        clocks.exchange();
      }
      for (int i = 0; i < 200; ++i) {
        REQUIRE(clocks.exchange() == microseconds(0));
      }
      CHECK(clocks.exchange(milliseconds(70)) == milliseconds(70));
    }
  }
}

TEST_CASE("A sender whose clock is set back is trusted at once") {
  clock_pair clocks;
  clocks.exchange();
  clocks.sender_offset = -seconds(100);
  CHECK(clocks.exchange() == microseconds(0));
  CHECK(clocks.exchange(milliseconds(70)) == milliseconds(70));
}

TEST_CASE("A drift of 200 ppm over a day adds less than 3 ms to a delay") {
  clock_pair clocks;
  const microseconds start = clocks.now;
  microseconds longest{0};
  while (clocks.now < start + hours(24)) {
    clocks.reader_offset = (clocks.now - start) / 5000;  // 200 ppm.
    longest = std::max(longest, clocks.exchange());
  }
  CHECK(longest < milliseconds(3));
}

TEST_CASE("Messages that waited while the reader was stalled are late") {
  clock_pair clocks;
  for (int i = 0; i < 100; ++i) {
    clocks.exchange();
  }
  // Messages of 4 s are read together at the end.
  const milliseconds stall{4000};
  for (milliseconds waited = stall; waited.count() > 0; waited -= message_interval) {
    CHECK(clocks.exchange(waited) == waited);
  }
}

TEST_CASE("A sender that returns after its connection was lost has a new clock") {
  clock_pair clocks;
  clocks.exchange();
  clocks.delay.forget("a");
  clocks.reader_offset = hours(5);
  CHECK(clocks.exchange() == microseconds(0));
}

TEST_CASE("A time that no clock shows is ignored") {
  transit_delay delay;
  CHECK(delay.measure("a", microseconds(1000), microseconds(500)) == microseconds(0));
  for (const auto odd : {std::numeric_limits<microseconds::rep>::min(),
                         std::numeric_limits<microseconds::rep>::max()}) {
    CHECK(delay.measure("a", microseconds(odd), microseconds(600)) == microseconds(0));
  }
  CHECK(delay.measure("a", microseconds(2000), microseconds(1700)) ==
        microseconds(200));
}

}  // namespace
}  // namespace ibis::reactor
