#include "ibis/reactor/transit_delay.hpp"

#include <algorithm>  // for min

namespace ibis::reactor {

base::microseconds transit_delay::measure(const std::string& node,
                                          base::microseconds sent_at,
                                          base::microseconds read_at) {
  const base::microseconds difference = read_at - sent_at;
  const auto [found, inserted] = fastest_.try_emplace(node, difference);
  found->second = std::min(found->second, difference);
  return difference - found->second;
}

}  // namespace ibis::reactor
