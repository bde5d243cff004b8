/// Settings of a node's decisions. Operators can set some of them in the settings file.
#pragma once

#include <cstddef>   // for size_t
#include <optional>  // for optional

#include "ibis/access/authorize.hpp"      // for access_settings
#include "ibis/base/time.hpp"             // for milliseconds
#include "ibis/quota/bound.hpp"           // for bound_settings
#include "ibis/serving/extra_budget.hpp"  // for extra_budget_settings

namespace ibis::serving {

/// Settings of hedging: when a late request is also sent to a second leaf.
struct hedge_settings {
  /// Quantile of the latency of a route's leaf answers after which a request is hedged.
  double quantile = 0.93;
  /// Bounds of the hedge delay, as shares of the route's objective.
  double earliest_share = 0.08;
  double latest_share = 0.45;
  /// Typical latency assumed for a route without measurements, as a share of its
  /// objective.
  double default_latency_share = 0.1;
  /// Delay before a hedge is tried again if no other leaf could take it.
  base::milliseconds recheck{8};
};

/// Settings of the connections to leafs, and of how leaf health and load are judged.
struct leaf_settings {
  /// Share of the leafs' connection limits that all nodes together may use.
  double connection_share = 0.9;
  std::size_t max_connections_per_leaf = 8;  ///< From this node to one leaf.
  base::milliseconds connect_timeout{600};
  base::milliseconds connect_backoff{60};  ///< Doubled after each consecutive failure.
  base::milliseconds connect_backoff_limit{4000};
  /// An idle connection is closed this long before the leaf's own idle timeout.
  base::milliseconds idle_margin{1200};
  /// Idle timeout of a leaf's connections beyond the first, and of its only one while
  /// more leafs are connected than needed.
  base::milliseconds surplus_idle_limit{8000};
  /// A request that must not be executed twice is sent on a connection that became idle
  /// at most this long ago, or else on a new one: an older connection may have been
  /// lost without notice.
  base::milliseconds max_fresh_idle{2500};
  /// Whether the leaf is chosen by the expected times of this request and of those that
  /// it has, instead of by their number.
  bool by_cost = false;
  /// A leaf that is expected to take a greater share of the remaining time is avoided
  /// while there is another.
  double slow_share = 0.5;
  base::milliseconds slowness_half_life{2500};  ///< Decay of a leaf's slowness.
  base::milliseconds failure_half_life{2000};   ///< Decay of a leaf's failure rate.
  /// Limits of the requests that this node has in flight at a leaf.
  double initial_limit = 3.0;
  double min_limit = 0.2;  ///< Below 1: one request at a time, with pauses between.
  double max_limit = 16.0;
  double limit_step = 0.2;      ///< Added after an answer in typical time.
  double limit_decrease = 0.8;  ///< Factor applied after a late answer.
  /// An answer is late if it took longer than this multiple of the typical latency.
  double late_factor = 2.5;
  /// Longest latency from which the pause between requests is computed.
  base::milliseconds max_pacing_delay{400};
  /// A leaf that wants nothing for longer is asked again after this time.
  base::milliseconds retry_after_limit = std::chrono::hours(1);
  base::milliseconds maintenance_period{500};  ///< Between rounds of connection upkeep.
  /// How long after the request's deadline a leaf may still answer before its
  /// connection is closed.
  base::milliseconds late_answer_grace{150};
  /// Delay after a client disconnected before the connection to the leaf is closed,
  /// which tells the leaf to stop.
  base::milliseconds abandon_delay{200};
};

/// Settings for following the store.
struct store_settings {
  /// Whether availability zones can be evacuated. Cannot be changed while a node runs.
  bool follow_evacuations = false;
  base::milliseconds wait{30000};  ///< How long the store may hold a watch.
  base::milliseconds grace{1500};  ///< Added to `wait` for the timeout of a watch.
  base::milliseconds list_timeout{1500};
  /// How long a healthy store takes at most to answer a call.
  base::milliseconds call_time{200};
  /// How long the watch after a possibly stale listing is given to bring newer changes.
  base::milliseconds stale_catch_up_time{150};
  /// Pauses between a change and the next watch, so that a series of changes arrives in
  /// one call.
  base::milliseconds configuration_pause{400};
  base::milliseconds evacuation_pause{400};
  base::milliseconds leaf_pause{1000};
  base::milliseconds backoff{150};  ///< Doubled after each consecutive failure.
  base::milliseconds backoff_limit{1000};
  /// How long after an outage of the store leafs are kept whose records expired during
  /// it, so that they can register again.
  base::milliseconds outage_hold{2000};
  /// How long leafs are kept whose records disappear together while the store seems
  /// available. They may have expired in an outage that this node did not notice, or be
  /// shutting down and soon stop serving.
  base::milliseconds bulk_removal_hold{500};
  /// Interval between probes. They detect watches that were dropped without notice or
  /// that do not report changes. See `fit_propagation`.
  base::milliseconds probe_period{1000};
  base::milliseconds probe_limit{700};     ///< Timeout of a probe.
  base::milliseconds count_period{10000};  ///< Between counts of the nodes.
  /// Delay before a count, or the write of this node's record, is tried again; doubled
  /// after each consecutive failure.
  base::milliseconds record_backoff{500};
  base::milliseconds record_backoff_limit{8000};
};

/// Settings for getting store updates from other nodes.
struct peer_settings {
  std::size_t watchers = 2;  ///< Nodes per availability zone that watch the store.
  /// How long a peer may hold a query. See `fit_propagation`.
  base::milliseconds wait{500};
  base::milliseconds grace{300};  ///< Added to `wait` for the timeout of a query.
  /// A node that cannot reach the store keeps its current data for this long, since
  /// most outages end by themselves; after that it gets updates from peers.
  base::milliseconds peer_fallback_after{10000};
  /// How long a peer is avoided after a query to it failed; doubled after each further
  /// failure, since the records of lost nodes stay.
  base::milliseconds avoid_peer_for{5000};
  base::milliseconds avoid_peer_limit{80000};
  std::size_t history_bytes = 262144;  ///< Size of the changes kept for each topic.
};

/// Settings of holders: the nodes that hold the connections to a shard for all others.
struct holder_settings {
  /// Every node connects to the leafs of a shard itself if it may have at least this
  /// many connections to them. With fewer, there is none left for hedges.
  std::size_t min_own_connections = 4;
  std::size_t block_shards = 12;  ///< Shards that have the same holders.
  std::size_t per_zone = 2;       ///< Holders of a block in an availability zone.
  /// Share of the route's objective after which a holder replies with what it has.
  double progress_share = 0.3;
  /// Further share after which a holder that has not replied is taken for silent.
  double patience_share = 0.15;
  /// Longest time that a reply travels, subtracted from the time left for the shards.
  base::milliseconds same_zone_margin{3};
  base::milliseconds other_zone_margin{8};
  /// How long a holder is avoided after a failure; doubled after each further one.
  base::milliseconds backoff{250};
  base::milliseconds backoff_limit{16000};
  base::milliseconds silent_backoff{1000};   ///< At least, if it did not reply in time.
  base::milliseconds leaving_backoff{8000};  ///< If it is stopping.
  /// How long a node that was asked for a shard keeps the quota of a holder.
  base::milliseconds held_for{20000};
  /// Idle timeout of the connection of a node that is no holder.
  base::milliseconds own_idle_limit{2000};
};

/// Durations of the phases of a graceful stop.
struct stop_settings {
  /// How long requests are still accepted, until the load balancer notices.
  base::milliseconds accept_for{3000};
  /// How long the node stays up after it stopped accepting, for requests that are still
  /// arriving on open connections.
  base::milliseconds linger{400};
  base::milliseconds limit{5400};  ///< Total time; requests in flight are then aborted.
  /// Interval between checks whether the stop is complete.
  base::milliseconds check_period{50};
};

/// All settings of a node's decisions.
struct node_settings {
  hedge_settings hedge;
  leaf_settings leafs;
  store_settings store;
  peer_settings peers;
  holder_settings holders;
  stop_settings stop;
  access::access_settings access;
  std::optional<quota::bound_settings> quota;  ///< Nothing if quotas are off.
  extra_budget_settings budget;                ///< For all nodes together.
  /// Time that a request and its answer travel between client and node; subtracted from
  /// a route's objective.
  base::milliseconds travel_margin{13};
  /// Subtracted as well if the client had to open a connection first.
  base::milliseconds connect_margin{7};
  base::milliseconds default_timeout{5000};  ///< If the client states no deadline.
  /// The node is ready after this time even if its warm connections are not open yet.
  base::milliseconds max_warm_up_wait{700};
  /// All nodes start for the first time, so that the first count of them is too low.
  bool first_start = false;
  std::string node;  ///< This node's name; if empty, it queries no peers.
  std::string availability_zone;
};

}  // namespace ibis::serving
