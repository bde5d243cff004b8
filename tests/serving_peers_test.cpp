#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <random>            // for mt19937_64

#include "follower_fleet.hpp"         // for follower_fleet
#include "ibis/serving/view_age.hpp"  // for fit_propagation, longest_propagation

namespace ibis::tests {
namespace {

using standins::follower_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t zone_count = 3;
constexpr std::size_t nodes_per_zone = 10;
constexpr std::size_t node_count = zone_count * nodes_per_zone;
/// How soon a change must be in force at all nodes; the smallest site requires this.
constexpr seconds propagation_limit{3};

std::string node_name(std::size_t zone, std::size_t index) {
  return "zone-" + std::to_string(zone) + "-node-" + std::to_string(index);
}

/// Starts thirty nodes in three availability zones that know each other and have a
/// configuration.
void populate(follower_fleet& fleet) {
  fleet.configure(1);
  fleet.add_leaf("leaf-0");
  for (std::size_t zone = 0; zone < zone_count; ++zone) {
    for (std::size_t index = 0; index < nodes_per_zone; ++index) {
      fleet.add_node(node_name(zone, index), "zone-" + std::to_string(zone));
    }
  }
  fleet.run_for(seconds(1));
  fleet.announce_nodes();
  // With the first change, the nodes that are not watchers switch to their peers.
  fleet.configure(2);
  fleet.add_leaf("leaf-1");
  fleet.run_for(seconds(4));
}

/// @return The names of an availability zone's nodes that query the store themselves.
std::vector<std::string> watchers(const follower_fleet& fleet,
                                  const std::string& zone) {
  std::vector<std::string> found;
  for (const auto& [name, node] : fleet.nodes) {
    const bool watches = node.state.topics[0].source.empty();
    if (node.alive && node.availability_zone == zone && watches) {
      found.push_back(name);
    }
  }
  return found;
}

/// @return The names of all nodes that query the store themselves.
std::vector<std::string> all_watchers(const follower_fleet& fleet) {
  std::vector<std::string> found;
  for (std::size_t zone = 0; zone < zone_count; ++zone) {
    const auto of_zone = watchers(fleet, "zone-" + std::to_string(zone));
    found.insert(found.end(), of_zone.begin(), of_zone.end());
  }
  return found;
}

TEST_CASE("Two nodes of each zone watch the store, and all nodes get each change") {
  follower_fleet fleet;
  populate(fleet);
  for (std::size_t zone = 0; zone < zone_count; ++zone) {
    CHECK(watchers(fleet, "zone-" + std::to_string(zone)).size() == 2);
  }
  const std::uint64_t before = fleet.count_watches();
  std::uint64_t before_of_watchers = 0;
  for (const std::string& name : all_watchers(fleet)) {
    before_of_watchers += fleet.nodes.at(name).watch_count;
  }
  fleet.configure(3);
  fleet.add_leaf("leaf-2");
  fleet.run_for(milliseconds(100));
  CHECK(fleet.count_nodes_at_version(3) == node_count);
  CHECK(fleet.count_nodes_knowing_leaf("leaf-2") == node_count);
  fleet.run_for(seconds(2));
  // Each watcher watches each topic once. The revision of one topic then lags behind
  // the store's, which takes a check and another watch. No other node calls the store.
  CHECK(fleet.count_watches() - before == 2 * 2 * zone_count + 2 * 2 * zone_count);
  std::uint64_t after_of_watchers = 0;
  for (const std::string& name : all_watchers(fleet)) {
    after_of_watchers += fleet.nodes.at(name).watch_count;
  }
  CHECK(after_of_watchers - before_of_watchers == fleet.count_watches() - before);
}

TEST_CASE("Changes reach all other nodes in time when a zone's watchers fail") {
  const auto kill = [](follower_fleet::fleet_node& node) { node.alive = false; };
  const auto freeze = [](follower_fleet::fleet_node& node) { node.paused = true; };
  const auto cut = [](follower_fleet::fleet_node& node) {
    node.partitioned_from_store = true;
  };
  const auto refuse = [](follower_fleet::fleet_node& node) {
    node.rejected_by_store = true;
  };
  const std::vector<
      std::pair<std::string, std::function<void(follower_fleet::fleet_node&)>>>
      failures{{"killed", kill},
               {"frozen", freeze},
               {"cut from the store", cut},
               {"refused by the store", refuse}};
  for (const auto& [failure, inject] : failures) {
    follower_fleet fleet;
    populate(fleet);
    const auto failed_watchers = watchers(fleet, "zone-1");
    for (const std::string& name : failed_watchers) {
      inject(fleet.nodes.at(name));
    }
    fleet.configure(3);
    fleet.remove_leaf("leaf-1");
    fleet.run_for(propagation_limit);
    INFO(failure);
    CHECK(fleet.count_nodes_at_version(3) >= node_count - failed_watchers.size());
    CHECK(fleet.count_nodes_knowing_leaf("leaf-1") <= failed_watchers.size());
  }
}

TEST_CASE("A node that the store refuses for long gets updates from its peers") {
  follower_fleet fleet;
  populate(fleet);
  const std::string name = watchers(fleet, "zone-0").front();
  follower_fleet::fleet_node& refused = fleet.nodes.at(name);
  refused.rejected_by_store = true;
  fleet.configure(3);
  fleet.run_for(refused.state.settings.peers.peer_fallback_after + propagation_limit);
  CHECK(fleet.count_nodes_at_version(3) == node_count);
  fleet.configure(4);
  fleet.run_for(milliseconds(1500));
  CHECK(fleet.count_nodes_at_version(4) == node_count);
  CHECK_FALSE(refused.state.topics[0].source.empty());
  refused.rejected_by_store = false;
  fleet.run_for(seconds(5));
  CHECK(refused.state.topics[0].source.empty());
}

TEST_CASE("Nodes that all lost the store do not rely on each other for updates") {
  follower_fleet fleet;
  populate(fleet);
  for (auto& [name, node] : fleet.nodes) {
    node.partitioned_from_store = true;
  }
  fleet.run_for(seconds(8));
  fleet.configure(3);
  for (auto& [name, node] : fleet.nodes) {
    node.partitioned_from_store = false;
  }
  fleet.run_for(propagation_limit);
  CHECK(fleet.count_nodes_at_version(3) == node_count);
}

TEST_CASE("All nodes get a change that was made while the store dropped its history") {
  follower_fleet fleet;
  populate(fleet);
  fleet.drop_history();
  fleet.configure(3);
  fleet.run_for(propagation_limit);
  CHECK(fleet.count_nodes_at_version(3) == node_count);
}

// Guards against requests to leafs that have left: an open watch is no proof that the
// store has no changes, since it may report none at all, with or without the history.
TEST_CASE(
    "All nodes learn in time that a leaf left although their watches are silent") {
  for (const bool history_dropped : {false, true}) {
    INFO("history dropped: " << history_dropped);
    follower_fleet fleet;
    populate(fleet);
    if (history_dropped) {
      fleet.drop_history_silently();
    } else {
      fleet.silence_watches();
    }
    fleet.remove_leaf("leaf-1");
    fleet.configure(3);
    fleet.run_for(propagation_limit);
    CHECK(fleet.count_nodes_knowing_leaf("leaf-1") == 0);
    CHECK(fleet.count_nodes_at_version(3) == node_count);
  }
}

// Guards against waits that are each short but together exceed the time in which a node
// must stop sending to a leaf that left: the watchers of one zone fail in one way,
// those of all others have silent watches, and so many records vanish that they are
// held.
TEST_CASE("The longest path of a change to a node keeps the propagation limit") {
  const std::vector<std::function<void(follower_fleet::fleet_node&)>> failures{
      [](follower_fleet::fleet_node& node) { node.paused = true; },
      [](follower_fleet::fleet_node& node) { node.partitioned_from_store = true; },
      [](follower_fleet::fleet_node& node) { node.rejected_by_store = true; }};
  constexpr milliseconds phase_step{150};
  constexpr int phases = 12;
  constexpr int removed = 6;
  for (std::size_t failure = 0; failure < failures.size(); ++failure) {
    for (int phase = 0; phase < phases; ++phase) {
      follower_fleet fleet;
      populate(fleet);
      for (int leaf = 0; leaf < removed; ++leaf) {
        fleet.add_leaf("leaving-" + std::to_string(leaf));
      }
      fleet.run_for(seconds(3) + phase * phase_step);
      const auto failed = watchers(fleet, "zone-1");
      for (const std::string& name : failed) {
        failures[failure](fleet.nodes.at(name));
      }
      fleet.drop_history_silently();
      for (int leaf = 0; leaf < removed; ++leaf) {
        fleet.remove_leaf("leaving-" + std::to_string(leaf));
      }
      fleet.run_for(propagation_limit);
      INFO("failure " << failure << ", phase " << phase);
      for (int leaf = 0; leaf < removed; ++leaf) {
        const std::string name = "leaving-" + std::to_string(leaf);
        CHECK(fleet.count_nodes_knowing_leaf(name) <= failed.size());
      }
    }
  }
}

TEST_CASE("A propagation limit determines how often watches are checked") {
  serving::node_settings settings;
  const milliseconds shortest = serving::shortest_propagation_limit(settings);
  CHECK(shortest <= propagation_limit);
  for (milliseconds limit = shortest; limit < seconds(20); limit += milliseconds(100)) {
    serving::fit_propagation(settings, limit);
    CHECK(serving::longest_propagation(settings) <= limit);
  }
}

TEST_CASE("Every node gets every change in time under random faults") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    follower_fleet fleet;
    populate(fleet);
    std::mt19937_64 random(seed);
    for (std::uint64_t version = 3; version < 12; ++version) {
      for (auto& [name, node] : fleet.nodes) {
        node.paused = random() % 10 == 0;
        node.rejected_by_store = random() % 10 == 0;
        node.partitioned_from_store = random() % 10 == 0;
      }
      if (random() % 3 == 0) {
        fleet.drop_history();
      }
      fleet.configure(version);
      fleet.run_for(milliseconds(random() % 3000));
      for (auto& [name, node] : fleet.nodes) {
        node.paused = false;
        node.rejected_by_store = false;
        node.partitioned_from_store = false;
      }
      const std::string leaf = "leaf-" + std::to_string(version);
      fleet.add_leaf(leaf);
      fleet.run_for(seconds(5));
      INFO("seed " << seed << ", version " << version);
      CHECK(fleet.count_nodes_at_version(version) == node_count);
      CHECK(fleet.count_nodes_knowing_leaf(leaf) == node_count);
      if (random() % 2 == 0) {
        fleet.announce_nodes();
      }
    }
  }
}

}  // namespace
}  // namespace ibis::tests
