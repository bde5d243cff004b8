#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <functional>        // for function
#include <map>               // for map
#include <set>               // for set

#include "ibis/serving/merge.hpp"  // for record_bytes
#include "serving_fleet.hpp"       // for serving_fleet

namespace ibis::tests {
namespace {

using standins::fleet_leaf;
using standins::leaf_reaction;
using standins::serving_fleet;
using standins::unlimited_budget_settings;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> four_shards{"s0", "s1", "s2", "s3"};

/// Adds four shards with two leafs each and a service "one" with two leafs.
void populate(serving_fleet& fleet) {
  std::vector<std::string> services = four_shards;
  services.emplace_back("one");
  for (const std::string& service : services) {
    fleet.add_leaf(service + "-a", service);
    fleet.add_leaf(service + "-b", service);
  }
  fleet.configure(standins::make_catalog(1, four_shards, "one"));
  fleet.start();
}

void for_each_leaf_of(serving_fleet& fleet, const std::string& service,
                      const std::function<void(fleet_leaf&)>& change) {
  change(fleet.leafs.at(service + "-a"));
  change(fleet.leafs.at(service + "-b"));
}

std::function<void(serving_fleet&)> set_service_reaction(const std::string& service,
                                                         leaf_reaction reaction) {
  return [service, reaction](serving_fleet& fleet) {
    for_each_leaf_of(fleet, service, [reaction](fleet_leaf& leaf) {
      leaf.reaction = [reaction](std::mt19937_64&) { return reaction; };
    });
  };
}

std::function<void(serving_fleet&)> set_leaf_reaction(const std::string& leaf,
                                                      leaf_reaction reaction) {
  return [leaf, reaction](serving_fleet& fleet) {
    fleet.leafs.at(leaf).reaction = [reaction](std::mt19937_64&) { return reaction; };
  };
}

struct fault_case {
  std::string name;
  std::string target;
  std::function<void(serving_fleet&)> inject;
  unsigned status = 200;
  std::size_t missing = 0;
  milliseconds max_latency{40};
};

std::vector<fault_case> fault_cases() {
  const auto no_fault = [](serving_fleet&) {};
  const auto pause_leaf_of_two_shards = [](serving_fleet& fleet) {
    fleet.leafs.at("s0-a").paused_until = fleet.now() + milliseconds(150);
    fleet.leafs.at("s2-b").paused_until = fleet.now() + milliseconds(150);
  };
  const auto pause_shard = [](serving_fleet& fleet) {
    for_each_leaf_of(fleet, "s0", [&fleet](fleet_leaf& leaf) {
      leaf.paused_until = fleet.now() + milliseconds(150);
    });
  };
  const auto reuse_address = [](serving_fleet& fleet) {
    fleet.leafs.at("s0-a").instance = "another";
    fleet.leafs.at("one-a").instance = "another";
  };
  return {
      {"no fault", "/q/", no_fault, 200, 0, milliseconds(15)},
      {"one leaf of two shards pauses", "/q/", pause_leaf_of_two_shards, 200, 0,
       milliseconds(90)},
      {"a shard pauses", "/q/", pause_shard, 200, 1, milliseconds(92)},
      {"a shard fails", "/q/", set_service_reaction("s1", leaf_reaction::fail), 200, 1},
      {"a shard refuses", "/q/", set_service_reaction("s1", leaf_reaction::refuse), 200,
       1},
      {"a shard loses its answers", "/q/",
       set_service_reaction("s1", leaf_reaction::run_and_disconnect), 200, 1},
      {"a shard does not respond", "/q/",
       set_service_reaction("s1", leaf_reaction::ignore), 200, 1, milliseconds(92)},
      {"two shards fail", "/q/",
       [](serving_fleet& fleet) {
         set_service_reaction("s1", leaf_reaction::fail)(fleet);
         set_service_reaction("s2", leaf_reaction::fail)(fleet);
       },
       502},
      {"an address is reused by another leaf", "/q/", reuse_address, 200, 0},
      {"one leaf refuses a read", "/read/",
       set_leaf_reaction("one-a", leaf_reaction::refuse)},
      {"one leaf fails a read", "/read/",
       set_leaf_reaction("one-a", leaf_reaction::fail)},
      {"one leaf loses its answer to a read", "/read/",
       set_leaf_reaction("one-a", leaf_reaction::run_and_disconnect)},
      {"both leafs fail a read: the failure is forwarded", "/read/",
       set_service_reaction("one", leaf_reaction::fail), 500},
      {"both leafs lose their answer to a read", "/read/",
       set_service_reaction("one", leaf_reaction::run_and_disconnect), 502},
      {"both leafs refuse a read", "/read/",
       set_service_reaction("one", leaf_reaction::refuse), 503},
      {"a read reaches another leaf at a reused address", "/read/", reuse_address},
      {"both leafs refuse a write", "/write/",
       set_service_reaction("one", leaf_reaction::refuse), 503},
      {"both leafs lose their answer to a write", "/write/",
       set_service_reaction("one", leaf_reaction::run_and_disconnect), 502},
      {"both leafs fail a write", "/write/",
       set_service_reaction("one", leaf_reaction::fail), 500},
      {"both leafs ignore a write", "/write/",
       set_service_reaction("one", leaf_reaction::ignore), 504, 0, milliseconds(800)},
      {"a write reaches another leaf at a reused address", "/write/", reuse_address},
      {"no route", "/elsewhere/", no_fault, 404},
  };
}

/// Checks the invariants that hold under all faults: a request reaches at most two
/// leafs of a service, a write runs at most once, and a request answered with 503 never
/// ran.
void check_invariants(const serving_fleet& fleet) {
  std::map<std::string, std::map<std::string, std::set<std::string>>> sent;
  std::map<std::string, int> runs;
  for (const standins::leaf_arrival& arrival : fleet.arrivals) {
    sent[arrival.request][arrival.service].insert(arrival.leaf);
    runs[arrival.request] += arrival.ran ? 1 : 0;
  }
  for (const auto& [request, services] : sent) {
    for (const auto& [service, leafs] : services) {
      CHECK(leafs.size() <= 2);
    }
    if (request.front() == 'w') {
      CHECK(runs[request] <= 1);
    }
  }
  for (const standins::client_answer& answer : fleet.answers) {
    if (answer.answer.status == 503) {
      CHECK(runs[answer.request] == 0);
    }
  }
}

}  // namespace

TEST_CASE("Each fault leads to the expected answer") {
  for (const fault_case& fault : fault_cases()) {
    INFO(fault.name);
    serving_fleet fleet(7, unlimited_budget_settings());
    populate(fleet);
    fault.inject(fleet);
    const std::string id = fault.target == "/write/" ? "w1" : "r1";
    const base::time_point sent_at = fleet.now();
    const base::caller_id caller = fleet.send_request(id, fault.target);
    fleet.run_for(seconds(2));
    const standins::client_answer* answer = fleet.find_answer(caller);
    REQUIRE(answer != nullptr);
    CHECK(answer->answer.status == fault.status);
    CHECK(answer->answer.missing_shards.value_or(0) == fault.missing);
    CHECK(answer->at - sent_at <= fault.max_latency + milliseconds(1));
    check_invariants(fleet);
    CHECK(fleet.node.pending_requests.empty());
  }
}

TEST_CASE("A node without a configuration refuses requests with a retry delay") {
  serving_fleet fleet(1);
  fleet.start();
  const auto caller = fleet.send_request("r1", "/q/");
  REQUIRE(fleet.find_answer(caller) != nullptr);
  CHECK(fleet.find_answer(caller)->answer.status == 503);
  CHECK(fleet.find_answer(caller)->answer.retry_after.has_value());
  CHECK_FALSE(serving::check_readiness(fleet.node, fleet.now()).ready);
}

TEST_CASE("A draining leaf gets no new requests and finishes those in flight") {
  serving_fleet fleet(3);
  populate(fleet);
  fleet.leafs.at("one-a").service_time = [](std::mt19937_64&) {
    return milliseconds(60);
  };
  fleet.leafs.at("one-b").service_time = [](std::mt19937_64&) {
    return milliseconds(60);
  };
  const auto first = fleet.send_request("w1", "/write/");
  fleet.run_for(milliseconds(2));
  fleet.set_draining("one-a");
  fleet.set_draining("one-b");
  // The second change is read only after the pause that follows the first.
  fleet.run_for(milliseconds(1200));
  CHECK(fleet.find_answer(first)->answer.status == 200);
  const std::size_t before = fleet.arrivals.size();
  const auto second = fleet.send_request("w2", "/write/");
  fleet.run_for(milliseconds(100));
  CHECK(fleet.find_answer(second)->answer.status == 503);
  CHECK(fleet.arrivals.size() == before);
}

TEST_CASE(
    "Leafs whose records expire during a store outage are kept until it has been "
    "back for a while") {
  serving_fleet fleet(4);
  populate(fleet);
  fleet.set_store(standins::store_mode::stalled);
  fleet.drop_history();
  fleet.run_for(seconds(3));
  CHECK(fleet.node.store_unavailable);
  for (const char* id : {"s0-a", "s0-b"}) {
    fleet.unregister(id);
  }
  const auto meanwhile = fleet.send_request("r1", "/q/");
  fleet.run_for(milliseconds(50));
  CHECK(fleet.find_answer(meanwhile)->answer.missing_shards == 0U);
  fleet.set_store(standins::store_mode::healthy);
  fleet.run_for(milliseconds(1500));
  CHECK(fleet.node.leafs.contains("s0-a"));
  fleet.run_for(milliseconds(2500));
  CHECK_FALSE(fleet.node.leafs.contains("s0-a"));
}

TEST_CASE(
    "A watch that is cut is followed by a listing at once, which reads missed "
    "changes") {
  serving_fleet fleet(5);
  populate(fleet);
  fleet.drop_history();
  // There is no later change that could end a watch from the old revision.
  fleet.configure(standins::make_catalog(2, four_shards, "one"));
  fleet.run_for(milliseconds(20));
  CHECK(fleet.node.configuration->version == 2);
  CHECK_FALSE(fleet.node.store_unavailable);
}

TEST_CASE("Calls to an overloaded store are retried with growing delays") {
  serving_fleet fleet(6);
  populate(fleet);
  fleet.set_store(standins::store_mode::busy);
  fleet.run_for(seconds(10));
  CHECK(fleet.node.count.store_calls < 60);
  fleet.configure(standins::make_catalog(2, four_shards, "one"));
  fleet.set_store(standins::store_mode::healthy);
  fleet.run_for(milliseconds(1200));
  CHECK(fleet.node.configuration->version == 2);
}

TEST_CASE("A watch that an unresponsive store dropped without notice is replaced") {
  // The store stopped responding and never answered the watch, so that the node missed
  // the next configuration. Found by a randomized run: mix of Chladivo, seed
  // 245774070302, CONFIG at 30.282 s.
  serving_fleet fleet(14);
  populate(fleet);
  fleet.configure(standins::make_catalog(2, four_shards, "one"));
  fleet.run_for(milliseconds(100));
  fleet.set_store(standins::store_mode::dropping_calls);
  fleet.run_for(milliseconds(4500));
  fleet.set_store(standins::store_mode::healthy);
  fleet.run_for(seconds(4));
  fleet.configure(standins::make_catalog(3, four_shards, "one"));
  fleet.run_for(milliseconds(3000));
  CHECK(fleet.node.configuration->version == 3);
}

TEST_CASE("A watch that the store dropped during a short stall is replaced") {
  for (int phase = 0; phase < 10; ++phase) {
    serving_fleet fleet(14);
    populate(fleet);
    fleet.run_for(milliseconds(200 * phase));
    fleet.configure(standins::make_catalog(2, four_shards, "one"));
    fleet.run_for(milliseconds(100));
    fleet.set_store(standins::store_mode::dropping_calls);
    fleet.run_for(milliseconds(800));
    fleet.set_store(standins::store_mode::healthy);
    fleet.configure(standins::make_catalog(3, four_shards, "one"));
    fleet.run_for(milliseconds(3000));
    INFO("phase " << phase);
    CHECK(fleet.node.configuration->version == 3);
  }
}

TEST_CASE("Leafs that shut down together are removed before they stop serving") {
  // Their records are removed without being marked as draining first, just after
  // another change. Found by a randomized run: trouble-1 of Pettigrew, seed
  // 226631654539, DRAIN at 20.811 s.
  serving_fleet fleet(22);
  populate(fleet);
  fleet.add_leaf("late", "s3");
  fleet.run_for(milliseconds(50));
  const std::vector<std::string> leaving{"s0-a", "s1-a", "s2-a", "s3-a", "one-a"};
  for (const std::string& leaf : leaving) {
    fleet.unregister(leaf);
  }
  // The leafs go on serving for 3 s; a peer that supplies the change may be
  // unresponsive for 1.3 s of them.
  fleet.run_for(milliseconds(1700));
  for (const std::string& leaf : leaving) {
    INFO(leaf);
    CHECK_FALSE(fleet.node.leafs.contains(leaf));
  }
}

TEST_CASE("Requests waiting for a leaf are sent in order of priority") {
  serving_fleet fleet(21, unlimited_budget_settings());
  populate(fleet);
  for_each_leaf_of(fleet, "one", [&fleet](fleet_leaf& leaf) {
    leaf.service_time = [](std::mt19937_64&) { return milliseconds(60); };
  });
  // More requests than the leafs take at once, the urgent ones last.
  constexpr int patient = 30;
  constexpr int urgent = 4;
  for (int index = 0; index < patient; ++index) {
    fleet.send_request("patient-" + std::to_string(index), "/read/x", seconds(4));
  }
  std::vector<base::caller_id> urgent_callers;
  for (int index = 0; index < urgent; ++index) {
    urgent_callers.push_back(
        fleet.send_request("urgent-" + std::to_string(index), "/urgent/x", seconds(4)));
  }
  fleet.run_for(milliseconds(150));
  for (const base::caller_id caller : urgent_callers) {
    CHECK(fleet.find_answer(caller) != nullptr);
  }
}

TEST_CASE("An older configuration never replaces a newer one") {
  serving_fleet fleet(8);
  populate(fleet);
  fleet.configure(standins::make_catalog(5, four_shards, "one"));
  fleet.run_for(milliseconds(200));
  fleet.configure(standins::make_catalog(4, four_shards, "one"));
  fleet.run_for(milliseconds(200));
  CHECK(fleet.applied_versions == std::vector<std::uint64_t>{1, 5});
}

TEST_CASE("The connections of a disconnected client's request are closed") {
  serving_fleet fleet(9);
  populate(fleet);
  for_each_leaf_of(fleet, "one", [](fleet_leaf& leaf) {
    leaf.service_time = [](std::mt19937_64&) { return seconds(5); };
  });
  const std::size_t open = fleet.open_connections;
  const auto caller = fleet.send_request("r1", "/read/");
  fleet.run_for(milliseconds(20));
  fleet.disconnect_caller(caller);
  fleet.run_for(milliseconds(300));
  CHECK(fleet.open_connections < open);
  CHECK(fleet.find_answer(caller) == nullptr);
  CHECK(fleet.node.pending_requests.empty());
}

TEST_CASE("Extra requests stay within the budget when every leaf refuses") {
  serving::node_settings settings;
  settings.budget.slack = 40;
  serving_fleet fleet(10, settings);
  populate(fleet);
  set_service_reaction("one", leaf_reaction::refuse)(fleet);
  constexpr int requests = 400;
  for (int i = 0; i < requests; ++i) {
    fleet.send_request("r" + std::to_string(i), "/read/");
    fleet.run_for(milliseconds(20));
  }
  const auto extras = fleet.arrivals.size() - requests;
  CHECK(static_cast<double>(extras) <= 0.2 * requests + 40);
  CHECK(fleet.node.count.budget_refusals > 0);
}

TEST_CASE("Reloaded settings take effect at once") {
  serving_fleet fleet(12, unlimited_budget_settings());
  populate(fleet);
  serving::node_settings strict;
  strict.budget = {0.0, 0.0, seconds(10)};
  fleet.change_settings(strict);
  set_leaf_reaction("one-a", leaf_reaction::refuse)(fleet);
  set_leaf_reaction("one-b", leaf_reaction::refuse)(fleet);
  fleet.send_request("r1", "/read/");
  fleet.run_for(milliseconds(100));
  CHECK(fleet.arrivals.size() == 1);
}

TEST_CASE(
    "A request that arrives as a node finishes stopping is refused or answered, never "
    "aborted") {
  // The node sent such a request to a leaf and then exited without an answer. Found by
  // a randomized run: trouble-2 of Pettigrew, seed 1012571595998, LOST at 12.308 s.
  for (int delay_ms = 0; delay_ms <= 600; delay_ms += 10) {
    INFO(delay_ms);
    serving_fleet fleet(13);
    populate(fleet);
    for_each_leaf_of(fleet, "one", [](fleet_leaf& leaf) {
      leaf.service_time = [](std::mt19937_64&) { return milliseconds(400); };
    });
    fleet.stop();
    fleet.run_for(milliseconds(2900 + delay_ms));
    const bool finished = fleet.aborted_requests.has_value();
    const auto caller = fleet.send_request("w1", "/write/", milliseconds(2000));
    fleet.run_for(milliseconds(1));
    CHECK((!finished || fleet.arrivals.empty()));
    fleet.run_for(seconds(2));
    REQUIRE(fleet.find_answer(caller) != nullptr);
    CHECK(fleet.find_answer(caller)->answer.status == (finished ? 503 : 200));
    CHECK(fleet.aborted_requests == 0U);
  }
}

// Guards against requests that arrive late in a planned stop, are sent to a leaf and
// are then cut off without an answer when the time for the stop is over.
TEST_CASE("Every request of a planned stop is answered, also if it arrives late") {
  for (const char* path : {"/write/", "/read/", "/q/"}) {
    INFO(path);
    serving_fleet fleet(14);
    populate(fleet);
    for (auto& [name, leaf] : fleet.leafs) {
      leaf.service_time = [](std::mt19937_64&) { return milliseconds(600); };
    }
    fleet.stop();
    fleet.run_for(milliseconds(2900));
    // Open connections are used on, so that the node is never without a request.
    std::map<std::string, base::caller_id> callers;
    for (int index = 0; !fleet.aborted_requests; ++index) {
      const std::string id = "late-" + std::to_string(index);
      callers[id] = fleet.send_request(id, path, milliseconds(2000));
      fleet.run_for(milliseconds(100));
    }
    CHECK(fleet.aborted_requests == 0U);
    CHECK(fleet.now() - fleet.node.stop.requested_at <=
          fleet.node.settings.stop.limit + milliseconds(100));
    std::set<std::string> arrived;
    for (const auto& arrival : fleet.arrivals) {
      arrived.insert(arrival.request);
    }
    for (const auto& [id, caller] : callers) {
      INFO(id);
      const auto* answer = fleet.find_answer(caller);
      REQUIRE(answer != nullptr);
      CHECK((answer->answer.status != 503 || !arrived.contains(id)));
    }
    const auto* first = fleet.find_answer(callers.at("late-0"));
    CHECK(first->answer.status == 200);
  }
}

TEST_CASE(
    "A stopping node accepts requests until load balancers notice and answers them "
    "all") {
  serving_fleet fleet(11);
  populate(fleet);
  fleet.stop();
  CHECK_FALSE(serving::check_readiness(fleet.node, fleet.now()).ready);
  fleet.run_for(milliseconds(2500));
  const auto late = fleet.send_request("w1", "/write/");
  fleet.run_for(milliseconds(50));
  CHECK(fleet.find_answer(late)->answer.status == 200);
  CHECK(fleet.find_answer(late)->answer.close);
  fleet.run_for(seconds(4));
  CHECK_FALSE(fleet.accepting);
  CHECK(fleet.aborted_requests == 0U);
}

// Guards against a merge that takes a fifth of a second, and memory for all that the
// leafs sent, because each of many leafs sends a megabyte of records.
TEST_CASE("A part is reduced to the records that can be in the answer as it arrives") {
  serving_fleet fleet(1);
  populate(fleet);
  for_each_leaf_of(fleet, "s3", [](fleet_leaf& leaf) {
    leaf.reaction = [](std::mt19937_64&) { return leaf_reaction::ignore; };
  });
  const base::caller_id caller = fleet.send_request("r1", "/q/");
  fleet.run_for(milliseconds(30));
  const auto found = fleet.node.pending_requests.find(caller);
  REQUIRE(found != fleet.node.pending_requests.end());
  CHECK(found->second.parts == 3);
  const std::size_t limit = found->second.route->top * serving::record_bytes;
  for (const serving::task_state& task : found->second.tasks) {
    if (task.part) {
      CHECK(task.part->body.size() == limit);
    }
  }
}

}  // namespace ibis::tests
