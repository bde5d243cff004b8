/// The complete state of a serving node, and the context of a reducer call.
#pragma once

#include <array>          // for array
#include <cstddef>        // for size_t
#include <cstdint>        // for uint64_t
#include <deque>          // for deque
#include <map>            // for map
#include <memory>         // for shared_ptr
#include <optional>       // for optional
#include <random>         // for minstd_rand
#include <set>            // for set
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <utility>        // for move, pair
#include <vector>         // for vector

#include "ibis/access/request_counts.hpp"     // for request_counts
#include "ibis/admission/account_counts.hpp"  // for account_counts
#include "ibis/admission/account_use.hpp"     // for account_use
#include "ibis/admission/kind_shares.hpp"     // for kind_shares
#include "ibis/base/id.hpp"                   // for block_call_id, caller_id
#include "ibis/base/timer_queue.hpp"          // for basic_timer_queue
#include "ibis/cost/cost_table.hpp"           // for cost_table, request_class
#include "ibis/policy/latency_window.hpp"     // for latency_window
#include "ibis/quota/node.hpp"                // for quota::node_state
#include "ibis/serving/catalog.hpp"           // for catalog_ptr
#include "ibis/serving/effect.hpp"            // for effects
#include "ibis/serving/extra_budget.hpp"      // for extra_budget
#include "ibis/serving/holders.hpp"           // for holder_table, holder_health
#include "ibis/serving/leaf_state.hpp"        // for leaf_state, connection_state
#include "ibis/serving/settings.hpp"          // for node_settings

