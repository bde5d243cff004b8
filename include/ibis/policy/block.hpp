/// The relay's part of a request: asks the replica groups of one block, hedges and
/// retries within budgets, and merges the replies into one.
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

/// When extra attempts are made.
struct block_tuning {
  bool hedge = true;
  bool retry = true;
  /// The share of a service's hedge budget that is planned for; the rest is for peaks.
  double planned_hedge_share = 0.7;
  /// Replaces the adaptive delay if not zero; for comparisons.
  base::microseconds fixed_hedge_delay{0};
  base::milliseconds hedge_fallback{20};  ///< While too little is known of a service.
  base::milliseconds silent_floor{250};
  base::milliseconds silent_ceiling{2000};
  double silent_factor = 10.0;         ///< Over the 99th percentile of the service.
  std::uint32_t hedges_per_group = 2;  ///< The second may go to a leaf that was asked.
  std::uint32_t retries_per_group = 3;
  std::size_t remembered_calls = 20000;  ///< So that none is taken twice.
};

/// One request to one leaf.
struct attempt_state {
  std::uint64_t block = 0;  ///< 0 once nobody waits for it.
  std::size_t task = 0;
  std::string leaf;
  base::connection_id connection;
  base::time_point started{};
  bool was_full = false;  ///< Whether it took the leaf's last free place.
  bool submit = false;
  std::vector<wire::shard_index> shards;
};

/// The work on one replica group.
struct group_task {
  std::uint32_t group = 0;
  std::vector<wire::shard_index> pending;
  std::vector<base::attempt_id> live;
  std::vector<std::string> tried;
  wire::missing_reason reason = wire::missing_reason::timeout;
  std::uint32_t retries = 0;
  bool waiting = false;
  std::uint32_t hedges = 0;
  bool done = false;
};

struct block_state {
  std::string peer;
  wire::block_request request;
  std::shared_ptr<const config::service> service;
  base::time_point started{};
  base::time_point deadline{};
  std::vector<group_task> tasks;
  std::size_t open_tasks = 0;
  wire::block_reply reply;
};

struct block_part {
  block_tuning tuning;
  leaf_pools pools;
  std::unordered_map<std::uint64_t, block_state> blocks;
  std::map<std::pair<std::string, base::block_call_id>, std::uint64_t> by_call;
  std::unordered_map<base::attempt_id, attempt_state> attempts;
  std::unordered_map<std::string, waiting_queue> queues;  ///< By group key.
  std::unordered_set<std::uint64_t> seen_calls;           ///< Hashes of entry and call.
  std::deque<std::uint64_t> seen_order;
};

void on_block_request(block_part& part, const std::string& peer,
                      const wire::block_request& request, context& ctx);
void on_block_cancel(block_part& part, const std::string& peer,
                     base::block_call_id call, context& ctx);
/// Forgets the work of an entry that is gone.
void on_entry_lost(block_part& part, const std::string& peer, context& ctx);
void on_leaf_reply(block_part& part, const leaf_replied& event, context& ctx);
void on_attempt_lost(block_part& part, const attempt_lost& event, context& ctx);
void on_connection_opened(block_part& part, const connection_opened& event,
                          context& ctx);
void on_connection_failed(block_part& part, const connection_failed& event,
                          context& ctx);
void on_status_polled(block_part& part, const status_polled& event, context& ctx);
void on_block_timer(block_part& part, const timer& due, context& ctx);

/// @return How many tasks wait for a place, over all groups.
std::size_t waiting_count(const block_part& part);

}  // namespace ibis::policy
