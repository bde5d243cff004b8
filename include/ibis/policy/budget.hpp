/// A budget for extra work, earned as a share of ordinary work, so that hedges and
/// retries never amplify an overload.
#pragma once

#include <algorithm>  // for min

namespace ibis::policy {

/// Tokens earned by first attempts and spent by extra ones.
struct budget {
  double share = 0.03;     ///< Tokens earned by each first attempt.
  double capacity = 50.0;  ///< The most tokens that are saved up.
  double tokens = 10.0;
};

/// Credits one first attempt.
inline void earn(budget& value) {
  value.tokens = std::min(value.capacity, value.tokens + value.share);
}

/// Spends a token if there is one.
/// @return Whether the extra attempt may be made.
inline bool spend(budget& value) {
  if (value.tokens < 1.0) {
    return false;
  }
  value.tokens -= 1.0;
  return true;
}

}  // namespace ibis::policy
