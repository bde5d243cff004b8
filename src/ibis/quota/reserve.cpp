#include "ibis/quota/reserve.hpp"

#include <algorithm>  // for min, min_element
#include <cmath>      // for exp, floor

namespace ibis::quota {
namespace {

/// Time constant of the smoothed arrival rate.
constexpr double smoothing_s = 2.0;
/// How far ahead tokens are held, at most half of their validity. A longer time takes
/// tokens from other nodes.
constexpr base::milliseconds hold_ahead{300};
constexpr double max_held = 16;

double decay(const token_reserve& reserve, base::time_point now) {
  const double elapsed_s = base::to_ms(now - reserve.measured_at) / 1000;
  return std::exp(-std::max(0.0, elapsed_s) / smoothing_s);
}

/// Unused tokens are returned after three quarters of their validity, so that the
/// return arrives before they lapse.
base::time_point return_time(const token_batch& batch) {
  return batch.granted_at + (batch.expires - batch.granted_at) * 3 / 4;
}

bool expires_earlier(const token_batch& left, const token_batch& right) {
  return left.expires < right.expires;
}

void drop_expired(token_reserve& reserve, base::time_point now) {
  std::erase_if(reserve.batches,
                [now](const token_batch& batch) { return batch.expires <= now; });
}

}  // namespace

void count_arrival(token_reserve& reserve, base::time_point now) {
  reserve.arrivals_per_s =
      reserve.arrivals_per_s * decay(reserve, now) + 1 / smoothing_s;
  reserve.measured_at = now;
}

std::uint32_t count_tokens(const token_reserve& reserve, base::time_point now) {
  std::uint32_t tokens = 0;
  for (const token_batch& batch : reserve.batches) {
    tokens += batch.expires > now ? batch.tokens : 0;
  }
  return tokens;
}

std::uint32_t wanted_tokens(const token_reserve& reserve, const plan& parts,
                            base::time_point now) {
  const double time_s = base::to_ms(std::min(hold_ahead, parts.validity / 2)) / 1000;
  const double expected = reserve.arrivals_per_s * decay(reserve, now) * time_s;
  return static_cast<std::uint32_t>(std::floor(std::min(expected, max_held)));
}

void add_tokens(token_reserve& reserve, const token_batch& batch,
                base::time_point now) {
  drop_expired(reserve, now);
  if (batch.tokens > 0 && batch.expires > now) {
    reserve.batches.push_back(batch);
  }
}

bool use_token(token_reserve& reserve, base::time_point now) {
  drop_expired(reserve, now);
  const auto first =
      std::min_element(reserve.batches.begin(), reserve.batches.end(), expires_earlier);
  if (first == reserve.batches.end()) {
    return false;
  }
  if (--first->tokens == 0) {
    reserve.batches.erase(first);
  }
  return true;
}

std::optional<token_batch> take_unused(token_reserve& reserve, base::time_point now) {
  drop_expired(reserve, now);
  const auto first =
      std::min_element(reserve.batches.begin(), reserve.batches.end(), expires_earlier);
  if (first == reserve.batches.end() || return_time(*first) > now) {
    return std::nullopt;
  }
  token_batch batch = *first;
  reserve.batches.erase(first);
  return batch;
}

std::optional<base::time_point> next_return(const token_reserve& reserve) {
  const auto first =
      std::min_element(reserve.batches.begin(), reserve.batches.end(), expires_earlier);
  if (first == reserve.batches.end()) {
    return std::nullopt;
  }
  return return_time(*first);
}

bool use_local_allowance(token_reserve& reserve, bool allowed, const plan& parts,
                         base::time_point now) {
  const bool used_before = reserve.last_local != base::time_point{};
  if (!allowed || (used_before && now - reserve.last_local < parts.local_period)) {
    return false;
  }
  reserve.last_local = now;
  return true;
}

}  // namespace ibis::quota
