#include "zone_fleet.hpp"

#include <algorithm>         // for count_if
#include <catch2/catch.hpp>  // for CHECK, INFO

#include "ibis/serving/view_age.hpp"  // for fit_propagation

namespace ibis::tests {

using standins::follower_fleet;

void add_zone_node(follower_fleet& fleet, const std::string& name) {
  serving::node_settings settings;
  serving::fit_propagation(settings, propagation_limit);
  settings.store.follow_evacuations = true;
  settings.node = name;
  settings.availability_zone = "zone";
  fleet.add_node(settings);
}

void populate_zone(follower_fleet& fleet, std::size_t nodes) {
  fleet.configure(1);
  for (std::size_t i = 0; i < nodes; ++i) {
    add_zone_node(fleet, "node-" + std::to_string(i));
  }
  fleet.run_for(std::chrono::seconds(1));
  fleet.announce_nodes();
  // With the first change, the nodes that are not watchers switch to their peers.
  fleet.configure(2);
  fleet.add_leaf("leaf-2");
  fleet.run_for(std::chrono::seconds(4));
}

std::size_t count_alive(const follower_fleet& fleet) {
  return static_cast<std::size_t>(
      std::count_if(fleet.nodes.begin(), fleet.nodes.end(),
                    [](const auto& entry) { return entry.second.alive; }));
}

void check_propagation(follower_fleet& fleet, std::uint64_t version) {
  const std::string name = std::to_string(version);
  fleet.configure(version);
  fleet.add_leaf("leaf-" + name);
  fleet.evacuate("zone-" + name);
  fleet.run_for(propagation_limit);
  INFO("version " << version);
  CHECK(fleet.count_nodes_at_version(version) == count_alive(fleet));
  CHECK(fleet.count_nodes_knowing_leaf("leaf-" + name) == count_alive(fleet));
  CHECK(fleet.count_nodes_evacuating("zone-" + name) == count_alive(fleet));
}

}  // namespace ibis::tests
