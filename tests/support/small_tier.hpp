/// Sets up the small simulated tier on virtual time that most tests use.
#pragma once

#include <memory>  // for unique_ptr
#include <string>  // for string

#include "virtual_tier.hpp"  // for virtual_tier

namespace ibis::tests {

using standins::virtual_leaf;
using standins::virtual_tier;

/// The size of a tier and the settings of its only service.
struct tier_shape {
  std::size_t zones = 1;
  std::size_t vms_per_zone = 2;
  std::size_t groups = 2;
  std::size_t replicas = 2;
  std::size_t shards_per_group = 2;
  std::uint64_t seed = 1;
  base::duration service_time = std::chrono::milliseconds(2);
  config::service_policy policy;
  bool repeatable = true;
  bool warm_up = true;  ///< Runs 3 s, so that connections are open and versions known.
};

/// The name of the tier's only service.
inline const std::string service_name = "search";

/// @return A leaf's name, "leaf-GROUP-REPLICA".
std::string leaf_name(std::size_t group, std::size_t replica);

/// @return The name of a VM's entry, "zone-Z-vm-N/entry".
std::string entry_name(std::size_t zone, std::size_t vm);
/// @return The name of a VM's relay, "zone-Z-vm-N/relay".
std::string relay_name(std::size_t zone, std::size_t vm);

/// Makes the configuration that a shape describes.
config::configuration make_configuration(const tier_shape& shape);

/// Makes a leaf with a fixed service time.
virtual_leaf make_leaf(const std::string& name, base::duration service_time);

/// Builds and starts a tier. Its nodes read their configuration from the platform.
std::unique_ptr<virtual_tier> make_tier(const tier_shape& shape);

/// Sends a query to an entry and runs the tier until the answer arrives.
/// @return The answer; a default one without a request id if none arrived in time.
policy::answer query_and_wait(virtual_tier& tier, const std::string& entry,
                              base::milliseconds timeout,
                              const std::string& text = "q");

/// @return How many seeds a property test runs: IBIS_SEEDS if set, else
/// `default_count`.
std::uint64_t seed_count(std::uint64_t default_count);

/// @return Whether an answer is consistent: the covered and missing shards add up to
/// the total, each covered shard has exactly one hit, and all hits belong to the
/// query's text and to the answer's index version.
bool is_consistent(const policy::answer& answer, const std::string& text);

}  // namespace ibis::tests
