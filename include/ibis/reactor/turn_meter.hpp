/// Measures the turns of an event loop. All of a process runs on one thread, so that a
/// long turn is an outage of the whole process.
#pragma once

#include <optional>  // for optional

#include "ibis/base/time.hpp"          // for duration, time_point
#include "ibis/runtime/histogram.hpp"  // for latency_histogram
#include "ibis/serving/effect.hpp"     // for log_line

namespace ibis::reactor {

/// Records how much processor time each turn takes, and reports long ones:
///
///     turn_meter meter;
///     while (io.run_one() > 0) {
///       if (const auto line = meter.end_turn(thread_processor_time(), clock::now())) {
///         write_log(*line);
///       }
///     }
class turn_meter {
 public:
  /// Longer turns are logged.
  static constexpr base::milliseconds long_turn{50};
  /// At most one long turn is logged in this time.
  static constexpr base::milliseconds log_interval{1000};

  /// Names what the current turn handles. If a turn handles several things, the first
  /// one names it.
  /// @param name Must outlive the meter.
  void name_turn(const char* name);

  /// Ends the current turn and begins the next one.
  /// @param processor_time Used by the thread so far.
  /// @return A log line if the turn was long, with the number of long turns since the
  /// last line.
  std::optional<serving::log_line> end_turn(base::duration processor_time,
                                            base::time_point now);

  /// @return The processor time of all turns.
  [[nodiscard]] const runtime::latency_histogram& lengths() const { return lengths_; }

 private:
  const char* name_ = nullptr;
  base::duration processor_time_{0};  ///< When the current turn began.
  std::optional<base::time_point> logged_at_;
  std::size_t long_turns_ = 0;  ///< Since the last log line.
  runtime::latency_histogram lengths_;
};

/// @return The processor time that the calling thread has used.
base::duration thread_processor_time();

}  // namespace ibis::reactor
