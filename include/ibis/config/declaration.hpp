/// What operators declare: services, the upstreams that hold their shards, and
/// availability zones. All are plain aggregates, filled by the parse functions.
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

using shard_index = std::uint32_t;

/// An upstream process that holds the shards of its replica group.
struct leaf_declaration {
  std::string name;
  std::string address;             ///< "ip:port".
  std::uint32_t slots = 2;         ///< Requests that it runs at once.
  std::uint32_t connections = 25;  ///< Connections that it accepts in all.
  bool operator==(const leaf_declaration&) const = default;
};

/// A range of shards and the leafs that each hold all of them.
struct replica_group {
  shard_index first_shard = 0;
  shard_index last_shard = 0;  ///< Inclusive.
  std::vector<leaf_declaration> leafs;
  bool operator==(const replica_group&) const = default;
};

/// Which of coverage and latency gives way when a shard straggles.
enum class answer_mode {
  coverage_first,  ///< Waits for all shards until the caller's deadline.
  latency_first,   ///< May answer once `answer_by` passed and `min_coverage` is met.
};

/// How a replica is chosen for an attempt.
enum class replica_choice {
  least_wait,   ///< By requests in flight and decayed latency.
  round_robin,  ///< In turn; a baseline to compare with.
};

/// Limits and targets of one service.
struct service_policy {
  answer_mode mode = answer_mode::coverage_first;
  double min_coverage = 1.0;  ///< Share of shards, 0 to 1; for `latency_first`.
  base::milliseconds answer_by{60};
  base::milliseconds default_timeout{1000};
  base::milliseconds max_timeout{30000};
  config::replica_choice replica_choice = config::replica_choice::least_wait;
  double hedge_budget = 0.03;      ///< Hedges as a share of first attempts; 0 for none.
  double retry_budget = 0.1;       ///< Retries as a share of first attempts.
  std::uint32_t queue_limit = 64;  ///< Waiting leaf requests for each replica group.
  bool operator==(const service_policy&) const = default;
};

/// A service: a set of shards under one index, and how to ask them.
struct service {
  std::string name;
  std::string tenant;
  std::uint64_t partition_epoch = 1;  ///< Raised when shards move between groups.
  bool repeatable = true;             ///< Whether a request may run more than once.
  service_policy policy;
  std::vector<replica_group> groups;
  bool operator==(const service&) const = default;
};

/// An availability zone and the region it lies in.
struct availability_zone {
  std::string name;
  std::string region;
  bool operator==(const availability_zone&) const = default;
};

/// Everything an operator declares.
struct configuration {
  std::vector<availability_zone> zones;
  std::uint32_t holders_per_zone = 1;  ///< Relays of a zone that serve one block.
  std::map<std::string, std::shared_ptr<const service>> services;
  /// Upstreams (leaf names) and VMs that leave, with the hour in UTC milliseconds.
  std::map<std::string, base::milliseconds> leaving;
};

/// Replica groups that travel in one message between entry and relay.
constexpr std::size_t groups_per_block = 8;

/// @return The number of blocks that a service's replica groups make.
std::size_t block_count(const service& value);

/// @return The number of shards of a service.
std::size_t shard_count(const service& value);

/// @return The number of shards of a replica group.
std::size_t shard_count(const replica_group& value);

/// @return The key under which owners of a block are chosen: "service/block".
std::string block_key(const std::string& service_name, std::size_t block);

/// @return The group that holds a shard, or nothing if no group does.
std::optional<std::size_t> group_of_shard(const service& value, shard_index shard);

}  // namespace ibis::config
