/// Applies a configuration to the platform: first writes the parts that changed, then
/// updates the manifest on condition that it has not changed since it was read. An
/// operator therefore never overwrites a change that the plan did not show.
#pragma once

#include <functional>  // for function
#include <optional>    // for optional
#include <string>      // for string
#include <vector>      // for vector

#include "ibis/base/error.hpp"        // for result
#include "ibis/config/manifest.hpp"   // for manifest
#include "ibis/control/diff.hpp"      // for part_difference
#include "ibis/control/platform.hpp"  // for platform_transport

namespace ibis::control {

/// The configuration on the platform at the time it was read.
struct platform_snapshot {
  bool exists = false;                       ///< Whether the platform holds a manifest.
  std::uint64_t version = 0;                 ///< Version of the manifest object.
  config::manifest names;                    ///< The manifest.
  std::map<std::string, std::string> parts;  ///< JSON texts by part name.
};

/// A planned change, with what an operator needs to review it.
struct plan {
  platform_snapshot before;
  std::map<std::string, std::string> after;  ///< JSON texts by part name.
  std::vector<part_difference> differences;
};

/// Who applies a change, when and why.
struct apply_request {
  std::string author;
  std::string note;
  std::string token;                ///< Unique to this change.
  std::uint64_t applied_at_ms = 0;  ///< Since the Unix epoch.
  /// The highest generation that any node knows, or 0 if the nodes were not asked. The
  /// new generation is higher than this, even if the platform was restored to an older
  /// one.
  std::uint64_t fleet_generation = 0;
};

/// How often an unanswered call is attempted, and the delay before the next attempt.
struct retry_policy {
  int max_attempts = 10;
  base::milliseconds delay{200};
};

/// Reads the manifest and all parts that it refers to. A missing manifest is no error.
base::result<platform_snapshot> read_platform(const platform_transport& platform,
                                              const pause_function& pause,
                                              const retry_policy& retries = {});

/// Plans the change from `before` to the configuration `desired`. Leave times that are
/// already on the platform, such as those set by `vacate`, are kept unless `desired`
/// overrides them.
base::result<plan> make_plan(const platform_snapshot& before,
                             const config::configuration& desired);

/// Applies a plan. If the reply to a write was lost, the manifest is read back to learn
/// whether the write took effect.
///
/// @return The new generation. The error is `conflict`, with the other change's author,
/// if the manifest changed since the plan was made; `too_large` for a part over the
/// platform's limit; or `unavailable` if the platform does not answer.
base::result<std::uint64_t> apply_plan(const plan& planned,
                                       const apply_request& request,
                                       const platform_transport& platform,
                                       const pause_function& pause,
                                       const retry_policy& retries = {});

/// How far an availability zone has adopted a generation, from its status object on the
/// platform.
struct zone_report {
  std::string zone;
  std::uint64_t generation = 0;  ///< The generation that the status is about.
  std::size_t live = 0;          ///< Members of the zone that are not dead.
  std::size_t reached = 0;       ///< Those of them that have the generation active.
  bool in_force = false;  ///< Whether all live members have the requested generation.
};

/// Reads the status of availability zones and compares it with a generation. A zone
/// without a readable status is reported with zero members.
std::vector<zone_report> read_zones(const platform_transport& platform,
                                    const std::vector<std::string>& zones,
                                    std::uint64_t generation);

}  // namespace ibis::control
