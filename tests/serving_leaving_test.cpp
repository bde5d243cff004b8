#include <algorithm>         // for count_if
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <string>            // for string

#include "holder_fleet.hpp"   // for holder_fleet
#include "serving_fleet.hpp"  // for serving_fleet

namespace ibis::tests {
namespace {

using standins::holder_fleet;
using standins::leaf_reaction;
using standins::serving_fleet;
using standins::unlimited_budget_settings;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Adds a shard "s0" and a service "one" with two leafs each, and cuts the store off.
void populate(serving_fleet& fleet) {
  for (const std::string service : {"s0", "one"}) {
    fleet.add_leaf(service + "-a", service);
    fleet.add_leaf(service + "-b", service);
  }
  fleet.configure(standins::make_catalog(1, {"s0"}, "one"));
  fleet.start();
  fleet.set_store(standins::store_mode::dropping_calls);
}

std::ptrdiff_t count_arrivals(const serving_fleet& fleet, const std::string& leaf) {
  return std::count_if(fleet.arrivals.begin(), fleet.arrivals.end(),
                       [&leaf](const auto& arrival) { return arrival.leaf == leaf; });
}

/// Sends requests one after the other.
void send_series(serving_fleet& fleet, const std::string& target, int count) {
  static int sent = 0;
  for (int i = 0; i < count; ++i) {
    fleet.send_request("r" + std::to_string(++sent), target);
    fleet.run_for(milliseconds(20));
  }
}

}  // namespace

// Guards against work in flight that is lost when a leaf ends which has said that it
// leaves, while the store does not tell the node: whatever the answer is that says so.
TEST_CASE("A leaf that says in an answer that it leaves gets no new requests") {
  for (const leaf_reaction reaction :
       {leaf_reaction::answer, leaf_reaction::refuse, leaf_reaction::fail,
        leaf_reaction::run_and_disconnect}) {
    for (const char* target : {"/read/", "/write/", "/q/"}) {
      INFO("reaction " << static_cast<int>(reaction) << " of " << target);
      serving_fleet fleet(1, unlimited_budget_settings());
      populate(fleet);
      for (const char* id : {"s0-a", "one-a"}) {
        fleet.leafs.at(id).says_leaving = true;
        fleet.leafs.at(id).reaction = [reaction](std::mt19937_64&) { return reaction; };
      }
      send_series(fleet, target, 20);
      const std::string leaf = std::string(target) == "/q/" ? "s0-a" : "one-a";
      CHECK(count_arrivals(fleet, leaf) == 1);
      CHECK(fleet.node.leafs.at(leaf)->open == 0);
      CHECK(fleet.answers.size() == 20);
    }
  }
}

TEST_CASE("A hedge's loser that says that it leaves gets no new requests") {
  serving_fleet fleet(2, unlimited_budget_settings());
  populate(fleet);
  send_series(fleet, "/q/", 20);
  for (const char* id : {"s0-a", "s0-b"}) {
    fleet.leafs.at(id).says_leaving = true;
  }
  // The first leaf that gets a request is paused, so that the other one wins.
  const std::string loser = fleet.arrivals.back().leaf;
  const std::string winner = loser == "s0-a" ? "s0-b" : "s0-a";
  fleet.leafs.at(winner).says_leaving = false;
  fleet.leafs.at(loser).paused_until = fleet.now() + milliseconds(60);
  while (fleet.arrivals.back().leaf != winner) {
    send_series(fleet, "/q/", 1);
  }
  fleet.run_for(milliseconds(200));
  const std::ptrdiff_t before = count_arrivals(fleet, loser);
  CHECK(fleet.node.leafs.at(loser)->leaving);
  send_series(fleet, "/q/", 50);
  CHECK(count_arrivals(fleet, loser) == before);
}

TEST_CASE(
    "An answer that comes after its client has left still says that a leaf leaves") {
  serving_fleet fleet(3, unlimited_budget_settings());
  populate(fleet);
  for (const char* id : {"one-a", "one-b"}) {
    fleet.leafs.at(id).says_leaving = true;
  }
  const base::caller_id caller = fleet.send_request("left", "/read/");
  fleet.run_for(milliseconds(2));
  fleet.disconnect_caller(caller);
  fleet.run_for(milliseconds(50));
  REQUIRE(fleet.arrivals.size() == 1);
  CHECK(fleet.node.leafs.at(fleet.arrivals.front().leaf)->leaving);
}

TEST_CASE(
    "When all leafs of a service have said that they leave, requests are refused") {
  serving_fleet fleet(4, unlimited_budget_settings());
  populate(fleet);
  for (const char* id : {"one-a", "one-b"}) {
    fleet.leafs.at(id).says_leaving = true;
  }
  send_series(fleet, "/write/", 4);
  const base::time_point sent_at = fleet.now();
  const base::caller_id caller = fleet.send_request("last", "/write/");
  fleet.run_for(milliseconds(20));
  const standins::client_answer* found = fleet.find_answer(caller);
  REQUIRE(found != nullptr);
  CHECK(found->answer.status == 503);
  CHECK(found->answer.retry_after.has_value());
  CHECK(found->at == sent_at);
  CHECK(count_arrivals(fleet, "one-a") == 1);
  CHECK(count_arrivals(fleet, "one-b") == 1);
}

TEST_CASE("A connection that opens after its leaf began to drain carries no request") {
  serving_fleet fleet(5, unlimited_budget_settings());
  fleet.add_leaf("one-a", "one");
  fleet.configure(standins::make_catalog(1, {}, "one"));
  fleet.start();
  // The first request takes the open connection, so that the second one needs another.
  fleet.send_request("first", "/write/");
  const base::caller_id caller = fleet.send_request("second", "/write/");
  REQUIRE(fleet.node.leafs.at("one-a")->opening == 1);
  fleet.set_draining("one-a");
  fleet.run_for(milliseconds(50));
  CHECK(count_arrivals(fleet, "one-a") == 1);
  CHECK(fleet.node.leafs.at("one-a")->open == 0);
  REQUIRE(fleet.find_answer(caller) != nullptr);
  CHECK(fleet.find_answer(caller)->answer.status == 503);
}

// Guards against a node that hears of a leaf's notice from nobody, since another node
// holds the connections to the leaf.
TEST_CASE("A holder passes a leaf's notice on to the node that asks it") {
  constexpr int nodes_per_zone = 20;
  holder_fleet fleet(1, 40);
  serving::node_settings settings;
  settings.budget.slack = 200;
  for (const std::string zone : {"zone-0", "zone-1"}) {
    for (int i = 0; i < nodes_per_zone; ++i) {
      fleet.add_node(zone + "-node-" + std::to_string(i), zone, settings);
    }
  }
  fleet.add_leaf("s0-a", "s0", "zone-0");
  fleet.add_leaf("s0-b", "s0", "zone-1");
  fleet.add_leaf("one-a", "one", "zone-0");
  fleet.configure(standins::make_catalog(1, {"s0"}, "one"));
  fleet.start();
  std::string asking;
  for (const auto& [name, node] : fleet.nodes) {
    if (fleet.first_holder(name, "s0") != name) {
      asking = name;
    }
  }
  fleet.send_request(asking, "first", "/q/");
  fleet.run_for(milliseconds(50));
  const std::string leaf = fleet.arrivals.back().leaf;
  fleet.leafs.at(leaf).says_leaving = true;
  fleet.send_request(asking, "second", "/q/");
  fleet.run_for(milliseconds(50));
  CHECK(fleet.nodes.at(asking).state.leafs.at(leaf)->leaving);
  const auto count = [&] {
    return std::count_if(fleet.arrivals.begin(), fleet.arrivals.end(),
                         [&leaf](const auto& arrival) { return arrival.leaf == leaf; });
  };
  const std::ptrdiff_t before = count();
  for (int i = 0; i < 50; ++i) {
    fleet.send_request(asking, "later" + std::to_string(i), "/q/");
    fleet.run_for(milliseconds(20));
  }
  CHECK(count() == before);
  CHECK(fleet.answers.size() == 52);
}

}  // namespace ibis::tests
