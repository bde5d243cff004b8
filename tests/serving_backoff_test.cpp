// Leafs that turn requests away and say for how long they want no other.
#include <array>             // for array
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <random>            // for mt19937_64

#include "serving_fleet.hpp"  // for serving_fleet

namespace ibis::tests {
namespace {

using standins::fleet_leaf;
using standins::leaf_reaction;
using standins::serving_fleet;
using standins::unlimited_budget_settings;
using std::chrono::milliseconds;
using std::chrono::seconds;

void refuse_with(fleet_leaf& leaf, base::milliseconds retry_after) {
  leaf.reaction = [](std::mt19937_64&) { return leaf_reaction::refuse; };
  leaf.retry_after = retry_after;
}

void recover(fleet_leaf& leaf) {
  leaf.reaction = [](std::mt19937_64&) { return leaf_reaction::answer; };
  leaf.retry_after.reset();
}

/// Two leafs of the single service, and two of each shard.
void populate(serving_fleet& fleet) {
  for (const char* service : {"s0", "s1", "one"}) {
    fleet.add_leaf(std::string(service) + "-a", service);
    fleet.add_leaf(std::string(service) + "-b", service);
  }
  fleet.configure(standins::make_catalog(1, {"s0", "s1"}, "one"));
  fleet.start();
}

std::size_t count_arrivals(const serving_fleet& fleet, const std::string& leaf) {
  std::size_t count = 0;
  for (const standins::leaf_arrival& arrival : fleet.arrivals) {
    count += arrival.leaf == leaf ? 1 : 0;
  }
  return count;
}

/// Sends three requests each 20 ms, so that both leafs of a service are needed.
void send_for(serving_fleet& fleet, base::duration time, const std::string& target) {
  constexpr milliseconds interval{20};
  const base::time_point end = fleet.now() + time;
  while (fleet.now() < end) {
    for (const char* prefix : {"a", "b", "c"}) {
      fleet.send_request(
          prefix + std::to_string(fleet.now().time_since_epoch().count()), target);
    }
    fleet.run_for(interval);
  }
}

/// @return The requests that reached a leaf later than half a second after it had
/// asked for none, and before the end of that time.
std::size_t count_unwanted(const serving_fleet& fleet,
                           const standins::leaf_refusal& refusal) {
  constexpr milliseconds grace{500};
  std::size_t count = 0;
  for (const standins::leaf_arrival& arrival : fleet.arrivals) {
    const bool unwanted = arrival.at > refusal.at + grace &&
                          arrival.at < refusal.at + *refusal.retry_after;
    count += arrival.leaf == refusal.leaf && unwanted ? 1 : 0;
  }
  return count;
}

}  // namespace

TEST_CASE("A leaf that wants nothing for a while gets nothing, and its twin the work") {
  for (const char* target : {"/read/", "/write/", "/q/"}) {
    INFO(target);
    serving_fleet fleet(1, unlimited_budget_settings());
    populate(fleet);
    const std::string leaf = std::string(target) == "/q/" ? "s0-a" : "one-a";
    refuse_with(fleet.leafs.at(leaf), seconds(2));
    send_for(fleet, seconds(1), target);
    const std::size_t refused = count_arrivals(fleet, leaf);
    CHECK(refused >= 1);
    send_for(fleet, milliseconds(900), target);
    CHECK(count_arrivals(fleet, leaf) == refused);
    for (const standins::client_answer& answer : fleet.answers) {
      CHECK(answer.answer.status == 200);
    }
    recover(fleet.leafs.at(leaf));
    send_for(fleet, seconds(2), target);
    CHECK(count_arrivals(fleet, leaf) > refused);
  }
}

// Guards against requests that wait until their deadline for leafs that have all said
// when they want work again.
TEST_CASE(
    "If all leafs back off, requests are refused at once with the time to return") {
  serving_fleet fleet(2, unlimited_budget_settings());
  populate(fleet);
  for (const char* leaf : {"one-a", "one-b"}) {
    refuse_with(fleet.leafs.at(leaf), seconds(3));
  }
  send_for(fleet, milliseconds(200), "/read/");
  const base::time_point sent_at = fleet.now();
  const auto caller = fleet.send_request("late", "/read/");
  fleet.run_for(milliseconds(1));
  const auto* answer = fleet.find_answer(caller);
  REQUIRE(answer != nullptr);
  CHECK(answer->at == sent_at);
  CHECK(answer->answer.status == 503);
  REQUIRE(answer->answer.retry_after);
  CHECK(*answer->answer.retry_after > milliseconds(2500));
  CHECK(*answer->answer.retry_after <= seconds(3));
}

TEST_CASE("A leaf that returns gets one request first") {
  serving_fleet fleet(3, unlimited_budget_settings());
  populate(fleet);
  fleet.unregister("one-b");
  fleet.run_for(seconds(2));
  fleet_leaf& leaf = fleet.leafs.at("one-a");
  refuse_with(leaf, seconds(1));
  fleet.send_request("first", "/read/");
  fleet.run_for(milliseconds(1200));
  const std::size_t before = count_arrivals(fleet, "one-a");
  // It takes its time for the first request.
  recover(leaf);
  leaf.service_time = [](std::mt19937_64&) { return milliseconds(10); };
  std::vector<base::caller_id> callers;
  for (int i = 0; i < 3; ++i) {
    callers.push_back(fleet.send_request("again" + std::to_string(i), "/read/"));
  }
  fleet.run_for(milliseconds(5));
  CHECK(count_arrivals(fleet, "one-a") == before + 1);
  fleet.run_for(milliseconds(300));
  for (const base::caller_id caller : callers) {
    REQUIRE(fleet.find_answer(caller) != nullptr);
    CHECK(fleet.find_answer(caller)->answer.status == 200);
  }
}

TEST_CASE("A time that is too long is bounded") {
  serving::node_settings settings = unlimited_budget_settings();
  settings.leafs.retry_after_limit = seconds(1);
  serving_fleet fleet(4, settings);
  populate(fleet);
  refuse_with(fleet.leafs.at("one-a"), std::chrono::hours(24 * 365));
  send_for(fleet, milliseconds(300), "/read/");
  const std::size_t refused = count_arrivals(fleet, "one-a");
  CHECK(fleet.node.count.leaf_retry_after_bounded >= 1);
  recover(fleet.leafs.at("one-a"));
  fleet.unregister("one-b");
  fleet.run_for(seconds(1));
  send_for(fleet, milliseconds(100), "/read/");
  CHECK(count_arrivals(fleet, "one-a") > refused);
}

// Guards against a leaf that gets more than two requests from a node between half a
// second after it asked for none and the time that it stated.
TEST_CASE("No leaf gets more than two requests while it backs off") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    serving_fleet fleet(seed, unlimited_budget_settings());
    populate(fleet);
    for (int step = 0; step < 400; ++step) {
      for (auto& [id, leaf] : fleet.leafs) {
        const auto change = random() % 40;
        if (change == 0) {
          refuse_with(leaf, milliseconds(500 + random() % 3000));
        } else if (change == 1) {
          recover(leaf);
        } else if (change == 2) {
          leaf.service_time = [](std::mt19937_64& draw) {
            return milliseconds(1 + draw() % 150);
          };
        }
      }
      const std::array<const char*, 3> targets{"/read/", "/write/", "/q/"};
      fleet.send_request("r" + std::to_string(step), targets[random() % 3]);
      fleet.run_for(milliseconds(random() % 60));
    }
    for (const standins::leaf_refusal& refusal : fleet.refusals) {
      CHECK(count_unwanted(fleet, refusal) <= 2);
    }
    CHECK(fleet.node.count.leaf_backoffs > 0);
  }
}

}  // namespace ibis::tests
