/// The connections and slots of the leafs that a relay holds, and the choice between
/// replicas.
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

/// How leafs are handled. The same for all services; what differs stands in
/// `config::service_policy`.
struct pool_tuning {
  double connection_share = 0.75;  ///< Of a leaf's limit; the rest is headroom.
  double decrease_on_shed = 0.7;
  double decrease_on_latency = 0.9;
  double latency_inflation = 3.0;  ///< Over the leaf's baseline, before a decrease.
  double smoothing = 0.1;          ///< Weight of a new latency sample.
  base::milliseconds decrease_pause{100};
  base::milliseconds maintenance_period{100};
  base::milliseconds poll_period{1000};
  base::milliseconds open_backoff{50};
  base::milliseconds open_backoff_limit{2000};
  base::milliseconds release_after{1000};
  base::milliseconds latency_half_life{
      3000};                            ///< Of what is remembered of a slow leaf.
  std::uint32_t ejection_failures = 5;  ///< In a row.
  base::milliseconds ejection_time{1000};
  base::milliseconds ejection_time_limit{30000};
};

/// One leaf as seen by this relay.
struct leaf_state {
  config::leaf_declaration declared;
  std::string group_key;
  std::vector<base::connection_id> idle;  ///< The most recently used last.
  std::size_t open = 0;                   ///< Connections, idle and busy.
  std::size_t opening = 0;
  std::size_t in_flight = 0;
  double limit = 1.0;   ///< Concurrent requests allowed now.
  bool ramping = true;  ///< Still growing towards its slots after a cold start.
  double latency_us = 0;
  double baseline_us = 0;
  base::time_point sampled_at{};
  base::time_point decreased_at{};
  std::uint32_t failures = 0;
  std::uint32_t ejections = 0;
  base::time_point ejected_until{};
  bool draining = false;  ///< The leaf says so.
  bool leaving = false;   ///< The configuration says so.
  bool probing = false;   ///< A new connection tests whether old ones went silent.
  base::time_point silent_since{};
  base::time_point next_open{};
  std::uint32_t open_failures = 0;
  base::time_point next_poll{};
  std::optional<leaf_status> status;
};

enum class connection_phase : std::uint8_t { opening, idle, busy };

struct connection_state {
  std::string leaf;
  connection_phase phase = connection_phase::opening;
  base::attempt_id attempt;
  base::time_point opened_at{};
};

/// A replica group that this relay serves.
struct group_pool {
  std::shared_ptr<const config::service> service;
  std::size_t group = 0;
  std::vector<std::string> leafs;
  std::uint64_t turn = 0;                       ///< Attempts made so far.
  std::optional<base::time_point> released_at;  ///< When it went to another holder.
};

/// What is learnt and spent for each service.
struct service_pool {
  latency_window latencies;
  budget hedges;
  budget retries;
};

struct leaf_pools {
  pool_tuning tuning;
  std::unordered_map<std::string, leaf_state> leafs;
  std::unordered_map<std::string, group_pool> groups;  ///< By `group_key`.
  std::unordered_map<std::string, service_pool> services;
  std::unordered_map<base::connection_id, connection_state> connections;
  bool stopping = false;  ///< No new connection is opened.
};

/// @return The key of a replica group in `leaf_pools::groups`.
std::string group_key(const std::string& service, std::size_t group);

/// Takes up the groups that this node holds now and releases the others.
void sync_pools(leaf_pools& pools, context& ctx);

/// @return How many data connections this relay may open to a leaf.
std::size_t connection_allowance(const leaf_pools& pools, const directory& nodes,
                                 const leaf_state& leaf);

/// Opens, polls and releases what is due. Called each `maintenance_period`.
void maintain_pools(leaf_pools& pools, context& ctx);

/// Opens the next connection that a leaf needs, if any; one at a time.
void open_ahead(leaf_pools& pools, const std::string& name, context& ctx);

/// Why no replica can take a request now.
enum class pick_failure : std::uint8_t { none, busy, draining, version_gone, lost };

struct pick {
  std::string leaf;  ///< Empty if `failure` is set.
  pick_failure failure = pick_failure::none;
};

/// Chooses the replica with the least expected wait.
///
/// @param version The pinned index version; 0 if any will do.
/// @param excluded Leafs that are not to be chosen.
pick pick_leaf(const leaf_pools& pools, const group_pool& group, std::uint64_t version,
               const std::vector<std::string>& excluded, base::time_point now);

/// Takes an idle connection of a leaf for an attempt.
base::connection_id take_connection(leaf_pools& pools, leaf_state& leaf,
                                    base::attempt_id attempt);

/// Gives a busy connection back.
void give_back(leaf_pools& pools, base::connection_id connection);

/// Drops a connection that broke or must not be used again.
/// @param tell_shell Whether the shell still has it open.
void drop_connection(leaf_pools& pools, base::connection_id connection, bool tell_shell,
                     context& ctx);

/// Notes an opened connection.
/// @return Attempts on connections that are now known to be silent, already dropped.
std::vector<base::attempt_id> on_opened(leaf_pools& pools,
                                        const connection_opened& event, context& ctx);

void on_open_failed(leaf_pools& pools, const connection_failed& event, context& ctx);

/// Takes in what a leaf says of itself.
void note_status(leaf_state& leaf, const leaf_status& status);

/// Learns from an answer.
void note_success(leaf_pools& pools, leaf_state& leaf, base::duration latency,
                  bool was_full, std::size_t allowance, base::time_point now);
void note_shed(leaf_pools& pools, leaf_state& leaf, base::time_point now);
void note_failure(leaf_pools& pools, leaf_state& leaf, context& ctx);

/// Tests a leaf with a new connection, since an old one does not answer.
void probe_silence(leaf_pools& pools, leaf_state& leaf, base::time_point since,
                   context& ctx);

/// @return The versions that the group's usable replicas share; else all they hold.
std::optional<wire::version_range> group_versions(const leaf_pools& pools,
                                                  const group_pool& group);

}  // namespace ibis::policy
