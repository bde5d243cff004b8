#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <functional>        // for function

#include "small_tier.hpp"  // for make_tier

namespace ibis::tests {
namespace {

using policy::outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds no_new_work_after{2};

tier_shape two_zones() {
  tier_shape shape;
  shape.zones = 2;
  shape.vms_per_zone = 3;
  return shape;
}

/// Schedules a query every 5 ms for a time, to all entries in turn.
void add_load(virtual_tier& tier, base::duration time) {
  std::vector<std::string> entries;
  for (const auto& [name, node] : tier.nodes) {
    if (node.identity.role == policy::node_role::entry) {
      entries.push_back(name);
    }
  }
  std::size_t query_number = 0;
  for (base::duration at{0}; at < time; at += milliseconds(5)) {
    const std::string entry = entries[query_number % entries.size()];
    ++query_number;
    tier.after(at, [&tier, entry] {
      const auto& node = tier.nodes.at(entry);
      if (node.alive && !node.finished) {
        tier.query(entry, service_name, "q", milliseconds(400));
      }
    });
  }
}

struct leaving_source {
  std::string name;
  std::function<void(virtual_tier&, const std::string& leaf)> leave;
  base::duration detection_delay{0};  ///< Until the tier can detect it.
};

std::vector<leaving_source> leaving_sources() {
  return {
      {"its leave time in the configuration has passed",
       [](virtual_tier& tier, const std::string& leaf) {
         auto changed = make_configuration(two_zones());
         changed.leaving[leaf] = milliseconds(1);
         tier.apply(changed);
       }},
      {"it reports that it is draining",
       [](virtual_tier& tier, const std::string& leaf) {
         tier.leafs.at(leaf).draining = true;
       }},
  };
}

TEST_CASE("A leaving upstream gets no new work after the allowed delay") {
  for (const leaving_source& item : leaving_sources()) {
    SECTION(item.name) {
      const auto tier = make_tier(two_zones());
      const std::string leaf = leaf_name(0, 0);
      add_load(*tier, seconds(8));
      tier->run_for(seconds(1));
      REQUIRE(tier->leafs.at(leaf).started_requests > 0);
      item.leave(*tier, leaf);
      const auto left_at = tier->now();
      std::size_t late_requests = 0;
      tier->effect_observer = [&](const std::string& node,
                                  const policy::effect& effect) {
        const auto* sent = std::get_if<policy::send_leaf_request>(&effect);
        if (sent == nullptr || tier->now() <= left_at + no_new_work_after) {
          return;
        }
        const auto& pools = tier->nodes.at(node).state.blocks.pools;
        late_requests += pools.connections.at(sent->connection).leaf == leaf ? 1 : 0;
      };
      tier->run_for(seconds(7));
      CHECK(late_requests == 0);
      std::size_t incomplete = 0;
      for (const auto& reply : tier->answers) {
        incomplete += reply.answer.outcome == outcome::complete ? 0 : 1;
      }
      CHECK(incomplete == 0);
    }
  }
}

TEST_CASE("Work shifts away from an upstream at the lead time, not earlier") {
  const auto tier = make_tier(two_zones());
  const std::string leaf = leaf_name(0, 0);
  auto changed = make_configuration(two_zones());
  const auto unix_time = tier->nodes.at(entry_name(0, 0)).state.unix_time;
  changed.leaving[leaf] = unix_time + policy::leaving_lead_time + seconds(20);
  tier->apply(changed);
  add_load(*tier, seconds(40));
  tier->run_for(seconds(10));
  const auto before = tier->leafs.at(leaf).started_requests;
  CHECK(before > 50);
  tier->run_for(seconds(13));
  const auto at_lead_time = tier->leafs.at(leaf).started_requests;
  tier->run_for(seconds(10));
  CHECK(tier->leafs.at(leaf).started_requests == at_lead_time);
}

TEST_CASE("Stopping all VMs gracefully in turn aborts no request") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    auto shape = two_zones();
    shape.seed = seed;
    const auto tier = make_tier(shape);
    add_load(*tier, seconds(60));
    for (std::size_t zone = 0; zone < 2; ++zone) {
      for (std::size_t vm = 0; vm < 3; ++vm) {
        for (const auto& node : {relay_name(zone, vm), entry_name(zone, vm)}) {
          tier->post(node, policy::stop_requested{});
          tier->run_for(seconds(3));
          INFO(node);
          CHECK(tier->nodes.at(node).finished);
          CHECK(tier->nodes.at(node).aborted_requests == 0);
          tier->restart(node);
          tier->run_for(seconds(1));
        }
      }
    }
    tier->run_for(seconds(14));
    std::size_t incomplete = 0;
    for (const auto& reply : tier->answers) {
      incomplete += reply.answer.outcome == outcome::complete ? 0 : 1;
    }
    INFO("seed " << seed << " of " << tier->answers.size());
    CHECK(incomplete == 0);
    CHECK(tier->answers.size() > 5000);
  }
}

TEST_CASE(
    "A second stop request ends the process at once and counts aborted requests") {
  const auto tier = make_tier(two_zones());
  for (auto& [name, leaf] : tier->leafs) {
    leaf.unresponsive = true;
  }
  const auto entry = entry_name(0, 0);
  tier->query(entry, service_name, "q", milliseconds(5000));
  tier->run_for(milliseconds(100));
  tier->post(entry, policy::stop_requested{});
  tier->run_for(milliseconds(100));
  CHECK_FALSE(tier->nodes.at(entry).finished);
  tier->post(entry, policy::stop_requested{});
  tier->run_for(milliseconds(1));
  CHECK(tier->nodes.at(entry).finished);
  CHECK(tier->nodes.at(entry).aborted_requests == 1);
}

TEST_CASE("Connections to an upstream stay within its limit while relays restart") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    tier_shape shape;
    shape.zones = 3;
    shape.vms_per_zone = 3;
    shape.seed = seed;
    const auto tier = make_tier(shape);
    for (auto& [name, leaf] : tier->leafs) {
      leaf.connection_limit = 1000;  // Not enforced here; connections are counted.
    }
    add_load(*tier, seconds(30));
    for (int change = 0; change < 8; ++change) {
      const auto node = relay_name(tier->random() % 3, tier->random() % 3);
      tier->after(milliseconds(tier->random() % 20000), [&tier = *tier, node] {
        if (!tier.nodes.at(node).alive) {
          return;
        }
        tier.kill(node);
        tier.after(milliseconds(100 + tier.random() % 3000),
                   [&tier, node] { tier.restart(node); });
      });
    }
    tier->run_for(seconds(30));
    for (const auto& [name, leaf] : tier->leafs) {
      INFO("seed " << seed << ' ' << name);
      CHECK(leaf.peak_connections <= 25);
    }
  }
}

}  // namespace
}  // namespace ibis::tests
