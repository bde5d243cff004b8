#include <algorithm>         // for count_if
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <map>               // for map
#include <set>               // for set

#include "holder_fleet.hpp"        // for holder_fleet
#include "ibis/serving/merge.hpp"  // for merge_records

namespace ibis::tests {
namespace {

using standins::holder_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t zone_count = 3;
constexpr std::size_t nodes_per_zone = 20;
constexpr std::size_t shard_count = 24;
constexpr std::size_t top = 5;  ///< Of the catalog made by `make_catalog`.
constexpr milliseconds objective{100};

std::string zone_name(std::size_t zone) {
  return "zone-" + std::to_string(zone);
}

std::string node_name(std::size_t zone, std::size_t index) {
  return zone_name(zone) + "-node-" + std::to_string(index);
}

std::vector<std::string> shard_names() {
  std::vector<std::string> names;
  for (std::size_t shard = 0; shard < shard_count; ++shard) {
    names.push_back("s" + std::to_string(shard));
  }
  return names;
}

/// Settings with the budget of extra requests that is usual for tens of nodes.
serving::node_settings large_fleet_settings() {
  serving::node_settings settings;
  settings.budget.slack = 200;
  return settings;
}

/// Sixty nodes in three availability zones; 24 shards with a leaf in each of the first
/// two. A node's share of a shard's connections is one.
void populate(holder_fleet& fleet) {
  for (std::size_t zone = 0; zone < zone_count; ++zone) {
    for (std::size_t index = 0; index < nodes_per_zone; ++index) {
      fleet.add_node(node_name(zone, index), zone_name(zone), large_fleet_settings());
    }
  }
  for (const std::string& shard : shard_names()) {
    fleet.add_leaf(shard + "-a", shard, zone_name(0));
    fleet.add_leaf(shard + "-b", shard, zone_name(1));
  }
  fleet.add_leaf("one-a", "one", zone_name(0));
  fleet.configure(standins::make_catalog(1, shard_names(), "one"));
  fleet.start();
}

/// Whether an answer is the merge of the parts that it names, one of each shard.
bool is_consistent(const standins::client_answer& found) {
  std::vector<std::string> bodies;
  std::set<std::string> shards;
  for (const std::string& signature : found.answer.signatures) {
    bodies.push_back(standins::make_records(signature));
    shards.insert(signature.substr(0, signature.find('-')));
  }
  const std::vector<std::string_view> views(bodies.begin(), bodies.end());
  return shards.size() == bodies.size() && found.answer.missing_shards &&
         shards.size() + *found.answer.missing_shards == shard_count &&
         found.answer.body == serving::merge_records(views, top);
}

bool is_complete(const standins::client_answer* found) {
  return found != nullptr && found->answer.missing_shards == std::size_t{0} &&
         is_consistent(*found);
}

std::size_t count_arrivals(const holder_fleet& fleet, const std::string& request) {
  return static_cast<std::size_t>(
      std::count_if(fleet.arrivals.begin(), fleet.arrivals.end(),
                    [&](const auto& arrival) { return arrival.request == request; }));
}

TEST_CASE("Few nodes hold the connections to a shard, and all others ask them") {
  holder_fleet fleet(1, 40);
  populate(fleet);
  std::size_t sent = 0;
  std::vector<base::caller_id> callers;
  for (const auto& [name, node] : fleet.nodes) {
    callers.push_back(fleet.send_request(name, "r" + std::to_string(++sent), "/q/"));
    fleet.run_for(milliseconds(20));
  }
  fleet.run_for(seconds(1));
  for (const base::caller_id caller : callers) {
    CHECK(is_complete(fleet.find_answer(caller)));
  }
  for (const auto& [id, leaf] : fleet.leafs) {
    INFO(id);
    CHECK(leaf.resets == 0);
    CHECK(leaf.most_connections <= leaf.connection_limit / 2);
  }
  // Each query needs a request and a reply for a block, rather than for a shard.
  CHECK(fleet.peer_messages <= callers.size() * 2 * 3);
  CHECK(fleet.arrivals.size() <= callers.size() * shard_count * 11 / 10);
}

TEST_CASE("All nodes of a zone ask the same holder, which is in a zone of the leafs") {
  holder_fleet fleet(2, 40);
  populate(fleet);
  for (std::size_t zone = 0; zone < zone_count; ++zone) {
    std::set<std::string> holders;
    for (std::size_t index = 0; index < nodes_per_zone; ++index) {
      holders.insert(fleet.first_holder(node_name(zone, index), "s0"));
    }
    REQUIRE(holders.size() == 1);
    const std::string& holder = *holders.begin();
    const std::string& holder_zone =
        fleet.nodes.at(holder).state.settings.availability_zone;
    CHECK(holder_zone != zone_name(2));
    CHECK((zone == 2 || holder_zone == zone_name(zone)));
  }
}

TEST_CASE("A few nodes with enough connections of their own ask no holder") {
  holder_fleet fleet(3, 40);
  for (std::size_t index = 0; index < 4; ++index) {
    fleet.add_node(node_name(0, index), zone_name(0));
  }
  for (const std::string& shard : shard_names()) {
    fleet.add_leaf(shard + "-a", shard, zone_name(0));
    fleet.add_leaf(shard + "-b", shard, zone_name(0));
  }
  fleet.add_leaf("one-a", "one", zone_name(0));
  fleet.configure(standins::make_catalog(1, shard_names(), "one"));
  fleet.start();
  const auto caller = fleet.send_request(node_name(0, 1), "r1", "/q/");
  fleet.run_for(seconds(1));
  CHECK(is_complete(fleet.find_answer(caller)));
  CHECK(fleet.peer_messages == 0);
}

TEST_CASE("A request that must not run twice is asked of no other node") {
  holder_fleet fleet(10, 40);
  populate(fleet);
  const auto caller = fleet.send_request(node_name(2, 0), "w1", "/write/");
  fleet.run_for(seconds(1));
  REQUIRE(fleet.find_answer(caller) != nullptr);
  CHECK(fleet.peer_messages == 0);
  CHECK(count_arrivals(fleet, "w1") == 1);
}

/// A fault of the holder that a node asks first.
struct holder_fault {
  std::string name;
  std::function<void(holder_fleet&, const std::string&)> inject;
};

std::vector<holder_fault> holder_faults() {
  return {{"killed",
           [](holder_fleet& fleet, const std::string& holder) { fleet.kill(holder); }},
          {"silent",
           [](holder_fleet& fleet, const std::string& holder) {
             fleet.nodes.at(holder).silent = true;
           }},
          {"stopping",
           [](holder_fleet& fleet, const std::string& holder) { fleet.stop(holder); }}};
}

TEST_CASE("Another holder answers within the objective if the first one fails") {
  const std::string asking = node_name(2, 0);
  for (const holder_fault& fault : holder_faults()) {
    for (const bool while_waiting : {false, true}) {
      holder_fleet fleet(4, 40);
      populate(fleet);
      const std::string holder = fleet.first_holder(asking, "s0");
      if (!while_waiting) {
        fault.inject(fleet, holder);
      }
      const base::time_point sent_at = fleet.now();
      const auto caller = fleet.send_request(asking, "r1", "/q/");
      fleet.run_for(milliseconds(2));
      if (while_waiting) {
        fault.inject(fleet, holder);
      }
      fleet.run_for(seconds(1));
      INFO(fault.name << (while_waiting ? " while it is asked" : ""));
      const auto* found = fleet.find_answer(caller);
      REQUIRE(found != nullptr);
      CHECK(is_complete(found));
      CHECK(found->at - sent_at < objective);
    }
  }
}

TEST_CASE("A repeated request reaches no more leafs of a shard than its route allows") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    holder_fleet fleet(seed, 40);
    // A third leaf for each shard, of which the route allows two.
    for (const std::string& shard : shard_names()) {
      fleet.add_leaf(shard + "-c", shard, zone_name(0));
    }
    populate(fleet);
    const std::string asking = node_name(2, 0);
    fleet.nodes.at(fleet.first_holder(asking, "s0")).silent = true;
    // Slow enough that the first holder hedges before the second one is asked.
    for (auto& [id, leaf] : fleet.leafs) {
      leaf.paused_until = fleet.now() + milliseconds(60);
    }
    fleet.send_request(asking, "r1", "/q/");
    fleet.run_for(seconds(1));
    std::map<std::string, std::set<std::string>> reached;
    for (const auto& arrival : fleet.arrivals) {
      reached[arrival.service].insert(arrival.leaf);
    }
    for (const auto& [service, leafs] : reached) {
      INFO(seed << ' ' << service);
      CHECK(leafs.size() <= 2);
    }
  }
}

