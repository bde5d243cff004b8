#include "small_tier.hpp"

#include <cstdlib>  // for getenv, strtoull
#include <set>      // for set

namespace ibis::tests {

std::string leaf_name(std::size_t group, std::size_t replica) {
  return "leaf-" + std::to_string(group) + '-' + std::to_string(replica);
}

std::string entry_name(std::size_t zone, std::size_t vm) {
  return "zone-" + std::to_string(zone) + "-vm-" + std::to_string(vm) + "/entry";
}

std::string relay_name(std::size_t zone, std::size_t vm) {
  return "zone-" + std::to_string(zone) + "-vm-" + std::to_string(vm) + "/relay";
}

config::configuration make_configuration(const tier_shape& shape) {
  config::configuration value;
  for (std::size_t zone = 0; zone < shape.zones; ++zone) {
    value.zones.push_back({"zone-" + std::to_string(zone), "region"});
  }
  config::service service;
  service.name = service_name;
  service.tenant = "tenant";
  service.policy = shape.policy;
  service.repeatable = shape.repeatable;
  for (std::size_t group = 0; group < shape.groups; ++group) {
    config::replica_group declared;
    declared.first_shard =
        static_cast<config::shard_index>(group * shape.shards_per_group);
    declared.last_shard = static_cast<config::shard_index>(declared.first_shard +
                                                           shape.shards_per_group - 1);
    for (std::size_t replica = 0; replica < shape.replicas; ++replica) {
      const std::string name = leaf_name(group, replica);
      declared.leafs.push_back({name, name + ":1", 2, 25});
    }
    service.groups.push_back(std::move(declared));
  }
  value.services[service_name] =
      std::make_shared<const config::service>(std::move(service));
  return value;
}

virtual_leaf make_leaf(const std::string& name, base::duration service_time) {
  virtual_leaf leaf;
  leaf.name = name;
  leaf.service_time = [service_time](std::mt19937_64&) { return service_time; };
  return leaf;
}

std::unique_ptr<virtual_tier> make_tier(const tier_shape& shape) {
  auto tier = std::make_unique<virtual_tier>(shape.seed);
  for (std::size_t group = 0; group < shape.groups; ++group) {
    for (std::size_t replica = 0; replica < shape.replicas; ++replica) {
      tier->add_leaf(make_leaf(leaf_name(group, replica), shape.service_time));
    }
  }
  tier->apply(make_configuration(shape));
  for (std::size_t zone = 0; zone < shape.zones; ++zone) {
    for (std::size_t vm = 0; vm < shape.vms_per_zone; ++vm) {
      tier->add_vm("zone-" + std::to_string(zone) + "-vm-" + std::to_string(vm),
                   "zone-" + std::to_string(zone));
    }
  }
  if (shape.warm_up) {
    tier->run_for(std::chrono::seconds(3));
  }
  return tier;
}

policy::answer query_and_wait(virtual_tier& tier, const std::string& entry,
                              base::milliseconds timeout, const std::string& text) {
  const auto caller = tier.query(entry, service_name, text, timeout);
  const base::time_point until = tier.now() + timeout;
  while (tier.now() <= until) {
    if (const auto* received = tier.find_answer(caller)) {
      return received->answer;
    }
    tier.run_for(std::chrono::milliseconds(1));
  }
  return {};
}

std::uint64_t seed_count(std::uint64_t default_count) {
  const char* override_value = std::getenv("IBIS_SEEDS");
  return override_value == nullptr ? default_count
                                   : std::strtoull(override_value, nullptr, 10);
}

bool is_consistent(const policy::answer& answer, const std::string& text) {
  std::set<wire::shard_index> missing_shards;
  for (const wire::missing_shard& shard : answer.missing) {
    if (!missing_shards.insert(shard.shard).second) {
      return false;
    }
  }
  std::set<wire::shard_index> with_hits;
  for (const wire::hit& hit : answer.hits) {
    const bool matches =
        hit.id == standins::expected_hit(hit.shard, answer.index_version, text);
    const bool first_hit_of_shard = with_hits.insert(hit.shard).second;
    if (!matches || !first_hit_of_shard || missing_shards.count(hit.shard) != 0) {
      return false;
    }
  }
  const bool counts_match = answer.covered + answer.missing.size() == answer.total;
  const bool all_shards_have_hits = with_hits.size() == answer.covered;
  return counts_match && all_shards_have_hits;
}

}  // namespace ibis::tests
