/// A small tier on virtual time, as most tests need it.
#pragma once

#include <memory>  // for unique_ptr
#include <string>  // for string

#include "virtual_tier.hpp"  // for virtual_tier

namespace ibis::tests {

using standins::virtual_leaf;
using standins::virtual_tier;

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
  bool settle = true;  ///< Runs until connections are open and versions are known.
};

/// The name of the only service.
inline const std::string service_name = "search";

/// @return The name of a leaf: "leaf-GROUP-REPLICA".
std::string leaf_name(std::size_t group, std::size_t replica);

/// @return "zone-Z-vm-N/entry".
std::string entry_name(std::size_t zone, std::size_t vm);
std::string relay_name(std::size_t zone, std::size_t vm);

/// The configuration of a shape.
config::configuration make_configuration(const tier_shape& shape);

/// A leaf with a fixed service time.
virtual_leaf make_leaf(const std::string& name, base::duration service_time);

/// Builds and starts a tier; its configuration comes over the platform.
std::unique_ptr<virtual_tier> make_tier(const tier_shape& shape);

/// Asks and waits for the answer.
/// @return The answer; a default one with no request id if none came in time.
policy::answer ask(virtual_tier& tier, const std::string& entry,
                   base::milliseconds timeout, const std::string& text = "q");

/// @return How many seeds a property test runs; IBIS_SEEDS replaces the usual number.
std::uint64_t seed_count(std::uint64_t usual);

/// @return Whether an answer is truthful: shards add up, hits are its own, one version.
bool is_truthful(const policy::answer& answer, const std::string& text);

}  // namespace ibis::tests
