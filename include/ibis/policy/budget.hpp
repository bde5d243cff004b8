/// A token budget that limits hedges and retries to a share of first attempts, so that
/// they never amplify an overload.
#pragma once

#include <algorithm>  // for min

namespace ibis::policy {

/// Tokens that first attempts earn and that hedges or retries spend.
struct budget {
  double share = 0.03;     ///< Tokens earned per first attempt.
  double capacity = 50.0;  ///< The most tokens that are kept.
  double tokens = 10.0;
};

/// Adds the tokens that one first attempt earns.
inline void earn(budget& value) {
  value.tokens = std::min(value.capacity, value.tokens + value.share);
}

/// Spends one token if there is one.
/// @return Whether a token was spent, so that the hedge or retry may be made.
inline bool spend(budget& value) {
  if (value.tokens < 1.0) {
    return false;
  }
  value.tokens -= 1.0;
  return true;
}

}  // namespace ibis::policy