TEST_CASE("A holder that was stalled does not start requests that are outdated") {
  holder_fleet fleet(8, 40);
  populate(fleet);
  const std::string asking = node_name(2, 0);
  const std::string holder = fleet.first_holder(asking, "s0");
  fleet.nodes.at(holder).stalled_until = fleet.now() + milliseconds(300);
  const auto caller = fleet.send_request(asking, "r1", "/q/");
  fleet.run_for(milliseconds(250));
  CHECK(is_complete(fleet.find_answer(caller)));
  const std::size_t before = count_arrivals(fleet, "r1");
  fleet.run_for(seconds(1));
  CHECK(count_arrivals(fleet, "r1") == before);
}

TEST_CASE(
    "A node that was stalled reads waiting answers before it takes leafs for late") {
  holder_fleet fleet(9, 40);
  populate(fleet);
  const std::string asking = node_name(2, 0);
  const std::string holder = fleet.first_holder(asking, "s0");
  fleet.send_request(asking, "r1", "/q/");
  fleet.run_for(milliseconds(3));
  // All its leafs answer during the stall.
  const std::uint64_t hedges = fleet.nodes.at(holder).state.count.hedges;
  fleet.nodes.at(holder).stalled_until = fleet.now() + milliseconds(60);
  fleet.run_for(seconds(1));
  CHECK(fleet.nodes.at(holder).state.count.hedges == hedges);
}

