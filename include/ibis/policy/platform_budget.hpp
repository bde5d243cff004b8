/// Calls of the platform's object API, each counted, bounded and tied to its purpose.
#pragma once

#include <cstdint>        // for uint64_t
#include <optional>       // for optional
#include <string>         // for string
#include <unordered_map>  // for unordered_map

#include "ibis/policy/context.hpp"  // for context
#include "ibis/policy/event.hpp"    // for platform_replied

namespace ibis::policy {

/// Why a call was made; its reply goes back to the part that made it.
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

struct platform_tuning {
  double configuration_rate = 4.0;  ///< Calls a second, kept for configuration.
  double fleet_claim_rate =
      350.0;                 ///< Calls a second for claims, all entries together.
  double claim_rate = 50.0;  ///< This entry's share of it.
  double burst_seconds = 2.0;
  base::milliseconds timeout{2000};
};

/// Calls a second, saved up to a burst.
struct call_rate {
  double tokens = 8.0;
  base::time_point filled_at{};
};

struct platform_call {
  platform_purpose purpose = platform_purpose::manifest_read;
  std::uint64_t subject = 0;
  std::string key;
};

struct platform_part {
  platform_tuning tuning;
  call_rate configuration;
  call_rate claims;
  std::unordered_map<base::platform_call_id, platform_call> calls;
};

/// What is asked of the platform.
struct platform_request {
  platform_purpose purpose = platform_purpose::manifest_read;
  std::uint64_t subject = 0;
  platform_verb verb = platform_verb::get;
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  base::duration timeout{0};  ///< 0 for the usual one.
};

/// Shares the fleet's calls for claims out among the live entries.
void share_claim_calls(platform_tuning& tuning, std::size_t live_entries);

/// Makes a call if its share of the budget allows it.
/// @return Whether it was made.
bool ask_platform(platform_part& part, platform_request request, context& ctx);

/// Ends a call.
/// @return What it was for; nothing if it is not known.
std::optional<platform_call> end_platform_call(platform_part& part,
                                               base::platform_call_id id);

}  // namespace ibis::policy
