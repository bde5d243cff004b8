/// Estimates how long messages of other nodes were on their way, or unread in this one.
#pragma once

#include <string>         // for string
#include <unordered_map>  // for unordered_map

#include "ibis/base/time.hpp"  // for microseconds

namespace ibis::reactor {

/// Compares the time at which each message was sent, by the sender's clock, with the
/// time at which it was read, by this node's clock. The clocks need not agree, but both
/// must run on while a machine is suspended (`base::boot_now`). The fastest message of
/// a sender shows the difference between the clocks.
class transit_delay {
 public:
  /// @param node Name of the sender.
  /// @return How much longer the message took than the fastest one so far; 0 for the
  /// first.
  base::microseconds measure(const std::string& node, base::microseconds sent_at,
                             base::microseconds read_at);

 private:
  /// The smallest difference between reading and sending, by name of the sender.
  std::unordered_map<std::string, base::microseconds> fastest_;
};

}  // namespace ibis::reactor
