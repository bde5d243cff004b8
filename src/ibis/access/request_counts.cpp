#include "ibis/access/request_counts.hpp"

namespace ibis::access {

void request_counts::add(const std::string& account) {
  const auto found = by_name_.find(account);
  if (found != by_name_.end()) {
    ++found->second;
  } else if (by_name_.size() < max_names) {
    by_name_.emplace(account, 1);
  } else {
    ++others_;
  }
}

}  // namespace ibis::access
