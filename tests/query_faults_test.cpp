#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <functional>        // for function

#include "small_tier.hpp"  // for make_tier

namespace ibis::tests {
namespace {

using policy::outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct fault_case {
  std::string name;
  std::function<void(virtual_tier&)> before;  ///< Runs before the query.
  std::function<void(virtual_tier&)> during;  ///< Runs 1 ms into the query.
  outcome expected = outcome::complete;
  std::size_t covered = 4;
  base::milliseconds max_latency{500};
};

void for_all_leafs(virtual_tier& tier,
                   const std::function<void(virtual_leaf&)>& change) {
  for (auto& [name, leaf] : tier.leafs) {
    change(leaf);
  }
}

void silence_connections(virtual_leaf& leaf) {
  for (const auto& [connection, node] : leaf.connections) {
    leaf.silent_connections.insert(connection);
  }
}

std::vector<fault_case> cases() {
  const auto no_change = [](virtual_tier&) {};
  std::vector<fault_case> all;
  all.push_back(
      {"no fault", no_change, no_change, outcome::complete, 4, milliseconds(20)});
  all.push_back({"one leaf is slow",
                 [](virtual_tier& tier) {
                   tier.leafs.at(leaf_name(0, 0)).service_time = [](std::mt19937_64&) {
                     return base::duration(seconds(2));
                   };
                 },
                 no_change, outcome::complete, 4, milliseconds(60)});
  all.push_back({"one leaf dies before the query",
                 [](virtual_tier& tier) { tier.leafs.at(leaf_name(0, 0)).dead = true; },
                 no_change, outcome::complete, 4, milliseconds(60)});
  all.push_back({"one leaf dies during the query", no_change,
                 [](virtual_tier& tier) { tier.leafs.at(leaf_name(0, 0)).dead = true; },
                 outcome::complete, 4, milliseconds(60)});
  all.push_back({"both leafs of a group are dead",
                 [](virtual_tier& tier) {
                   tier.leafs.at(leaf_name(0, 0)).dead = true;
                   tier.leafs.at(leaf_name(0, 1)).dead = true;
                 },
                 no_change, outcome::partial, 2, milliseconds(500)});
  all.push_back(
      {"one leaf is draining",
       [](virtual_tier& tier) { tier.leafs.at(leaf_name(1, 0)).draining = true; },
       no_change, outcome::complete, 4, milliseconds(60)});
  all.push_back(
      {"the connections to one leaf stop responding",
       [](virtual_tier& tier) { silence_connections(tier.leafs.at(leaf_name(0, 0))); },
       no_change, outcome::complete, 4, milliseconds(60)});
  all.push_back({"all connections stop responding",
                 [](virtual_tier& tier) { for_all_leafs(tier, silence_connections); },
                 no_change, outcome::complete, 4, milliseconds(450)});
  all.push_back({"all leafs move to newer versions and drop the old ones",
                 [](virtual_tier& tier) {
                   for_all_leafs(tier, [](virtual_leaf& leaf) {
                     leaf.oldest_version = 7;
                     leaf.newest_version = 9;
                   });
                 },
                 no_change, outcome::complete, 4, milliseconds(60)});
  all.push_back({"one replica of each group holds only newer versions",
                 [](virtual_tier& tier) {
                   for (const std::size_t group : {0U, 1U}) {
                     tier.leafs.at(leaf_name(group, 0)).oldest_version = 7;
                     tier.leafs.at(leaf_name(group, 0)).newest_version = 9;
                   }
                 },
                 no_change, outcome::complete, 4, milliseconds(60)});
  all.push_back({"a shard moved off one replica",
                 [](virtual_tier& tier) { tier.leafs.at(leaf_name(0, 0)).moved = {1}; },
                 no_change, outcome::complete, 4, milliseconds(60)});
  all.push_back({"a shard moved off both replicas",
                 [](virtual_tier& tier) {
                   tier.leafs.at(leaf_name(0, 0)).moved = {1};
                   tier.leafs.at(leaf_name(0, 1)).moved = {1};
                 },
                 no_change, outcome::partial, 3, milliseconds(500)});
  all.push_back({"all leafs are draining",
                 [](virtual_tier& tier) {
                   for_all_leafs(tier,
                                 [](virtual_leaf& leaf) { leaf.draining = true; });
                 },
                 no_change, outcome::not_run, 0, milliseconds(500)});
  all.push_back({"no leaf answers",
                 [](virtual_tier& tier) {
                   for_all_leafs(tier,
                                 [](virtual_leaf& leaf) { leaf.unresponsive = true; });
                 },
                 no_change, outcome::unknown, 0, milliseconds(500)});
  all.push_back({"the holder of a block dies during the query", no_change,
                 [](virtual_tier& tier) {
                   const auto holder = policy::holder_candidates(
                       tier.nodes.at(entry_name(0, 0)).state.shared.nodes, "search/0");
                   tier.kill(holder.front());
                 },
                 outcome::partial, 0, milliseconds(500)});
  return all;
}

TEST_CASE("Each fault leads to the expected outcome") {
  for (const fault_case& item : cases()) {
    SECTION(item.name) {
      tier_shape shape;
      shape.zones = item.name.rfind("the holder", 0) == 0 ? 2 : 1;
      const auto tier = make_tier(shape);
      REQUIRE(query_and_wait(*tier, entry_name(0, 0), milliseconds(500)).outcome ==
              outcome::complete);
      item.before(*tier);
      tier->after(milliseconds(1), [&] { item.during(*tier); });
      const auto answer = query_and_wait(*tier, entry_name(0, 0), milliseconds(500));
      INFO(item.name << ": " << policy::to_string(answer.outcome) << ' '
                     << answer.covered << " in " << base::to_ms(answer.latency)
                     << " ms");
      CHECK(is_consistent(answer, "q"));
      CHECK(answer.latency <= item.max_latency);
      if (shape.zones == 2) {
        // The holder in the other availability zone takes over.
        CHECK(answer.outcome == outcome::complete);
        continue;
      }
      CHECK(answer.outcome == item.expected);
      CHECK(answer.covered == item.covered);
    }
  }
}

}  // namespace
}  // namespace ibis::tests
