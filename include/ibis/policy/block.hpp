/// The relay's side of a request. A block is a batch of replica groups that an entry
/// asks for in one message; the relay sends one or more attempts to the leafs of each
/// group, hedges and retries within budgets, and merges the answers into one reply.
#pragma once

#include <cstdint>        // for uint32_t
#include <deque>          // for deque
#include <map>            // for map
#include <memory>         // for shared_ptr
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <unordered_set>  // for unordered_set
#include <utility>        // for pair
#include <vector>         // for vector

#include "ibis/policy/context.hpp"        // for context
#include "ibis/policy/event.hpp"          // for leaf_replied
#include "ibis/policy/leaf_pool.hpp"      // for leaf_pools
#include "ibis/policy/waiting_queue.hpp"  // for waiting_queue

namespace ibis::policy {

/// Settings for hedges, retries and the detection of dead connections.
struct block_tuning {
  bool hedge = true;
  bool retry = true;
  /// Share of a service's hedge budget that the hedge delay is computed for; the rest
  /// is kept for load peaks.
  double planned_hedge_share = 0.7;
  /// Replaces the adaptive hedge delay if not zero; meant for benchmarks.
  base::microseconds fixed_hedge_delay{0};
  /// Used until enough latencies of a service are known.
  base::milliseconds default_hedge_delay{20};
  base::milliseconds min_silence_timeout{250};
  base::milliseconds max_silence_timeout{2000};
  double silence_timeout_factor = 10.0;  ///< Multiplies the service's 99th percentile.
  std::uint32_t hedges_per_group = 2;    ///< The second may repeat a leaf.
  std::uint32_t retries_per_group = 3;
  /// How many past calls are remembered to recognise duplicate block requests.
  std::size_t max_seen_calls = 20000;
};

/// An attempt: one request to one leaf that has not been answered yet.
struct attempt_state {
  std::uint64_t block = 0;  ///< Id of the block; 0 once the attempt was cancelled.
  std::size_t task = 0;
  std::string leaf;
  base::connection_id connection;
  base::time_point started{};
  bool was_at_limit = false;  ///< Whether it brought the leaf to its concurrency limit.
  bool submit = false;
  std::vector<wire::shard_index> shards;
};

/// The state of a block's request to one replica group.
struct group_task {
  std::uint32_t group = 0;
  std::vector<wire::shard_index> pending;       ///< Shards without an answer so far.
  std::vector<base::attempt_id> live_attempts;  ///< Attempts in flight.
  std::vector<std::string> tried;               ///< Leafs that were sent an attempt.
  /// Why the pending shards are missing if the block ends now.
  wire::missing_reason reason = wire::missing_reason::timeout;
  std::uint32_t retries = 0;
  bool waiting = false;  ///< Whether the task is queued for a free leaf.
  std::uint32_t hedges = 0;
  bool done = false;
};

/// A block request that has not had its final reply yet.
struct block_state {
  std::string peer;  ///< The entry that sent the request.
  wire::block_request request;
  std::shared_ptr<const config::service> service;
  base::time_point started{};
  base::time_point deadline{};
  std::vector<group_task> tasks;
  std::size_t unfinished_tasks = 0;
  wire::block_reply reply;  ///< The answers merged so far.
};

/// All state that a relay keeps for block requests.
struct block_table {
  block_tuning tuning;
  leaf_pools pools;
  std::unordered_map<std::uint64_t, block_state> blocks;
  /// Block ids by entry and call id.
  std::map<std::pair<std::string, base::block_call_id>, std::uint64_t> by_call;
  std::unordered_map<base::attempt_id, attempt_state> attempts;
  std::unordered_map<std::string, waiting_queue> queues;  ///< By group key.
  std::unordered_set<std::uint64_t> seen_calls;           ///< Hashes of entry and call.
  std::deque<std::uint64_t> seen_order;                   ///< The same, oldest first.
};

/// Starts work on a block, or refuses it if this relay does not hold its groups or has
/// another partition epoch. Duplicates of an earlier request are ignored.
void on_block_request(block_table& table, const std::string& peer,
                      const wire::block_request& request, context& ctx);
/// Drops a block that its entry cancelled and cancels its attempts.
void on_block_cancel(block_table& table, const std::string& peer,
                     base::block_call_id call, context& ctx);
/// Drops the searches of an entry whose connection broke. Submits go on.
void on_entry_lost(block_table& table, const std::string& peer, context& ctx);
/// Handles a leaf's answer to an attempt: merges it, or retries what it does not cover.
void on_leaf_reply(block_table& table, const leaf_replied& event, context& ctx);
/// Handles an attempt that ended without an answer, and retries if that is allowed.
void on_attempt_lost(block_table& table, const attempt_lost& event, context& ctx);
/// Adds a new connection to its leaf's pool and dispatches the tasks that wait for it.
void on_connection_opened(block_table& table, const connection_opened& event,
                          context& ctx);
/// Handles a connection that could not be opened; the next try is delayed.
void on_connection_failed(block_table& table, const connection_failed& event,
                          context& ctx);
/// Records a leaf's polled status, which may allow waiting tasks to be dispatched.
void on_status_polled(block_table& table, const status_polled& event, context& ctx);
/// Handles a due timer of a block or an attempt.
void on_block_timer(block_table& table, const timer& due, context& ctx);

/// @return The number of queued tasks, over all replica groups.
std::size_t waiting_count(const block_table& table);

}  // namespace ibis::policy
