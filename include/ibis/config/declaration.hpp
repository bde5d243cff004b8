/// What operators declare: services, the upstreams that hold their shards, and
/// availability zones. These are plain aggregates; the functions of parse.hpp fill
/// them.
#pragma once

#include <cstddef>   // for size_t
#include <cstdint>   // for uint32_t, uint64_t
#include <map>       // for map
#include <memory>    // for shared_ptr
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "ibis/base/time.hpp"  // for milliseconds

namespace ibis::config {

/// The number of a shard within its service, from 0.
using shard_index = std::uint32_t;

/// A leaf: an upstream process that holds all shards of its replica group.
struct leaf_declaration {
  std::string name;
  std::string address;      ///< "ip:port".
  std::uint32_t slots = 2;  ///< The number of requests that it runs concurrently.
  std::uint32_t connections = 25;  ///< The total number of connections that it accepts.
  bool operator==(const leaf_declaration&) const = default;
};

/// A range of shards and its replicas: each of the leafs holds all of these shards.
struct replica_group {
  shard_index first_shard = 0;
  shard_index last_shard = 0;  ///< Inclusive.
  std::vector<leaf_declaration> leafs;
  bool operator==(const replica_group&) const = default;
};

/// Whether an answer waits for slow shards or is sent without them.
enum class answer_mode {
  coverage_first,  ///< Waits for all shards, at most until the caller's deadline.
  latency_first,   ///< May answer after `answer_by` if `min_coverage` is reached.
};

/// How a replica is selected for an attempt.
enum class replica_choice {
  least_wait,   ///< The shortest wait by requests in flight and decayed latency.
  round_robin,  ///< Each replica in turn; a baseline for comparisons.
};

/// How requests to a service are handled: limits, targets and budgets.
struct service_policy {
  answer_mode mode = answer_mode::coverage_first;
  double min_coverage = 1.0;  ///< Share of the shards, 0 to 1; used by `latency_first`.
  base::milliseconds answer_by{60};  ///< After the query's start; see `latency_first`.
  base::milliseconds default_timeout{1000};  ///< For requests that set none.
  base::milliseconds max_timeout{30000};     ///< The longest that a caller may set.
  config::replica_choice replica_choice = config::replica_choice::least_wait;
  double hedge_budget = 0.03;      ///< Hedges as a share of first attempts; 0 for none.
  double retry_budget = 0.1;       ///< Retries as a share of first attempts.
  std::uint32_t queue_limit = 64;  ///< Leaf requests that may wait for a replica group.
  bool operator==(const service_policy&) const = default;
};

/// A service: one index, split into shards, and the policy for requests to it.
struct service {
  std::string name;
  std::string tenant;
  std::uint64_t partition_epoch = 1;  ///< Incremented when shards move between groups.
  /// Whether a request may run more than once. Submits are accepted only if not.
  bool repeatable = true;
  service_policy policy;
  std::vector<replica_group> groups;
  bool operator==(const service&) const = default;
};

/// An availability zone and the region that it belongs to.
struct availability_zone {
  std::string name;
  std::string region;
  bool operator==(const availability_zone&) const = default;
};

/// Everything that operators declare: the whole configuration of the tier.
struct configuration {
  std::vector<availability_zone> zones;
  /// How many relays of each availability zone serve the same block.
  std::uint32_t holders_per_zone = 1;
  std::map<std::string, std::shared_ptr<const service>> services;  ///< By name.
  /// Upstreams (by leaf name) and VMs that are to be taken out of service, with the
  /// time by which they must be free of work, in milliseconds since the Unix epoch
  /// (UTC).
  std::map<std::string, base::milliseconds> leaving;
};

/// The number of replica groups in a block. A block is the unit of the requests from
/// entries to relays: one message covers all groups of a block.
constexpr std::size_t groups_per_block = 8;

/// @return The number of blocks into which a service's replica groups are divided; the
/// last one may hold fewer than `groups_per_block` groups.
std::size_t block_count(const service& value);

/// @return The number of shards in all replica groups of a service.
std::size_t shard_count(const service& value);

/// @return The number of shards of a replica group.
std::size_t shard_count(const replica_group& value);

/// @return The key by which rendezvous hashing assigns a block to relays, such as
/// "registry-search/0".
std::string block_key(const std::string& service_name, std::size_t block);

/// @return The index of the replica group that holds a shard, or nothing if none does.
std::optional<std::size_t> group_of_shard(const service& value, shard_index shard);

}  // namespace ibis::config
