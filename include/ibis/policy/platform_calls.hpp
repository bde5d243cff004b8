/// Calls of the platform's object store. Each call is counted, rate-limited, and
/// remembered with its purpose so that the reply reaches the right component.
#pragma once

#include <cstdint>        // for uint64_t
#include <optional>       // for optional
#include <string>         // for string
#include <unordered_map>  // for unordered_map

#include "ibis/policy/context.hpp"  // for context
#include "ibis/policy/event.hpp"    // for platform_replied

namespace ibis::policy {

/// What a call is for; decides which component handles the reply.
enum class platform_purpose : std::uint8_t {
  manifest_read,
  manifest_watch,
  part_read,
  vm_list_read,
  status_write,
  claim_create,
  claim_take_over,
  claim_record,
  claim_abandon,
  claim_sweep_list,
  claim_sweep_remove,
};

/// Rate limits and the timeout of platform calls.
struct platform_tuning {
  double configuration_rate = 4.0;  ///< Calls per second, reserved for configuration.
  double fleet_claim_rate = 350.0;  ///< Calls per second for claims, over all entries.
  double claim_rate = 50.0;         ///< This entry's share of `fleet_claim_rate`.
  double burst_seconds = 2.0;       ///< Capacity of a bucket, in seconds of its rate.
  base::milliseconds timeout{2000};
};

/// A token bucket that limits the rate of calls; each call takes one token.
struct token_bucket {
  double tokens = 8.0;
  base::time_point refilled_at{};
};

/// A call in flight.
struct platform_call {
  platform_purpose purpose = platform_purpose::manifest_read;
  std::uint64_t subject = 0;  ///< The submit's request id, if made for a submit.
  std::string key;
};

/// The calls in flight and what is left of their rate limits.
struct platform_call_table {
  platform_tuning tuning;
  token_bucket configuration_bucket;
  token_bucket claim_bucket;
  std::unordered_map<base::platform_call_id, platform_call> calls;
};

/// A call to be made.
struct platform_request {
  platform_purpose purpose = platform_purpose::manifest_read;
  std::uint64_t subject = 0;  ///< The submit's request id, if made for a submit.
  platform_verb verb = platform_verb::get;
  std::string key;
  std::string value;
  std::uint64_t version = 0;  ///< The version that a conditional call expects.
  base::duration timeout{0};  ///< 0 for `platform_tuning::timeout`.
};

/// Divides the fleet's rate of claim calls evenly among the live entries.
void divide_claim_rate(platform_tuning& tuning, std::size_t live_entries);

/// Makes a call unless its rate limit is exhausted.
///
/// @return Whether the call was made.
bool try_call_platform(platform_call_table& table, platform_request request,
                       context& ctx);

/// Removes a call that was answered from the calls in flight.
///
/// @return The call, or nothing if it is unknown.
std::optional<platform_call> finish_platform_call(platform_call_table& table,
                                                  base::platform_call_id id);

}  // namespace ibis::policy
