/// An owner's decisions for one account: a token bucket and the grants that may still
/// be unused.
#pragma once

#include <cstdint>   // for uint32_t, uint64_t
#include <deque>     // for deque
#include <optional>  // for optional
#include <string>    // for string

#include "ibis/quota/bound.hpp"  // for plan

namespace ibis::quota {

/// A token bucket whose parameters may change between calls.
struct token_bucket {
  double level = 0;
  base::time_point refilled_at{};
};

/// Adds the tokens of the time since the last call.
void refill(token_bucket& bucket, double rate_per_s, double capacity,
            base::time_point now);

/// @return The time until the bucket holds a whole token.
base::milliseconds time_to_token(const token_bucket& bucket, double rate_per_s);

/// Tokens that were granted to a node and may be unused.
struct open_grant {
  std::string node;
  std::uint64_t serial = 0;
  std::uint32_t tokens = 0;
  base::time_point expires{};
  bool limited = false;  ///< From the limited share.
};

/// An account at its owner, or at a node that stands in for it.
struct owner_state {
  token_bucket full;
  token_bucket limited;
  std::deque<open_grant> grants;     ///< By time of expiry.
  bool is_first = false;             ///< This node is the first in the ranking.
  base::time_point ranked_at{};      ///< When it became that, or ceased to be.
  bool released = false;             ///< No other node acts as owner any more.
  base::time_point claim_sent_at{};  ///< Unset if no claim was sent.
  std::string claim_to;
  std::size_t claim_redirects = 0;  ///< Of the latest claim.
};

/// After this time as the first in the ranking, this node is known to all others.
inline constexpr base::milliseconds settle_time{40000};

/// @return Whether the owner may use the account's whole rate.
bool has_full_share(const owner_state& state, bool alone, base::time_point now);

/// Refills both buckets; the one that is not in use does not gain tokens.
void refill(owner_state& state, const plan& parts, bool full, base::time_point now);

/// Takes one token for a request of this node.
bool take_token(owner_state& state, bool full);

/// What a node asks for.
struct token_demand {
  std::uint32_t wanted = 0;
  std::uint32_t urgent = 0;  ///< Of them, for requests that wait.
};

/// Grants tokens to a node. A repeated call with the same serial repeats the grant.
/// @return The number of tokens.
std::uint32_t grant_tokens(owner_state& state, const std::string& node,
                           std::uint64_t serial, const token_demand& demand,
                           const plan& parts, bool full, base::time_point now);

/// Takes unused tokens of a grant back, unless the grant has lapsed.
void return_tokens(owner_state& state, const std::string& node, std::uint64_t serial,
                   std::uint32_t tokens, const plan& parts, base::time_point now);

/// Deducts requests that a node has admitted from its local allowance.
void deduct(owner_state& state, std::uint32_t requests, const plan& parts);

}  // namespace ibis::quota
