#include "ibis/reactor/turn_meter.hpp"

#include <algorithm>         // for find_if
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <string>            // for string

namespace ibis::reactor {
namespace {

using std::chrono::milliseconds;

constexpr base::time_point start_time{std::chrono::hours(1)};

std::string field_of(const serving::log_line& line, const std::string& name) {
  const auto found = std::find_if(
      line.fields.begin(), line.fields.end(),
      [&name](const serving::log_field& field) { return name == field.name; });
  return found == line.fields.end() ? "" : found->value;
}

}  // namespace

TEST_CASE("A long turn is logged with the event that it handled first") {
  turn_meter meter;
  meter.name_turn("tick");
  CHECK_FALSE(meter.end_turn(milliseconds(49), start_time));
  meter.name_turn("topic_listed");
  meter.name_turn("request_arrived");
  const auto line = meter.end_turn(milliseconds(99), start_time);
  REQUIRE(line);
  CHECK(field_of(*line, "handled") == "topic_listed");
  CHECK(std::stod(field_of(*line, "processor_ms")) == Approx(50));
  CHECK(meter.lengths().count() == 2);
  CHECK(meter.lengths().max_ms() == Approx(50));
}

TEST_CASE("Long turns that follow each other are counted in one log line") {
  turn_meter meter;
  milliseconds used{0};
  std::size_t lines = 0;
  std::string last_count;
  for (int i = 0; i < 21; ++i) {
    used += milliseconds(60);
    if (const auto line = meter.end_turn(used, start_time + milliseconds(100) * i)) {
      ++lines;
      last_count = field_of(*line, "long_turns");
      CHECK(field_of(*line, "handled") == "other");
    }
  }
  CHECK(lines == 3);
  CHECK(last_count == "10");
}

TEST_CASE("A thread's processor time grows with its work") {
  const base::duration before = thread_processor_time();
  volatile unsigned value = 0;
  for (unsigned i = 0; i < 1000000; ++i) {
    value = value + i;
  }
  CHECK(thread_processor_time() > before);
}

}  // namespace ibis::reactor
