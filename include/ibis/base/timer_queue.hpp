/// A queue of timers as plain data. It schedules nothing itself: its owner asks when
/// the next timer is due, waits until then and takes the timers that are due.
#pragma once

#include <cstddef>   // for size_t
#include <cstdint>   // for uint64_t
#include <optional>  // for optional
#include <queue>     // for priority_queue
#include <vector>    // for vector

#include "ibis/base/time.hpp"  // for time_point

namespace ibis::base {

/// One timer.
/// @tparam Kind An enumeration of the purposes of timers.
template <typename Kind>
struct basic_timer {
  time_point due;
  Kind kind{};
  std::uint64_t subject = 0;  ///< The id of what the timer is for; depends on `kind`.
  std::uint64_t detail = 0;   ///< A further argument; depends on `kind`.
};

/// Timers ordered by due time; timers with the same due time keep the order in which
/// they were added.
template <typename Kind>
class basic_timer_queue {
 public:
  using timer = basic_timer<Kind>;

  /// Adds a timer.
  void add(time_point due, Kind kind, std::uint64_t subject = 0,
           std::uint64_t detail = 0) {
    heap_.push({{due, kind, subject, detail}, next_order_});
    ++next_order_;
  }
  /// Removes the earliest timer if it is due by `now`.
  /// @return That timer, or nothing if none is due yet.
  std::optional<timer> pop_due(time_point now) {
    if (heap_.empty() || heap_.top().value.due > now) {
      return std::nullopt;
    }
    const timer first = heap_.top().value;
    heap_.pop();
    return first;
  }
  /// @return The due time of the earliest timer, or nothing if the queue is empty.
  [[nodiscard]] std::optional<time_point> next_due() const {
    if (heap_.empty()) {
      return std::nullopt;
    }
    return heap_.top().value.due;
  }
  /// @return The number of timers, due or not.
  [[nodiscard]] std::size_t size() const { return heap_.size(); }

 private:
  struct entry {
    timer value;
    std::uint64_t order = 0;
  };
  struct later {
    bool operator()(const entry& left, const entry& right) const {
      return left.value.due != right.value.due ? left.value.due > right.value.due
                                               : left.order > right.order;
    }
  };
  std::priority_queue<entry, std::vector<entry>, later> heap_;
  std::uint64_t next_order_ = 0;
};

}  // namespace ibis::base