TEST_CASE("A holder stops the work for a client that has left") {
  holder_fleet fleet(5, 40);
  populate(fleet);
  const std::string asking = node_name(2, 0);
  for (auto& [id, leaf] : fleet.leafs) {
    leaf.paused_until = fleet.now() + seconds(5);
  }
  const auto caller = fleet.send_request(asking, "r1", "/q/");
  fleet.run_for(milliseconds(10));
  fleet.disconnect_caller(asking, caller);
  fleet.run_for(milliseconds(300));
  const std::size_t before = count_arrivals(fleet, "r1");
  for (const auto& [name, node] : fleet.nodes) {
    INFO(name);
    CHECK(node.state.pending_requests.empty());
    CHECK(node.state.remote_callers.empty());
    for (const auto& [id, connection] : node.state.connections) {
      CHECK(connection.phase != serving::connection_phase::busy);
    }
  }
  fleet.run_for(seconds(2));
  CHECK(count_arrivals(fleet, "r1") == before);
}

TEST_CASE("A stopping holder answers all that it was asked before it ends") {
  holder_fleet fleet(6, 40);
  populate(fleet);
  const std::string asking = node_name(2, 0);
  const std::string holder = fleet.first_holder(asking, "s0");
  for (auto& [id, leaf] : fleet.leafs) {
    leaf.paused_until = fleet.now() + milliseconds(50);
  }
  const auto caller = fleet.send_request(asking, "r1", "/q/");
  fleet.run_for(milliseconds(5));
  fleet.stop(holder);
  fleet.run_for(seconds(8));
  CHECK(is_complete(fleet.find_answer(caller)));
  CHECK(fleet.nodes.at(holder).aborted_requests == std::size_t{0});
}

TEST_CASE("Repeats through other holders stay within the budget of extra requests") {
  holder_fleet fleet(7, 40);
  populate(fleet);
  const serving::extra_budget_settings budget = large_fleet_settings().budget;
  // Every holder of the first block falls silent, one after the other.
  std::size_t sent = 0;
  for (int round = 0; round < 400; ++round) {
    const std::string asking = node_name(2, static_cast<std::size_t>(round) % 20);
    if (round % 100 == 50) {
      fleet.nodes.at(fleet.first_holder(asking, "s0")).silent = true;
    }
    fleet.send_request(asking, "r" + std::to_string(++sent), "/q/");
    fleet.run_for(milliseconds(20));
  }
  fleet.run_for(seconds(1));
  std::map<std::string, std::size_t> arrivals;
  for (const auto& arrival : fleet.arrivals) {
    ++arrivals[arrival.service];
  }
  for (const auto& [service, count] : arrivals) {
    INFO(service);
    CHECK(static_cast<double>(count) <=
          static_cast<double>(sent) * (1.0 + budget.ratio) + budget.slack);
  }
}

/// Sends some requests to a node, one a millisecond.
std::vector<base::caller_id> send_series(holder_fleet& fleet, const std::string& node,
                                         const std::string& prefix) {
  constexpr int count = 30;
  std::vector<base::caller_id> callers;
  for (int i = 0; i < count; ++i) {
    callers.push_back(fleet.send_request(node, prefix + std::to_string(i), "/q/"));
    fleet.run_for(milliseconds(1));
  }
  return callers;
}

// Guards against a node that lost power and starts again: a holder that did not notice
// replies to a call from before, and the new process has a call with the same id.
TEST_CASE("A reply to a call from before a restart is not used for another call") {
  holder_fleet fleet(8, 40);
  populate(fleet);
  const std::string asking = node_name(2, 3);
  for (auto& [id, leaf] : fleet.leafs) {
    leaf.paused_until = fleet.now() + milliseconds(90);
  }
  fleet.restart(asking);
  send_series(fleet, asking, "old");
  fleet.restart(asking);
  const std::vector<base::caller_id> callers = send_series(fleet, asking, "new");
  fleet.run_for(seconds(2));
  std::size_t merged = 0;
  for (const base::caller_id caller : callers) {
    const standins::client_answer* found = fleet.find_answer(caller);
    REQUIRE(found != nullptr);
    INFO(found->request);
    merged += found->answer.missing_shards ? 1 : 0;
    for (const std::string& signature : found->answer.signatures) {
      CHECK(signature.substr(signature.find('/') + 1) == found->request);
    }
  }
  CHECK(merged > 0);
}

}  // namespace
}  // namespace ibis::tests
