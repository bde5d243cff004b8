#include "ibis/admission/account_use.hpp"

#include <algorithm>  // for max, min_element, nth_element
#include <cmath>      // for exp2
#include <vector>     // for vector

namespace ibis::admission {

double account_use::decayed(const record& value, base::time_point now) const {
  const double half_lives = base::to_ms(now - value.updated_at) /
                            base::to_ms(base::duration(settings_.half_life));
  return value.use_ns * std::exp2(-std::max(0.0, half_lives));
}

void account_use::make_room(base::time_point now) {
  while (!records_.empty() && records_.size() >= settings_.max_accounts) {
    records_.erase(std::min_element(records_.begin(), records_.end(),
                                    [this, now](const auto& first, const auto& second) {
                                      return decayed(first.second, now) <
                                             decayed(second.second, now);
                                    }));
  }
}

void account_use::charge(std::string_view account, base::duration cost,
                         base::time_point now) {
  auto found = records_.find(account);
  if (found == records_.end()) {
    make_room(now);
    found = records_.emplace(std::string(account), record{0, now}).first;
  }
  record& value = found->second;
  value.use_ns = decayed(value, now) +
                 static_cast<double>(std::max(base::duration(0), cost).count());
  value.updated_at = now;
}

base::duration account_use::use_of(std::string_view account,
                                   base::time_point now) const {
  const auto found = records_.find(account);
  return found == records_.end() ? base::duration(0)
                                 : base::duration(static_cast<base::duration::rep>(
                                       decayed(found->second, now)));
}

base::duration account_use::median_use(base::duration at_least,
                                       base::time_point now) const {
  std::vector<double> uses;
  uses.reserve(records_.size());
  for (const auto& [account, value] : records_) {
    const double use_ns = decayed(value, now);
    if (use_ns >= static_cast<double>(at_least.count())) {
      uses.push_back(use_ns);
    }
  }
  if (uses.size() < 2) {
    return base::duration(0);
  }
  const auto middle = uses.begin() + static_cast<std::ptrdiff_t>((uses.size() - 1) / 2);
  std::nth_element(uses.begin(), middle, uses.end());
  return base::duration(static_cast<base::duration::rep>(*middle));
}

}  // namespace ibis::admission
