/// Asio timers on `base::clock`, which tests can pause and advance.
#pragma once

#include <asio/basic_waitable_timer.hpp>  // for basic_waitable_timer
#include <asio/wait_traits.hpp>           // for wait_traits

#include "ibis/base/time.hpp"  // for clock

template <>
struct asio::wait_traits<ibis::base::clock> {
  /// Limits each wait to 20 ms of real time, after which Asio reads the clock again: a
  /// test may advance a paused clock at any moment.
  static ibis::base::duration to_wait_duration(const ibis::base::duration& wait) {
    constexpr ibis::base::duration max_wait = std::chrono::milliseconds(20);
    if (wait <= ibis::base::duration::zero()) {
      return ibis::base::duration::zero();
    }
    return wait < max_wait ? wait : max_wait;
  }
  static ibis::base::duration to_wait_duration(const ibis::base::time_point& until) {
    return to_wait_duration(until - ibis::base::clock::now());
  }
};

namespace ibis::runtime {

/// A timer whose due times are points in time of `base::clock`.
using steady_timer = asio::basic_waitable_timer<base::clock>;

}  // namespace ibis::runtime
