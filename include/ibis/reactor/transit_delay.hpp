/// Estimates how long messages of other nodes were on their way, or unread in this one.
#pragma once

#include <optional>       // for optional
#include <string>         // for string
#include <unordered_map>  // for unordered_map

#include "ibis/base/time.hpp"  // for microseconds

namespace ibis::reactor {

/// Compares the time at which each message was sent, by the sender's clock, with the
/// time at which it was read, by this node's clock. The clocks need not agree, but both
/// must run on while a machine is suspended (`base::boot_now`). The fastest recent
/// message of a sender shows the difference between the clocks.
class transit_delay {
 public:
  /// The fastest message is sought among those sent during the last one to two times
  /// this. A clock that is set affects the delays for that long at most.
  static constexpr base::milliseconds window{5000};

  /// @param node Name of the sender.
  /// @param sent_at As the message states it; any value is allowed.
  /// @return How much longer the message took than the fastest recent one; 0 for the
  /// first.
  base::microseconds measure(const std::string& node, base::microseconds sent_at,
                             base::microseconds read_at);

  /// Forgets a sender whose connection was lost: it may return with another clock.
  void forget(const std::string& node);

 private:
  /// What is known of a sender's messages.
  struct sender {
    base::microseconds window_start{0};  ///< By the sender's clock.
    base::microseconds last_sent_at{0};
    base::microseconds fastest{0};  ///< Smallest difference in the current window.
    /// Smallest difference in the window before, unless that is long ago.
    std::optional<base::microseconds> fastest_before;
  };

  /// Starts a new window if the current one is over.
  static void advance(sender& known, base::microseconds sent_at,
                      base::microseconds difference);

  std::unordered_map<std::string, sender> senders_;
};

}  // namespace ibis::reactor
