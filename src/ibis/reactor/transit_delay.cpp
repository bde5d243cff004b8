#include "ibis/reactor/transit_delay.hpp"

#include <algorithm>  // for min

namespace ibis::reactor {
namespace {

/// Whether a time is one that a clock can show, so that differences do not overflow.
bool is_plausible(base::microseconds time) {
  constexpr std::chrono::hours latest{24 * 365 * 100};
  return time >= base::microseconds(0) && time <= latest;
}

}  // namespace

base::microseconds transit_delay::measure(const std::string& node,
                                          base::microseconds sent_at,
                                          base::microseconds read_at) {
  if (!is_plausible(sent_at)) {
    return base::microseconds(0);
  }
  const base::microseconds difference = read_at - sent_at;
  auto [found, inserted] =
      senders_.try_emplace(node, sender{sent_at, sent_at, difference, {}});
  sender& known = found->second;
  const bool clock_was_set_back = sent_at < known.last_sent_at;
  if (clock_was_set_back) {
    known = {sent_at, sent_at, difference, {}};
  }
  advance(known, sent_at, difference);
  known.last_sent_at = sent_at;
  known.fastest = std::min(known.fastest, difference);
  return difference -
         std::min(known.fastest, known.fastest_before.value_or(known.fastest));
}

void transit_delay::advance(sender& known, base::microseconds sent_at,
                            base::microseconds difference) {
  const base::microseconds age = sent_at - known.window_start;
  if (age < window) {
    return;
  }
  // Windows follow the sender's clock: messages that waited while this node was stalled
  // are compared with those from before, however long it was stalled.
  const bool adjacent = age < 2 * window;
  known.fastest_before = adjacent ? std::optional(known.fastest) : std::nullopt;
  known.fastest = difference;
  known.window_start = sent_at;
}

void transit_delay::forget(const std::string& node) {
  senders_.erase(node);
}

}  // namespace ibis::reactor
