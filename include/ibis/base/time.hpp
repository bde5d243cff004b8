/// The steady clock from which all components read time. Tests pause it and advance it
/// by hand.
#pragma once

#include <chrono>  // for nanoseconds, time_point

namespace ibis::base {

/// A steady clock that can be paused and advanced. It meets the standard library's
/// `TrivialClock` requirements, so Asio's timers run on it.
///
/// Example:
///
///     clock::pause();
///     clock::advance(std::chrono::seconds(2));
///     clock::resume();
struct clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<clock>;
  static constexpr bool is_steady = true;

  /// @return The current time, which stands still while the clock is paused.
  static time_point now() noexcept;
  /// Stops the clock at the current time.
  static void pause() noexcept;
  /// Moves a paused clock forward.
  /// @param by How far to move it. Has no effect while the clock runs.
  static void advance(duration by) noexcept;
  /// Lets a paused clock run again from the time that it shows.
  static void resume() noexcept;
};

/// A point in time on `clock`.
using time_point = clock::time_point;
/// A duration in nanoseconds.
using duration = clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @return The duration in milliseconds, with a fractional part.
double to_ms(duration value);

/// @return The time since the machine started, including time for which it was
/// suspended. Pausing `clock` does not affect it.
std::chrono::microseconds boot_now();

/// @return The wall-clock time (UTC) since the Unix epoch. Pausing `clock` does not
/// affect it.
std::chrono::milliseconds unix_now();

}  // namespace ibis::base
