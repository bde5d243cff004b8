/// Obtains the configuration of a node. A few entries of each availability zone, the
/// watchers, read it from the platform. All other nodes learn of a new generation by
/// gossip and fetch the manifest and the parts that they lack from peers. The
/// generation that a node has active never decreases.
#pragma once

#include <map>       // for map
#include <optional>  // for optional
#include <set>       // for set
#include <string>    // for string
#include <vector>    // for vector

#include "ibis/config/manifest.hpp"        // for manifest, part_store
#include "ibis/policy/context.hpp"         // for context
#include "ibis/policy/membership.hpp"      // for membership_state
#include "ibis/policy/platform_calls.hpp"  // for platform_call_table

namespace ibis::policy {

/// Intervals and timeouts of configuration distribution.
struct configuration_tuning {
  std::size_t watchers_per_zone = 2;
  base::milliseconds poll_interval{500};  ///< Between checks for a newer generation.
  /// Between reads of the manifest, in case its watch silently stopped reporting.
  base::milliseconds manifest_read_interval{2000};
  base::milliseconds vm_list_read_interval{2000};
  base::milliseconds watch_timeout{10000};  ///< Of one watch call on the manifest.
  /// How long after its start a node that is not a watcher waits for its peers before
  /// it reads the manifest from the platform itself.
  base::milliseconds platform_fallback_delay{5000};
  base::milliseconds fetch_timeout{500};  ///< Before parts are requested elsewhere.
  base::milliseconds min_status_interval{250};  ///< Between writes of the zone status.
  std::size_t parts_per_message = 16;           ///< Requested from a peer at once.
};

/// A newer generation that becomes active once all its parts have been fetched.
struct pending_configuration {
  config::manifest manifest;
  std::string manifest_bytes;           ///< The manifest as received.
  config::part_store parts;             ///< Parts fetched so far.
  std::set<std::string> missing_parts;  ///< Hashes of the parts still to be fetched.
  std::string source;                   ///< Peer asked for them; empty: the platform.
  base::time_point requested_at{};      ///< When parts were last requested.
};

/// How far a zone has adopted a generation of the configuration.
struct zone_status {
  std::uint64_t generation = 0;
  std::size_t live = 0;     ///< Members of the zone that are not dead.
  std::size_t reached = 0;  ///< Those of them that have the generation active.
  bool operator==(const zone_status&) const = default;
};

/// A node's configuration, and the progress of fetching a newer one.
struct configuration_state {
  configuration_tuning tuning;
  config::manifest manifest;   ///< Of the active configuration.
  std::string manifest_bytes;  ///< The active manifest as received.
  config::part_store parts;    ///< Parts of the active configuration.
  std::optional<pending_configuration> pending;
  std::uint64_t manifest_version = 0;  ///< Version of the platform's manifest object.
  std::uint64_t highest_generation_seen = 0;  ///< Highest generation known to exist.
  bool watching = false;                      ///< Whether a watch call is in flight.
  base::time_point started_at{};
  base::time_point next_manifest_read{};
  base::time_point next_vm_list_read{};
  base::time_point next_status{};  ///< Earliest time of the next status write.
  std::optional<zone_status> last_written_status;
  std::string last_error = "the configuration was not read yet";  ///< Empty if none.
  bool changed = false;  ///< Routing is out of date; reset by the node.
};

/// Starts the periodic check for a newer configuration.
void start_configuration_sync(configuration_state& configuration, context& ctx);

/// Handles a manifest. If its generation is newer than the active and the pending one,
/// the parts that are missing here are fetched; otherwise it is ignored.
///
/// @param source The peer that sent it, or empty for the platform.
void on_manifest(configuration_state& configuration, platform_call_table& platform,
                 membership_state& membership, const std::string& bytes,
                 const std::string& source, context& ctx);

/// Requests the manifest of a peer that reports a newer generation than this node's.
void on_peer_generation(configuration_state& configuration,
                        const membership_state& membership, const std::string& node,
                        std::uint64_t generation, context& ctx);

/// Sends a peer those of the requested objects that this node has.
void on_part_request(configuration_state& configuration,
                     const membership_state& membership, const std::string& node,
                     const wire::part_request& message, context& ctx);

/// Handles the manifest or parts that a peer sent, and activates the pending
/// configuration once it is complete.
void on_part_reply(configuration_state& configuration, platform_call_table& platform,
                   membership_state& membership, const std::string& node,
                   const wire::part_reply& message, context& ctx);

/// Handles the platform's reply to a read or watch of the manifest, or to a read of a
/// part or of the VM list.
void on_configuration_platform_reply(configuration_state& configuration,
                                     platform_call_table& platform,
                                     membership_state& membership,
                                     const platform_call& call,
                                     const platform_replied& reply, context& ctx);

/// Runs the periodic check: looks for a newer generation, retries fetches, and on a
/// watcher reads the platform and writes the zone's status.
void on_configuration_timer(configuration_state& configuration,
                            platform_call_table& platform, membership_state& membership,
                            context& ctx);

/// Returns the entries of a zone that read the configuration from the platform. The
/// first one also writes the zone's status.
std::vector<std::string> zone_watchers(const configuration_state& configuration,
                                       const membership_state& membership,
                                       const std::string& zone);

/// Counts how many members of this node's zone have a generation active. This node
/// itself counts as one that has.
zone_status zone_progress(const membership_state& membership, std::uint64_t generation);

}  // namespace ibis::policy
