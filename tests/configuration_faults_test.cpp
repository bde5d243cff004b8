#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <functional>        // for function

#include "ibis/config/manifest.hpp"  // for manifest_key
#include "small_tier.hpp"            // for make_tier

namespace ibis::tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds max_activation_time{6};

tier_shape three_zones(std::uint64_t seed = 1) {
  tier_shape shape;
  shape.zones = 3;
  shape.vms_per_zone = 2;
  shape.seed = seed;
  return shape;
}

std::uint64_t generation_at(const virtual_tier& tier, const std::string& node) {
  return tier.nodes.at(node).state.shared.nodes.generation;
}

bool all_at_generation(const virtual_tier& tier, std::uint64_t generation) {
  for (const auto& [name, node] : tier.nodes) {
    if (node.alive && !node.paused && generation_at(tier, name) != generation) {
      return false;
    }
  }
  return true;
}

/// Runs the tier until a condition holds.
/// @return How long it took, or 24 hours if the condition did not hold within `limit`.
base::duration time_until(virtual_tier& tier, base::duration limit,
                          const std::function<bool()>& condition) {
  const base::time_point start = tier.now();
  while (tier.now() < start + limit) {
    if (condition()) {
      return tier.now() - start;
    }
    tier.run_for(milliseconds(5));
  }
  return std::chrono::hours(24);
}

struct fault_case {
  std::string name;
  std::function<void(virtual_tier&)> inject_fault;
};

std::vector<fault_case> fault_cases() {
  return {
      {"no fault", [](virtual_tier&) {}},
      {"watches report nothing",
       [](virtual_tier& tier) { tier.platform.watches_miss_updates = true; }},
      {"the platform is slow",
       [](virtual_tier& tier) { tier.platform.delay = milliseconds(800); }},
      {"the first reads are stale",
       [](virtual_tier& tier) { tier.platform.stale_reads = 6; }},
      {"5% of the messages are lost",
       [](virtual_tier& tier) { tier.links.loss = 0.05; }},
      {"a watcher of each availability zone is paused",
       [](virtual_tier& tier) {
         for (std::size_t zone = 0; zone < 3; ++zone) {
           const auto& node = tier.nodes.at(entry_name(zone, 0)).state;
           tier.pause(policy::zone_watchers(node.configuration, node.members,
                                            node.members.self.zone)
                          .front());
         }
       }},
  };
}

TEST_CASE("An applied configuration becomes active on all nodes in time") {
  for (const fault_case& item : fault_cases()) {
    SECTION(item.name) {
      const auto tier = make_tier(three_zones());
      REQUIRE(all_at_generation(*tier, 1));
      item.inject_fault(*tier);
      const auto shape = three_zones();
      auto changed = make_configuration(shape);
      changed.leaving["leaf-0-0"] = milliseconds(1);
      const std::uint64_t generation = tier->apply(changed);
      const auto took = time_until(
          *tier, seconds(60), [&] { return all_at_generation(*tier, generation); });
      INFO(item.name << " took " << base::to_ms(took) << " ms");
      CHECK(took <= max_activation_time);
    }
  }
}

TEST_CASE("A new VM gets the configuration from peers while the platform is down") {
  const auto tier = make_tier(three_zones());
  tier->platform.down = true;
  tier->add_vm("zone-0-vm-9", "zone-0");
  tier->run_for(seconds(5));
  CHECK(generation_at(*tier, "zone-0-vm-9/entry") == 1);
  CHECK(policy::check_readiness(tier->nodes.at("zone-0-vm-9/entry").state).ready);
}

TEST_CASE("A VM without peers and platform does not become ready and reports why") {
  virtual_tier tier(1);
  tier.platform.down = true;
  tier.add_vm("a", "zone-0");
  tier.run_for(seconds(10));
  const auto readiness = policy::check_readiness(tier.nodes.at("a/entry").state);
  CHECK_FALSE(readiness.ready);
  CHECK(readiness.reason.find("platform does not answer") != std::string::npos);
}

