#include "ibis/admission/kind_shares.hpp"

#include <algorithm>  // for max, min_element
#include <cmath>      // for exp2

namespace ibis::admission {
namespace {

/// As long as that of accounts' use. See `use_settings`.
constexpr base::milliseconds half_life{5000};
/// Tasks that every kind is assumed to have had without loss, so that the loss of one
/// among the first few does not decide the order.
constexpr double assumed_started = 5;

}  // namespace

kind_shares::record& kind_shares::updated_record(std::string_view kind,
                                                 base::time_point now) {
  auto found = records_.find(kind);
  if (found == records_.end()) {
    if (records_.size() >= max_kinds) {
      records_.erase(std::min_element(
          records_.begin(), records_.end(), [](const auto& first, const auto& second) {
            return first.second.updated_at < second.second.updated_at;
          }));
    }
    found = records_.emplace(std::string(kind), record{0, 0, now}).first;
  }
  record& value = found->second;
  const double half_lives =
      base::to_ms(now - value.updated_at) / base::to_ms(base::duration(half_life));
  const double remaining = std::exp2(-std::max(0.0, half_lives));
  value = {value.started * remaining, value.lost * remaining, now};
  return value;
}

void kind_shares::count_started(std::string_view kind, base::time_point now) {
  updated_record(kind, now).started += 1;
}

void kind_shares::count_lost(std::string_view kind, base::time_point now) {
  updated_record(kind, now).lost += 1;
}

double kind_shares::lost_share(std::string_view kind) const {
  const auto found = records_.find(kind);
  if (found == records_.end()) {
    return 0;
  }
  const record& value = found->second;
  return value.lost / (value.started + value.lost + assumed_started);
}

}  // namespace ibis::admission
