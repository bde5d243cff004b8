#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <map>               // for map
#include <random>            // for mt19937_64

#include "follower_fleet.hpp"  // for follower_fleet
#include "zone_fleet.hpp"      // for populate_zone, check_propagation

namespace ibis::tests {
namespace {

using standins::follower_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t node_count = 10;

/// Writes changes that a restoration loses.
void write_lost_changes(follower_fleet& fleet, int count) {
  for (int i = 0; i < count; ++i) {
    fleet.add_leaf("lost-" + std::to_string(i));
  }
}

}  // namespace

// Guards against nodes that follow a peer from a revision of before a restoration: the
// peer took them for up to date until the store's revision had passed it.
TEST_CASE("All nodes apply changes after the store was restored from an older copy") {
  for (int lost = 0; lost < 60; lost += 12) {
    INFO(lost << " changes are lost");
    follower_fleet fleet;
    populate_zone(fleet, node_count);
    fleet.take_backup();
    write_lost_changes(fleet, lost);
    fleet.run_for(seconds(5));
    fleet.restore_backup();
    fleet.configure(2);
    fleet.run_for(seconds(7));
    check_propagation(fleet, 3);
    CHECK(fleet.count_nodes_knowing_leaf("lost-0") == 0);
  }
}

// Guards against the same where the watches of the store end without notice, so that
// only the revision checks can tell.
TEST_CASE("Nodes notice a restoration although their watches are silent") {
  follower_fleet fleet;
  populate_zone(fleet, node_count);
  fleet.take_backup();
  write_lost_changes(fleet, 20);
  fleet.run_for(seconds(5));
  fleet.restore_backup_silently();
  fleet.run_for(seconds(1));
  check_propagation(fleet, 3);
}

TEST_CASE("A node with a restored configuration keeps the later one that it has") {
  follower_fleet fleet;
  populate_zone(fleet, node_count);
  fleet.take_backup();
  fleet.configure(9);
  fleet.run_for(seconds(5));
  REQUIRE(fleet.count_nodes_at_version(9) == node_count);
  fleet.restore_backup();
  fleet.run_for(seconds(3));
  CHECK(fleet.count_nodes_at_version(9) == node_count);
  fleet.configure(9);
  fleet.run_for(seconds(3));
  check_propagation(fleet, 10);
}

// Guards against leafs that get no requests although they serve: the copy lacks their
// records until they write them again.
TEST_CASE("Leafs that a restoration forgets are kept until they can register again") {
  follower_fleet fleet;
  populate_zone(fleet, node_count);
  fleet.take_backup();
  fleet.add_leaf("young");
  fleet.run_for(seconds(5));
  fleet.restore_backup();
  for (int i = 0; i < 15; ++i) {
    fleet.run_for(milliseconds(100));
    CHECK(fleet.count_nodes_knowing_leaf("young") == node_count);
  }
  fleet.run_for(seconds(5));
  CHECK(fleet.count_nodes_knowing_leaf("young") == 0);
}

// Guards against nodes of a new release that follow one of an earlier release, which
// cannot tell that the store was restored, and the reverse.
TEST_CASE("Nodes of two releases apply changes after a restoration") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    follower_fleet fleet;
    populate_zone(fleet, node_count);
    std::mt19937_64 random(seed);
    for (auto& [name, node] : fleet.nodes) {
      node.states_no_era = random() % 2 == 0;
    }
    fleet.run_for(seconds(3));
    fleet.take_backup();
    write_lost_changes(fleet, 30);
    fleet.run_for(seconds(5));
    fleet.restore_backup();
    fleet.run_for(seconds(7));
    check_propagation(fleet, 3);
  }
}

TEST_CASE("No configuration goes back and none is missed while eras change") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    follower_fleet fleet;
    populate_zone(fleet, node_count);
    std::mt19937_64 random(seed);
    std::uint64_t version = 2;
    std::map<std::string, std::uint64_t> in_force;
    fleet.take_backup();
    for (int round = 0; round < 12; ++round) {
      for (auto& [name, node] : fleet.nodes) {
        node.paused = random() % 10 == 0;
        node.partitioned_from_store = random() % 10 == 0;
        node.rejected_by_store = random() % 10 == 0;
      }
      switch (random() % 4) {
        case 0:
          fleet.take_backup();
          break;
        case 1:
          fleet.restore_backup();
          fleet.configure(version);
          break;
        case 2:
          write_lost_changes(fleet, static_cast<int>(random() % 20));
          break;
        default:
          fleet.announce_nodes();
      }
      fleet.configure(++version);
      fleet.run_for(milliseconds(random() % 3000));
      for (auto& [name, node] : fleet.nodes) {
        node.paused = false;
        node.partitioned_from_store = false;
        node.rejected_by_store = false;
        const std::uint64_t now = node.state.configuration->version;
        CHECK(now >= in_force[name]);
        in_force[name] = now;
      }
      fleet.run_for(seconds(5));
      CHECK(fleet.count_nodes_at_version(version) == node_count);
    }
  }
}

}  // namespace ibis::tests
