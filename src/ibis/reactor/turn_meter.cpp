#include "ibis/reactor/turn_meter.hpp"

#include <ctime>    // for clock_gettime
#include <string>   // for to_string
#include <utility>  // for exchange

namespace ibis::reactor {

void turn_meter::name_turn(const char* name) {
  if (name_ == nullptr) {
    name_ = name;
  }
}

std::optional<serving::log_line> turn_meter::end_turn(base::duration processor_time,
                                                      base::time_point now) {
  const base::duration length =
      processor_time - std::exchange(processor_time_, processor_time);
  const char* name = std::exchange(name_, nullptr);
  lengths_.record(length);
  if (length < long_turn) {
    return std::nullopt;
  }
  ++long_turns_;
  if (logged_at_ && now - *logged_at_ < log_interval) {
    return std::nullopt;
  }
  logged_at_ = now;
  return serving::log_line{
      "long_turn",
      true,
      {{"handled", name == nullptr ? "other" : name},
       {"processor_ms", std::to_string(base::to_ms(length))},
       {"long_turns", std::to_string(std::exchange(long_turns_, 0))}}};
}

base::duration thread_processor_time() {
  timespec used{};
  // The clock exists on all supported systems, so that the call cannot fail.
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

}  // namespace ibis::reactor
