/// A queue of actions on virtual time, for simulations.
#pragma once

#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <optional>    // for optional
#include <queue>       // for priority_queue
#include <utility>     // for move

#include "ibis/base/time.hpp"  // for time_point

namespace ibis::standins {

/// Holds actions until their time comes. Those with the same time keep their order.
class virtual_queue {
 public:
  void add(base::time_point at, std::function<void()> action) {
    queue_.push({at, ++last_order_, std::move(action)});
  }
  /// @return When the earliest action is due, or nothing if there is none.
  [[nodiscard]] std::optional<base::time_point> next_at() const {
    return queue_.empty() ? std::nullopt : std::optional(queue_.top().at);
  }
  /// Removes the earliest action and runs it. There must be one.
  void run_next() {
    const auto action = queue_.top().action;
    queue_.pop();
    action();
  }

 private:
  struct scheduled {
    base::time_point at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const scheduled& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  std::priority_queue<scheduled> queue_;
  std::uint64_t last_order_ = 0;
};

}  // namespace ibis::standins
