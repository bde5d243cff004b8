/// Connection pools and concurrency limits of the leafs that a relay uses, and the
/// choice of a replica for each attempt. A leaf is an upstream process that holds the
/// shards of a replica group.
#pragma once

#include <cstdint>        // for uint32_t
#include <memory>         // for shared_ptr
#include <optional>       // for optional
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "ibis/policy/budget.hpp"          // for budget
#include "ibis/policy/context.hpp"         // for context
#include "ibis/policy/event.hpp"           // for leaf_status
#include "ibis/policy/latency_window.hpp"  // for latency_window

namespace ibis::policy {

/// Settings of the leaf pools, the same for all services. Settings that differ between
/// services are in `config::service_policy`.
struct pool_tuning {
  /// Share of a leaf's connection limit that all relays use together; the rest is
  /// headroom.
  double connection_share = 0.75;
  double decrease_on_shed = 0.7;     ///< Factor of the concurrency limit.
  double decrease_on_latency = 0.9;  ///< Factor of the concurrency limit.
  /// Ratio of a leaf's latency to its baseline above which its limit is decreased.
  double latency_inflation = 3.0;
  double smoothing = 0.1;                  ///< Weight of a new latency sample.
  base::milliseconds decrease_pause{100};  ///< Minimum time between two decreases.
  base::milliseconds maintenance_period{100};
  base::milliseconds poll_period{1000};
  base::milliseconds open_backoff{50};  ///< Doubles with each failure in a row.
  base::milliseconds open_backoff_limit{2000};
  /// How long a group's connections are kept after another relay became its holder.
  base::milliseconds release_after{1000};
  /// Half-life of a slow leaf's excess latency while it gets no requests.
  base::milliseconds latency_half_life{3000};
  std::uint32_t ejection_failures = 5;     ///< Consecutive failures before an ejection.
  base::milliseconds ejection_time{1000};  ///< Doubles with each ejection in a row.
  base::milliseconds ejection_time_limit{30000};
};

/// The state of one leaf as seen by this relay.
struct leaf_state {
  config::leaf_declaration declared;
  std::string group_key;
  std::vector<base::connection_id> idle;  ///< The most recently used is last.
  std::size_t open = 0;                   ///< Connections, idle and busy.
  std::size_t opening = 0;                ///< Connections being opened.
  std::size_t in_flight = 0;
  double concurrency_limit = 1.0;  ///< Concurrent requests allowed now.
  /// Whether the limit still grows by one per answer, up to the leaf's slots.
  bool slow_start = true;
  double latency_us = 0;            ///< Moving average.
  double baseline_us = 0;           ///< Lowest latency, which rises slowly.
  base::time_point sampled_at{};    ///< Of the last latency sample.
  base::time_point decreased_at{};  ///< Of the last decrease of the limit.
  std::uint32_t failures = 0;       ///< Consecutive failures.
  std::uint32_t ejections = 0;      ///< Ejections since the last success.
  base::time_point ejected_until{};
  bool draining = false;  ///< As reported by the leaf.
  bool leaving = false;   ///< As scheduled in the configuration.
  bool probing = false;   ///< Whether a new connection tests if older ones are dead.
  /// While probing: when the attempt was sent that the leaf does not answer.
  base::time_point unanswered_since{};
  base::time_point next_open{};
  std::uint32_t open_failures = 0;
  base::time_point next_poll{};
  std::optional<leaf_status> status;
};

/// Whether a connection is being opened, unused, or used by an attempt.
enum class connection_phase : std::uint8_t { opening, idle, busy };

/// The state of one data connection to a leaf.
struct connection_state {
  std::string leaf;
  connection_phase phase = connection_phase::opening;
  base::attempt_id attempt;
  base::time_point opened_at{};
};

/// A replica group that this relay serves, or served until recently.
struct group_pool {
  std::shared_ptr<const config::service> service;
  std::size_t group = 0;
  std::vector<std::string> leafs;
  std::uint64_t attempt_count = 0;  ///< Attempts made so far; for round robin.
  std::optional<base::time_point> released_at;  ///< When this relay ceased to hold it.
};

/// Latencies and budgets of one service at this relay.
struct service_stats {
  latency_window latencies;
  budget hedges;
  budget retries;
};

/// All leafs, groups and connections of a relay.
struct leaf_pools {
  pool_tuning tuning;
  std::unordered_map<std::string, leaf_state> leafs;
  std::unordered_map<std::string, group_pool> groups;  ///< By `group_key`.
  std::unordered_map<std::string, service_stats> services;
  std::unordered_map<base::connection_id, connection_state> connections;
  bool stopping = false;  ///< If set, no new connection is opened.
};

/// @return The key of a replica group in `leaf_pools::groups`.
std::string group_key(const std::string& service, std::size_t group);

/// Adds the groups that this node holds under the active configuration and marks the
/// others as released. Called when the configuration or the live relays change.
void sync_pools(leaf_pools& pools, context& ctx);

/// @return How many data connections this relay may open to a leaf: its part of the
/// share that all holders use together, less the control connection, and at least 1.
std::size_t connection_allowance(const leaf_pools& pools, const routing_table& nodes,
                                 const leaf_state& leaf);

/// Opens missing connections, polls leafs whose status is due and removes released
/// groups. Called every `maintenance_period`.
void maintain_pools(leaf_pools& pools, context& ctx);

/// Opens one more connection to a leaf if it has fewer than needed and none is being
/// opened.
void open_next_connection(leaf_pools& pools, const std::string& name, context& ctx);

/// Why no replica can take a request now. If the replicas differ, the first of `busy`,
/// `version_gone`, `draining` and `lost` that holds for any of them is reported.
enum class pick_failure : std::uint8_t {
  none,          ///< A replica can take the request.
  busy,          ///< At its concurrency limit, or ejected.
  draining,      ///< Draining or leaving.
  version_gone,  ///< Does not hold the index version.
  lost           ///< Cannot be reached, or is excluded.
};

/// The result of `pick_leaf`.
struct pick_result {
  std::string leaf;  ///< Empty if `failure` is set.
  pick_failure failure = pick_failure::none;
};

/// Picks the replica with the least expected wait, or the next one in turn if the
/// service uses round robin.
///
/// @param version The index version that the leaf must hold; 0 for any.
/// @param excluded Leafs that must not be picked.
pick_result pick_leaf(const leaf_pools& pools, const group_pool& group,
                      std::uint64_t version, const std::vector<std::string>& excluded,
                      base::time_point now);

/// Marks an idle connection of a leaf as busy with an attempt. The leaf must have one.
base::connection_id acquire_connection(leaf_pools& pools, leaf_state& leaf,
                                       base::attempt_id attempt);

/// Marks a busy connection as idle again.
void release_connection(leaf_pools& pools, base::connection_id connection);

/// Removes a connection that broke or must not be used again.
/// @param close_socket Whether its socket is still open and has to be closed.
void drop_connection(leaf_pools& pools, base::connection_id connection,
                     bool close_socket, context& ctx);

/// Adds a connection that was opened. If the leaf was being probed, it can be reached,
/// so the connections that were open when the unanswered attempt was sent are taken for
/// dead and closed.
///
/// @return The attempts in flight on the connections that were closed.
std::vector<base::attempt_id> on_open_succeeded(leaf_pools& pools,
                                                const connection_opened& event,
                                                context& ctx);

/// Handles a connection that could not be opened and delays the next try.
void on_open_failed(leaf_pools& pools, const connection_failed& event, context& ctx);

/// Records a leaf's report of its own state.
void record_status(leaf_state& leaf, const leaf_status& status);

/// Updates a leaf's latency and concurrency limit after an answer.
///
/// @param was_at_limit Whether the attempt brought the leaf to its limit; after slow
/// start, the limit grows only then.
/// @param allowance From `connection_allowance`; the limit never exceeds it.
void record_success(leaf_pools& pools, leaf_state& leaf, base::duration latency,
                    bool was_at_limit, std::size_t allowance, base::time_point now);
/// Decreases a leaf's concurrency limit after it shed a request.
void record_shed(leaf_pools& pools, leaf_state& leaf, base::time_point now);
/// Counts a failed attempt. After several in a row the leaf is ejected, which means
/// that it gets no requests for a while, unless that would eject more than half of its
/// group.
void record_failure(leaf_pools& pools, leaf_state& leaf, context& ctx);

/// Probes a leaf that does not answer an attempt: opens a new connection, unless one is
/// being opened already. `on_open_succeeded` handles the result.
///
/// @param since When the unanswered attempt was sent; connections opened later are
/// kept.
void probe_silent_leaf(leaf_pools& pools, leaf_state& leaf, base::time_point since,
                       context& ctx);

/// @return The index versions that all usable replicas of the group hold; if there are
/// none, the range from the oldest to the newest that any holds. Nothing if no
/// replica's versions are known.
std::optional<wire::version_range> group_versions(const leaf_pools& pools,
                                                  const group_pool& group);

}  // namespace ibis::policy