TEST_CASE("VMs restarted in turn while the platform is down regain the configuration") {
  const auto tier = make_tier(three_zones());
  tier->platform.down = true;
  for (std::size_t zone = 0; zone < 3; ++zone) {
    for (std::size_t vm = 0; vm < 2; ++vm) {
      for (const auto& node : {entry_name(zone, vm), relay_name(zone, vm)}) {
        tier->kill(node);
        tier->run_for(milliseconds(500));
        tier->restart(node);
      }
      tier->run_for(seconds(4));
    }
  }
  tier->run_for(seconds(5));
  CHECK(all_at_generation(*tier, 1));
}

TEST_CASE("Stale reads and a restored store never bring back an older generation") {
  const auto tier = make_tier(three_zones());
  const auto old_manifest = tier->store.get(config::manifest_key)->value;
  auto changed = make_configuration(three_zones());
  changed.holders_per_zone = 2;
  tier->apply(changed);
  tier->run_for(seconds(6));
  REQUIRE(all_at_generation(*tier, 2));
  SECTION("stale reads") {
    tier->platform.stale_reads = 1000;
  }
  SECTION("a restored store") {
    standins::stored_object ignored;
    tier->store.put(config::manifest_key, old_manifest, {}, ignored);
  }
  SECTION("a restored store and restarted VMs") {
    standins::stored_object ignored;
    tier->store.put(config::manifest_key, old_manifest, {}, ignored);
    tier->kill(entry_name(0, 0));
    tier->run_for(seconds(3));
    tier->restart(entry_name(0, 0));
  }
  tier->run_for(seconds(20));
  CHECK(all_at_generation(*tier, 2));
}

TEST_CASE(
    "A partitioned availability zone gets the configuration and rejoins once healed") {
  const auto tier = make_tier(three_zones());
  bool partitioned = true;
  tier->links.is_partitioned = [&](const std::string& from, const std::string& to) {
    const bool from_zone_2 = from.rfind("zone-2", 0) == 0;
    const bool to_zone_2 = to.rfind("zone-2", 0) == 0;
    return partitioned && from_zone_2 != to_zone_2;
  };
  tier->run_for(seconds(10));
  const auto generation = tier->apply(make_configuration(three_zones()));
  // The partitioned zone's own watchers still reach the platform.
  CHECK(time_until(*tier, seconds(60), [&] {
          return all_at_generation(*tier, generation);
        }) <= max_activation_time);
  partitioned = false;
  tier->run_for(seconds(30));
  for (const auto& [name, node] : tier->nodes) {
    for (const auto& [other, member] : node.state.members.members) {
      INFO(name << " sees " << other);
      CHECK(member.record.status == wire::member_status::alive);
    }
  }
}

TEST_CASE("Under random faults, generations never decrease and all nodes converge") {
  for (std::uint64_t seed = 1; seed <= seed_count(25); ++seed) {
    const auto tier = make_tier(three_zones(seed));
    tier->links.loss = 0.1;
    tier->links.duplicate = 0.1;
    tier->links.max_delay = milliseconds(30);
    std::map<std::string, std::uint64_t> highest;
    bool decreased = false;
    tier->effect_observer = [&](const std::string& node, const policy::effect& effect) {
      const auto* applied = std::get_if<policy::configuration_applied>(&effect);
      if (applied == nullptr) {
        return;
      }
      decreased = decreased || applied->generation <= highest[node];
      highest[node] = applied->generation;
    };
    std::uint64_t generation = 0;
    for (int change = 0; change < 8; ++change) {
      auto next = make_configuration(three_zones(seed));
      next.leaving["x"] = milliseconds(1000 * (change + 1));
      tier->after(milliseconds(tier->random() % 5000),
                  [&, next] { generation = tier->apply(next); });
      tier->after(milliseconds(tier->random() % 5000),
                  [&] { tier->platform.stale_reads += 2; });
      tier->after(milliseconds(tier->random() % 5000),
                  [&] { tier->platform.down = !tier->platform.down; });
    }
    tier->run_for(seconds(5));
    tier->platform.down = false;
    tier->platform.stale_reads = 0;
    tier->run_for(seconds(8));
    INFO("seed " << seed);
    REQUIRE_FALSE(decreased);
    REQUIRE(all_at_generation(*tier, generation));
  }
}

}  // namespace
}  // namespace ibis::tests
