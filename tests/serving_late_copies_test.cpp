#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <map>               // for map
#include <set>               // for set
#include <string>            // for string
#include <vector>            // for vector

#include "serving_fleet.hpp"  // for serving_fleet

namespace ibis::tests {
namespace {

using standins::leaf_reaction;
using standins::serving_fleet;
using standins::unlimited_budget_settings;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// How long after an answer its second copy follows.
constexpr milliseconds copy_delay{6};

/// Adds a service "one" with the given leafs, which run a request for 40 ms and send
/// all answers twice.
void populate(serving_fleet& fleet, const std::vector<std::string>& leafs) {
  for (const std::string& id : leafs) {
    standins::fleet_leaf& leaf = fleet.add_leaf(id, "one");
    leaf.copy_delay = copy_delay;
    leaf.service_time = [](std::mt19937_64&) { return milliseconds(40); };
  }
  fleet.configure(standins::make_catalog(1, {}, "one"));
  fleet.start();
}

/// Makes a leaf refuse its next requests.
void refuse_next(serving_fleet& fleet, const std::string& leaf, int count) {
  fleet.leafs.at(leaf).reaction = [count](std::mt19937_64&) mutable {
    return count-- > 0 ? leaf_reaction::refuse : leaf_reaction::answer;
  };
}

std::map<std::string, int> count_runs(const serving_fleet& fleet) {
  std::map<std::string, int> runs;
  for (const standins::leaf_arrival& arrival : fleet.arrivals) {
    runs[arrival.request] += arrival.ran ? 1 : 0;
  }
  return runs;
}

}  // namespace

// Guards against a request that runs twice: the leaf refuses it, and a late second copy
// of the refusal is taken for the answer to the next send on the same connection.
TEST_CASE("A late copy of a refusal does not answer the next send of its request") {
  serving_fleet fleet(1, unlimited_budget_settings());
  populate(fleet, {"one-a"});
  refuse_next(fleet, "one-a", 1);
  const base::caller_id caller = fleet.send_request("w1", "/write/");
  fleet.run_for(seconds(1));
  REQUIRE(fleet.find_answer(caller) != nullptr);
  CHECK(fleet.find_answer(caller)->answer.status == 200);
  CHECK(count_runs(fleet)["w1"] == 1);
}

// Guards against a request that is called "not run" and runs: as above, with no further
// send allowed.
TEST_CASE("A request that leafs with late copies refuse and then run is not refused") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    serving_fleet fleet(seed, unlimited_budget_settings());
    populate(fleet, {"one-a", "one-b"});
    for (const char* leaf : {"one-a", "one-b"}) {
      fleet.leafs.at(leaf).reaction = [](std::mt19937_64& random) {
        return random() % 3 == 0 ? leaf_reaction::answer : leaf_reaction::refuse;
      };
    }
    for (int i = 0; i < 100; ++i) {
      fleet.send_request("w" + std::to_string(i), "/write/");
      fleet.run_for(milliseconds(17));
    }
    fleet.run_for(seconds(2));
    const std::map<std::string, int> runs = count_runs(fleet);
    for (const standins::client_answer& answer : fleet.answers) {
      INFO(answer.request << " " << answer.answer.status);
      const int count = runs.contains(answer.request) ? runs.at(answer.request) : 0;
      CHECK(count <= 1);
      if (answer.answer.status == 503) {
        CHECK(count == 0);
      }
    }
  }
}

// Guards against the same mix-up between two requests that state one id, such as two
// calls of another node for shards of one request.
TEST_CASE("Two requests with one id are not sent on the same connection") {
  serving_fleet fleet(2, unlimited_budget_settings());
  populate(fleet, {"one-a"});
  std::vector<base::connection_id> used;
  fleet.effect_observer = [&used](const serving::effect& effect) {
    if (const auto* sent = std::get_if<serving::send_to_leaf>(&effect)) {
      used.push_back(sent->connection);
    }
  };
  fleet.leafs.at("one-a").copy_delay.reset();
  for (int i = 0; i < 3; ++i) {
    fleet.send_request("r1", "/read/");
    fleet.run_for(milliseconds(60));
    fleet.send_request("another" + std::to_string(i), "/read/");
    fleet.run_for(milliseconds(60));
  }
  CHECK(fleet.answers.size() == 6);
  REQUIRE(used.size() == 6);
  CHECK(std::set<base::connection_id>{used[0], used[2], used[4]}.size() == 3);
  // Other requests still share a connection.
  CHECK(std::set<base::connection_id>(used.begin(), used.end()).size() == 3);
}

}  // namespace ibis::tests
