/// A node's tokens of one account, and its allowance for when no owner answers.
#pragma once

#include <cstdint>   // for uint32_t, uint64_t
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "ibis/quota/bound.hpp"  // for plan

namespace ibis::quota {

/// Granted tokens that are not used yet.
struct token_batch {
  std::uint64_t serial = 0;  ///< Of the request that they were granted for.
  std::string owner;         ///< The node that granted them.
  std::uint32_t tokens = 0;
  base::time_point granted_at{};  ///< When they were asked for, which is not later.
  base::time_point expires{};
};

/// Granted tokens of an account, and how many requests of it arrive.
struct token_reserve {
  std::vector<token_batch> batches;
  double arrivals_per_s = 0;  ///< Smoothed.
  base::time_point measured_at{};
  base::time_point last_local{};  ///< When the local allowance was used; or unset.
};

/// Counts a request in `arrivals_per_s`.
void count_arrival(token_reserve& reserve, base::time_point now);

/// @return The tokens that can be used now.
std::uint32_t count_tokens(const token_reserve& reserve, base::time_point now);

/// @return The tokens to hold ahead of need.
std::uint32_t wanted_tokens(const token_reserve& reserve, const plan& parts,
                            base::time_point now);

/// Adds tokens, unless they have expired.
void add_tokens(token_reserve& reserve, const token_batch& batch, base::time_point now);

/// Uses the token that expires first.
/// @return False if there is none.
bool use_token(token_reserve& reserve, base::time_point now);

/// Removes a batch that is not used in time, so that it can be returned.
std::optional<token_batch> take_unused(token_reserve& reserve, base::time_point now);

/// @return When the first batch must be returned; nothing if there is none.
std::optional<base::time_point> next_return(const token_reserve& reserve);

/// Uses the local allowance for a request.
/// @param allowed Whether this node has an allowance.
bool use_local_allowance(token_reserve& reserve, bool allowed, const plan& parts,
                         base::time_point now);

}  // namespace ibis::quota