namespace ibis::serving {

/// What a timer is for, with the meaning of its subject and detail. A timer whose
/// subject no longer exists is ignored when it fires.
enum class timer_kind : std::uint8_t {
  hedge,  ///< When to hedge. Subject: request, detail: task index.
  /// Answers a fan-out request with the shards that have answered, if they are enough.
  /// Subject: request.
  objective_deadline,
  /// Refuses a request that could not be sent to any leaf. Subject: request.
  first_send_deadline,
  deadline,  ///< The effective deadline of a request. Subject: request.
  /// Closes a connection whose answer is too late. Subject: connection, detail: its
  /// serial.
  late_answer_limit,
  /// Closes the connection of an attempt whose client disconnected. Subject:
  /// connection, detail: its serial.
  abandoned_attempt,
  /// Gives up a connection that is still being established. Subject: connection.
  connect_deadline,
  leaf_capacity,   ///< Subject: a connection to the leaf that has capacity again.
  maintenance,     ///< Opens and closes connections as needed.
  remove_expired,  ///< Removes leafs whose records expired.
  store_call,      ///< Timeout of a call. Subject: topic, detail: serial of the call.
  /// Ends a pause between calls. Subject: topic, detail: serial of the pause.
  store_retry,
  /// Treats a listing that may be stale as current if the node is watching by then.
  /// Subject: topic.
  stale_listing_caught_up,
  count_nodes,  ///< Counts the nodes in the store. Detail: serial of the schedule.
  /// Writes this node's record after a failed write. Detail: serial of that write.
  write_record,
  probe_store,  ///< Probes the store if this node depends on it.
  peer_wait,    ///< A held query of a peer must be answered.
  /// Replies to another node with the shards that have answered. Subject: request.
  progress_reply,
  holder_silent,   ///< A holder must have replied. Subject: shard call.
  stop_accepting,  ///< Stops taking new requests during a graceful stop.
  quota,           ///< Calls the quotas' `on_time`.
  stop_check,      ///< Checks whether a graceful stop is complete.
};

/// A timer of a node.
using timer = base::basic_timer<timer_kind>;

/// The part of a request that goes to one service: one shard of a fan-out request, or
/// the whole of any other.
struct task_state {
  std::string service;
  std::vector<std::uint64_t> tried_leafs;  ///< Keys of the leafs it was sent to.
  /// Keys of the leafs that may get it if another node may send it too. Empty for any.
  std::vector<std::uint64_t> leaf_subset;
  /// Tags of these leafs. See `leaf_tag`.
  std::vector<std::uint32_t> leaf_tags;
  /// Connections on which it is in flight.
  std::vector<base::connection_id> active_connections;
  std::vector<base::block_call_id> active_calls;  ///< Holders that are asked for it.
  std::uint32_t sent = 0;     ///< How often it was sent, or a holder asked.
  std::uint32_t opening = 0;  ///< Connections being opened for it.
  bool waiting = false;       ///< It is in its service's queue.
  bool done = false;          ///< It was answered or given up.
  bool hedged = false;        ///< A hedge was started while an attempt was unanswered.
  bool reported = false;      ///< The node that asked for it knows its outcome.
  bool may_have_run = false;  ///< A leaf may have executed it, though without success.
  std::shared_ptr<leaf_answer> part;     ///< The answer of a shard of a fan-out.
  std::shared_ptr<leaf_answer> failure;  ///< The latest failure answered by a leaf.
};

/// Another node on whose behalf this node queries shards.
struct remote_caller {
  std::string node;
  base::block_call_id call;
  std::uint32_t sent_before = 0;  ///< See `wire::shards_request::sent_before`.
  std::vector<std::vector<std::uint32_t>> allowed_leafs;  ///< Tags, for each shard.
};

/// A request of a client, or of another node, that has not been answered yet.
struct pending_request {
  base::caller_id caller;
  inbound_request_ptr request;
  catalog_ptr configuration;
  /// Points into `configuration` or to `own_route`.
  const serving::route* route = nullptr;
  std::shared_ptr<const serving::route> own_route;  ///< Of another node's request.
  std::optional<remote_caller> remote;  ///< The node that asked, if it was no client.
  std::string account;         ///< Name of the client account; empty if there is none.
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  base::time_point arrived{};
  base::time_point deadline{};  ///< When the client stops waiting.
  /// The earlier of `deadline` and the route's timeout.
  base::time_point effective_deadline{};
  /// When to answer so that the client gets the answer within the route's objective.
  base::time_point objective_deadline{};
  std::vector<task_state> tasks;
  std::uint64_t key = 0;           ///< See `request_key`.
  cost::request_class cost_class;  ///< Empty unless leafs are chosen by cost.
  base::duration expected{0};      ///< What a leaf needs for a task; 0 if unknown.
  /// Typical latency of the route's leaf answers when the request arrived.
  base::duration typical_latency{0};
  bool latency_measured = false;  ///< `typical_latency` is more than an assumption.
  base::duration hedge_delay{0};  ///< After which an unanswered task is late.
  std::vector<base::block_call_id> shard_calls;  ///< To holders; some may have ended.
  std::size_t parts = 0;          ///< Number of shards that have answered.
  std::size_t given_up = 0;       ///< Number of tasks given up.
  bool objective_passed = false;  ///< `objective_deadline` has passed.
};

/// Shards of a request that a holder was asked to query.
struct shard_call {
  base::caller_id caller;
  peer holder;
  std::vector<std::size_t> tasks;  ///< Task indices, in the order of the request.
  std::vector<std::string> asked;  ///< All nodes that were asked for these tasks.
  /// How many holders may have sent the request to leafs before this call.
  std::uint32_t sent_before = 0;
  bool replied = false;  ///< The holder has sent a reply, final or not.
};

/// A task that waits for a leaf with capacity.
struct waiting_task {
  base::caller_id caller;
  std::size_t shard = 0;
  std::string route;  ///< Name of its request's route.
  base::time_point since{};
};

/// A service's leafs, queue and budget of extra requests.
struct service_state {
  std::vector<leaf_ptr> leafs;
  std::deque<waiting_task> waiting;
  admission::kind_shares kinds;  ///< Outcomes of its tasks, by route.
  extra_budget budget;
  /// Until when this node counts as a holder, since another node has asked it.
  base::time_point held_until{};
};

/// What is remembered of a leaf that has said that it leaves, also after its record was
/// removed: the record may come back.
struct leaving_notice {
  base::milliseconds started_at{0};  ///< Identifies the leaf's start.
  base::time_point noticed_at{};
};

/// Measurements of a route.
struct route_statistics {
  policy::latency_window part_latency;  ///< Latency of successful leaf answers.
  double split_position = 0;            ///< Last position passed to `choose_target`.
};

/// What a node is doing to follow a topic.
enum class topic_phase : std::uint8_t { listing, watching };

/// Recent changes of a topic, which a node that watches the store keeps for its peers.
struct topic_history {
  store_revision since;  ///< `changes` has all changes after this revision.
  std::deque<topic_changed> changes;
  std::size_t bytes = 0;  ///< Total size of the changes' texts.
};

/// A peer whose query is held until there are changes.
struct waiting_peer {
  peer_query_received query;
  base::time_point until{};      ///< When to reply at the latest.
  base::time_point timer_due{};  ///< When its timer fires.
};

/// How a peer failed as a source of updates.
struct peer_failures {
  std::size_t consecutive = 0;
  base::time_point avoid_until{};
};

/// The entries of the pages of an incomplete listing.
struct listed_entries {
  std::vector<leaf_change> leafs;
  std::vector<zone_change> zones;
  std::set<std::string> positions;  ///< Keys after which further pages began.
};

/// How far a node has followed a topic of the store.
struct topic_state {
  topic_phase phase = topic_phase::listing;
  std::uint64_t call_serial = 0;  ///< Identifies the current call or pause.
  base::time_point called_at{};   ///< When the current call began.
  store_revision revision;        ///< Latest revision applied.
  bool listed = false;  ///< A complete listing that is known to be current was applied.
  bool stale_listing_tried = false;  ///< The one listing that may be stale is over.
  std::uint32_t failures = 0;        ///< Consecutive failed calls.
  /// As of when the data is known to match the store's.
  base::time_point verified_at{};
  bool paused = false;    ///< It is between two calls, until a timer fires.
  bool checking = false;  ///< The current call checks whether a watch missed changes.
  listed_entries pages;   ///< Of a listing in progress.
  /// Oldest revision of the pages of an incomplete listing.
  std::optional<store_revision> listing_revision;
  base::time_point listing_started_at{};
  std::string source;  ///< Name of the peer queried; empty for the store.
  topic_history history;
};

/// The number of nodes that a count replaced.
struct earlier_count {
  std::size_t nodes = 0;
  base::time_point replaced_at{};
};

/// The count of the nodes' records, and the writing of this node's own.
struct node_records_state {
  bool counting = false;             ///< A count is in progress.
  nodes_counted counted;             ///< The pages of an incomplete count.
  std::string page_after;            ///< Where the requested page starts.
  std::uint64_t count_serial = 0;    ///< Identifies the latest schedule of a count.
  std::uint32_t count_failures = 0;  ///< Consecutive ones.
  /// Numbers that were replaced within the window of the budget of extra requests.
  std::vector<earlier_count> earlier;
  bool counted_before = false;  ///< At least one count was completed.
  /// From when on this node takes part in the slack of the budgets of extra requests,
  /// more and more during a window; may lie ahead. Nothing while its record is not
  /// counted.
  std::optional<base::time_point> slack_from;
  /// When this node last wrote its record; nothing if it never did.
  std::optional<base::time_point> written_at;
  std::uint64_t write_serial = 0;    ///< Identifies the latest write.
  std::uint32_t write_failures = 0;  ///< Consecutive ones.
};

/// Progress of a graceful stop.
struct stop_state {
  bool requested = false;
  base::time_point requested_at{};
  bool accepting = true;
  base::time_point accept_ended_at{};
  bool finished = false;
};

/// Counters since the process started.
struct node_counters {
  std::uint64_t requests = 0;
  std::uint64_t sends = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  std::uint64_t budget_refusals = 0;
  std::uint64_t connections_opened = 0;
  std::uint64_t connections_failed = 0;
  std::uint64_t connections_lost = 0;
  std::uint64_t instance_mismatches = 0;
  std::uint64_t leaf_refusals = 0;
  std::uint64_t leaf_failures = 0;
  std::uint64_t leaf_backoffs = 0;
  std::uint64_t leaf_retry_after_bounded = 0;  ///< Times that were too long.
  std::uint64_t leaf_retry_after_ignored = 0;  ///< Values that state no time.
  std::uint64_t leaf_loads_ignored = 0;        ///< Load reports with invalid values.
  std::uint64_t hedges_postponed = 0;  ///< Since the attempt is expected to end soon.
  std::uint64_t costs_exceeded = 0;    ///< Answers far later than expected.
  std::uint64_t store_calls = 0;
  std::uint64_t store_failures = 0;
  std::uint64_t watch_checks = 0;  ///< Watches that were behind the store's revision.
  std::uint64_t peer_questions = 0;
  std::uint64_t peer_failures = 0;
  std::uint64_t catalogs = 0;
  std::uint64_t shard_calls = 0;           ///< Requests for shards to holders.
  std::uint64_t shard_calls_repeated = 0;  ///< Of them, after a holder was lost.
  std::uint64_t holders_silent = 0;
  std::uint64_t shards_served = 0;   ///< Requests for shards from other nodes.
  std::uint64_t unknown_keys = 0;    ///< Requests refused for their access key.
  std::uint64_t outdated_views = 0;  ///< Requests refused since the view is too old.
  access::request_counts accounts;   ///< Clients' requests that were not refused so.
  std::uint64_t waits_given_up = 0;  ///< Tasks that waited until it was too late.
  admission::account_counts refused_for_time;  ///< Requests, by account.
};

/// Number of nodes assumed until they are counted. It is high, so that a new node
/// claims little of the limits that all nodes share.
inline constexpr std::size_t initial_node_estimate = 11;

/// When the nodes are counted for the second time: late enough for nodes that started
/// together to have written their records.
inline constexpr base::milliseconds second_count_delay{3000};

/// All state of a node. Only the reducer changes it.
struct node_state {
  node_settings settings;
  base::time_point started_at{};
  catalog_ptr configuration;
  std::unordered_map<std::string, service_state> services;
  std::unordered_map<std::string, leaf_ptr> leafs;  ///< By id; without removed ones.
  std::unordered_map<std::string, leaving_notice> leaving_notices;  ///< By leaf id.
  std::unordered_map<base::connection_id, connection_state> connections;
  std::unordered_map<base::caller_id, pending_request> pending_requests;
  std::unordered_map<std::string, route_statistics> statistics;  ///< By route name.
  cost::cost_table costs;
  base::time_point next_cost_log_at{};  ///< See `log_exceeded_cost`.
  admission::account_use account_use;   ///< Of leafs, for requests of this node.
  std::array<topic_state, store_topic_count> topics;
  std::set<std::string> evacuated_zones;  ///< As the store says.
  std::uint64_t store_era = 0;            ///< The latest one known; 0 if none is.
  base::time_point store_unavailable_since{};
  base::time_point store_recovered_at{};  ///< Unset if it was never unavailable.
  bool store_unavailable = false;
  std::size_t nodes = initial_node_estimate;  ///< Number of nodes, this one included.
  std::vector<peer> peers;
  std::unordered_map<std::string, peer_failures> failed_peers;  ///< By name.
  std::vector<waiting_peer> waiting_peers;
  holder_table holders;
  bool holders_outdated = false;  ///< What `holders` is made from has changed.
  std::unordered_map<std::string, serving::holder_health> holder_health;  ///< By name.
  std::unordered_map<base::block_call_id, shard_call> shard_calls;
  /// Requests of other nodes, by the node's name and its call.
  std::map<std::pair<std::string, base::block_call_id>, base::caller_id> remote_callers;
  quota::node_state quota;          ///< Of limited accounts.
  catalog_ptr quota_configuration;  ///< Whose limits `quota` has.
  /// Requests that wait for a token of their account.
  std::unordered_map<base::caller_id, pending_request> quota_waiting;
  std::set<base::time_point> quota_dues;  ///< For which a timer is running.
  node_records_state records;
  stop_state stop;
  base::basic_timer_queue<timer_kind> timers;
  std::minstd_rand random;
  std::uint64_t last_id = 0;
  node_counters count;
};

/// The context of one reducer call: the time, the state and the effects so far.
struct context {
  base::time_point now;
  node_state& node;
  effects& out;

  /// @return An id that is unique within the process.
  std::uint64_t next_id() { return ++node.last_id; }
  /// Starts a timer. See `timer_kind` for the meaning of `subject` and `detail`.
  void add_timer(base::time_point due, timer_kind kind, std::uint64_t subject = 0,
                 std::uint64_t detail = 0) {
    node.timers.add(due, kind, subject, detail);
  }
  /// Logs an event.
  void log(const char* name, std::vector<log_field> fields, bool warning = false) {
    out.emplace_back(log_line{name, warning, std::move(fields)});
  }
};

/// @return A random number in [0, 1).
double random_fraction(node_state& node);

}  // namespace ibis::serving
