#include "ibis/quota/owner.hpp"

#include <algorithm>  // for find_if, max, min
#include <cmath>      // for ceil, floor

namespace ibis::quota {
namespace {

/// Share of the bucket that may be granted ahead of need, so that a node's reserve does
/// not take the tokens that requests at other nodes wait for.
constexpr double ahead_share = 0.25;
constexpr std::size_t max_open_grants = 4096;

void drop_lapsed(owner_state& state, base::time_point now) {
  std::erase_if(state.grants,
                [now](const open_grant& grant) { return grant.expires <= now; });
}

std::uint32_t whole_tokens(double level, std::uint32_t most) {
  if (level < 1) {
    return 0;
  }
  return static_cast<std::uint32_t>(
      std::min(std::floor(level), static_cast<double>(most)));
}

auto find_grant(owner_state& state, const std::string& node, std::uint64_t serial) {
  return std::find_if(state.grants.begin(), state.grants.end(),
                      [&](const open_grant& grant) {
                        return grant.serial == serial && grant.node == node;
                      });
}

}  // namespace

void refill(token_bucket& bucket, double rate_per_s, double capacity,
            base::time_point now) {
  const double elapsed_s = std::max(0.0, base::to_ms(now - bucket.refilled_at) / 1000);
  bucket.level = std::min(capacity, bucket.level + elapsed_s * rate_per_s);
  bucket.refilled_at = std::max(bucket.refilled_at, now);
}

base::milliseconds time_to_token(const token_bucket& bucket, double rate_per_s) {
  constexpr double longest_ms = 60000;
  const double missing = std::max(0.0, 1 - bucket.level);
  const double time_ms = rate_per_s > 0 ? 1000 * missing / rate_per_s : longest_ms;
  return base::milliseconds(
      static_cast<base::milliseconds::rep>(std::ceil(std::min(time_ms, longest_ms))));
}

bool has_full_share(const owner_state& state, bool alone, base::time_point now) {
  return state.is_first &&
         (state.released || alone || now - state.ranked_at >= settle_time);
}

void refill(owner_state& state, const plan& parts, bool full, base::time_point now) {
  refill(state.full, full ? parts.rate_per_s : 0, parts.capacity, now);
  refill(state.limited, full ? 0 : parts.limited_rate_per_s, parts.limited_capacity,
         now);
}

bool take_token(owner_state& state, bool full) {
  token_bucket& bucket = full ? state.full : state.limited;
  if (bucket.level < 1) {
    return false;
  }
  bucket.level -= 1;
  return true;
}

std::uint32_t grant_tokens(owner_state& state, const std::string& node,
                           std::uint64_t serial, const token_demand& demand,
                           const plan& parts, bool full, base::time_point now) {
  drop_lapsed(state, now);
  const auto repeated = find_grant(state, node, serial);
  if (repeated != state.grants.end()) {
    return repeated->tokens;
  }
  token_bucket& bucket = full ? state.full : state.limited;
  std::uint32_t tokens =
      whole_tokens(bucket.level, std::min(demand.urgent, demand.wanted));
  const std::uint32_t ahead = demand.wanted - std::min(demand.urgent, demand.wanted);
  tokens += whole_tokens((bucket.level - tokens) * ahead_share, ahead);
  if (tokens == 0 || state.grants.size() >= max_open_grants) {
    return 0;
  }
  bucket.level -= tokens;
  state.grants.push_back({node, serial, tokens, now + parts.validity, !full});
  return tokens;
}

void return_tokens(owner_state& state, const std::string& node, std::uint64_t serial,
                   std::uint32_t tokens, const plan& parts, base::time_point now) {
  drop_lapsed(state, now);
  const auto found = find_grant(state, node, serial);
  if (found == state.grants.end()) {
    return;
  }
  const std::uint32_t credited = std::min(tokens, found->tokens);
  token_bucket& bucket = found->limited ? state.limited : state.full;
  const double capacity = found->limited ? parts.limited_capacity : parts.capacity;
  bucket.level = std::min(capacity, bucket.level + credited);
  // The entry stays, so that a repeated return is not credited twice.
  found->tokens = 0;
}

void deduct(owner_state& state, std::uint32_t requests, const plan& parts) {
  state.full.level = std::max(-parts.capacity, state.full.level - requests);
}

}  // namespace ibis::quota
