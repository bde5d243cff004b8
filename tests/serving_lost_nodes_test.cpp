#include <array>             // for array
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <functional>        // for function
#include <random>            // for mt19937_64
#include <vector>            // for vector

#include "follower_fleet.hpp"  // for follower_fleet
#include "zone_fleet.hpp"      // for populate_zone, check_propagation

namespace ibis::tests {
namespace {

using standins::follower_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t node_count = 32;

/// @return The nodes that watch the leafs at the store.
std::vector<std::string> find_watchers(const follower_fleet& fleet) {
  std::vector<std::string> watchers;
  for (const auto& [name, node] : fleet.nodes) {
    if (node.state.topics[1].source.empty()) {
      watchers.push_back(name);
    }
  }
  return watchers;
}

/// Lets the watchers fail some time after a change of which their watches do not tell.
/// @param cut_from_store Whether the watchers cannot reach the store after the change.
void check_late_failure(
    bool cut_from_store,
    const std::function<void(follower_fleet&, const std::string&)>& fail,
    std::uint64_t seed) {
  constexpr int removed = 6;
  std::mt19937_64 random(seed);
  const milliseconds first_phase(random() % 1000);
  const milliseconds second_phase(random() % 1000);
  const milliseconds fails_after(random() % 2000);
  follower_fleet fleet;
  populate_zone(fleet, node_count);
  // The queries of the other nodes begin when this change has reached them.
  fleet.run_for(first_phase);
  for (int leaf = 0; leaf < removed; ++leaf) {
    fleet.add_leaf("leaving-" + std::to_string(leaf));
  }
  fleet.store_delay = serving::store_settings{}.call_time / 2;
  fleet.run_for(seconds(3) + second_phase);
  const std::vector<std::string> watchers = find_watchers(fleet);
  REQUIRE(watchers.size() == 2);
  fleet.drop_history_silently();
  for (int leaf = 0; leaf < removed; ++leaf) {
    fleet.remove_leaf("leaving-" + std::to_string(leaf));
  }
  for (const std::string& name : watchers) {
    fleet.nodes.at(name).partitioned_from_store = cut_from_store;
  }
  fleet.run_for(fails_after);
  for (const std::string& name : watchers) {
    fail(fleet, name);
  }
  fleet.run_for(propagation_limit - fails_after);
  for (int leaf = 0; leaf < removed; ++leaf) {
    const std::string name = "leaving-" + std::to_string(leaf);
    CHECK(fleet.count_nodes_knowing_leaf(name) <= watchers.size());
  }
}

}  // namespace

// Guards against nodes that ask the lost ones of their zone in a circle, since their
// records stay: they watched no store and applied no change any more.
TEST_CASE("The nodes that are left apply changes after most of their zone is lost") {
  for (const std::size_t left : std::array<std::size_t, 4>{1, 2, 8, 20}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      INFO(left << " nodes left, seed " << seed);
      follower_fleet fleet;
      populate_zone(fleet, node_count);
      std::mt19937_64 random(seed);
      while (count_alive(fleet) > left) {
        fleet.lose_power("node-" + std::to_string(random() % node_count));
      }
      fleet.run_for(milliseconds(random() % 7000));
      for (std::uint64_t version = 3; version < 7; ++version) {
        check_propagation(fleet, version);
        fleet.run_for(milliseconds(random() % 8000));
      }
    }
  }
}

// Guards against the same when nodes are lost and replaced one after the other: the
// records of the lost ones add up.
TEST_CASE("Nodes apply changes while others are lost and replaced one by one") {
  constexpr std::uint64_t rounds = 40;
  for (const bool hangs : {true, false}) {
    INFO("connections to lost nodes hang: " << hangs);
    follower_fleet fleet;
    populate_zone(fleet, node_count);
    for (std::uint64_t round = 0; round < rounds; ++round) {
      const std::string lost = "node-" + std::to_string(round);
      if (hangs) {
        fleet.lose_power(lost);
      } else {
        fleet.nodes.at(lost).alive = false;
      }
      add_zone_node(fleet, "node-" + std::to_string(node_count + round));
      fleet.run_for(seconds(1));
      fleet.announce_nodes();
      check_propagation(fleet, 3 + round);
    }
  }
}

// Guards against waits that are each bounded but add up: the store drops the watches of
// the nodes that the others follow, and these nodes fail later, after they have replied
// from data that was still within its limit. The store is slow, and so many records
// vanish that they are held.
TEST_CASE("A change is applied in time although a source goes silent after it") {
  const std::vector<std::function<void(follower_fleet&, const std::string&)>> failures{
      [](follower_fleet& fleet, const std::string& name) {
        fleet.nodes.at(name).paused = true;
      },
      [](follower_fleet& fleet, const std::string& name) { fleet.lose_power(name); },
      [](follower_fleet& fleet, const std::string& name) {
        fleet.is_partitioned = [name, before = fleet.is_partitioned](
                                   const std::string& from, const std::string& to) {
          return from == name || (before && before(from, to));
        };
      }};
  for (const bool cut_from_store : {false, true}) {
    for (std::size_t failure = 0; failure < failures.size(); ++failure) {
      for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        INFO("cut from the store: " << cut_from_store << ", failure " << failure
                                    << ", seed " << seed);
        check_late_failure(cut_from_store, failures[failure], seed);
      }
    }
  }
}

}  // namespace ibis::tests
