#include <algorithm>         // for count_if
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <random>            // for mt19937_64
#include <string>            // for string

#include "follower_fleet.hpp"         // for follower_fleet
#include "holder_fleet.hpp"           // for holder_fleet
#include "ibis/serving/view_age.hpp"  // for fit_propagation
#include "serving_fleet.hpp"          // for serving_fleet

namespace ibis::tests {
namespace {

using standins::follower_fleet;
using standins::holder_fleet;
using standins::serving_fleet;
using standins::store_mode;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// How soon an evacuation must be in force; shorter than any deployment requires.
constexpr seconds propagation_limit{3};

serving::node_settings following_settings() {
  serving::node_settings settings = standins::unlimited_budget_settings();
  settings.store.follow_evacuations = true;
  serving::fit_propagation(settings, propagation_limit);
  return settings;
}

void add_leaf(serving_fleet& fleet, const std::string& id, const std::string& service,
              const std::string& zone) {
  fleet.add_leaf(id, service).record.availability_zone = zone;
}

/// Adds a shard "s0" and a service "one", each with a leaf in the zones "za" and "zb".
void populate(serving_fleet& fleet) {
  for (const std::string service : {"s0", "one"}) {
    add_leaf(fleet, service + "-a", service, "za");
    add_leaf(fleet, service + "-b", service, "zb");
  }
  fleet.configure(standins::make_catalog(1, {"s0"}, "one"));
}

/// @return How many requests reached leafs of a zone after a time.
std::ptrdiff_t count_arrivals(const serving_fleet& fleet, const std::string& zone,
                              base::time_point since) {
  return std::count_if(
      fleet.arrivals.begin(), fleet.arrivals.end(), [&](const auto& arrival) {
        return arrival.at > since &&
               fleet.leafs.at(arrival.leaf).record.availability_zone == zone;
      });
}

/// Sends requests of all routes for a while.
void send_series(serving_fleet& fleet, base::duration time) {
  static int sent = 0;
  const base::time_point end = fleet.now() + time;
  while (fleet.now() < end) {
    for (const char* target : {"/read/", "/write/", "/q/"}) {
      fleet.send_request("e" + std::to_string(++sent), target);
    }
    fleet.run_for(milliseconds(20));
  }
}

std::size_t open_to_zone(const serving_fleet& fleet, const std::string& zone) {
  std::size_t open = 0;
  for (const auto& [id, leaf] : fleet.node.leafs) {
    open += leaf->record.availability_zone == zone ? leaf->open + leaf->opening : 0;
  }
  return open;
}

void check_all_succeeded(const serving_fleet& fleet) {
  for (const auto& answer : fleet.answers) {
    CHECK(answer.answer.status == 200);
  }
}

}  // namespace

TEST_CASE("An evacuated zone gets no new requests until its evacuation ends") {
  serving_fleet fleet(1, following_settings());
  populate(fleet);
  fleet.start();
  send_series(fleet, seconds(1));
  REQUIRE(count_arrivals(fleet, "za", {}) > 0);
  fleet.evacuate("za");
  fleet.run_for(milliseconds(5));
  const base::time_point evacuated_at = fleet.now();
  CHECK(open_to_zone(fleet, "za") == 0);
  send_series(fleet, seconds(5));
  CHECK(count_arrivals(fleet, "za", evacuated_at) == 0);
  CHECK(open_to_zone(fleet, "za") == 0);
  fleet.end_evacuation("za");
  fleet.run_for(milliseconds(500));
  const base::time_point returned_at = fleet.now();
  send_series(fleet, seconds(2));
  CHECK(count_arrivals(fleet, "za", returned_at) > 0);
  check_all_succeeded(fleet);
}

// Guards against a view that is forgotten, or trusted again, while the store does not
// answer.
TEST_CASE("An evacuation stays in force while the store is unavailable") {
  for (const store_mode mode :
       {store_mode::stalled, store_mode::busy, store_mode::dropping_calls}) {
    INFO("mode " << static_cast<int>(mode));
    serving_fleet fleet(2, following_settings());
    populate(fleet);
    fleet.start();
    fleet.evacuate("za");
    fleet.run_for(milliseconds(5));
    const base::time_point evacuated_at = fleet.now();
    fleet.set_store(mode);
    send_series(fleet, seconds(40));
    fleet.set_store(store_mode::healthy);
    send_series(fleet, seconds(5));
    CHECK(count_arrivals(fleet, "za", evacuated_at) == 0);
    check_all_succeeded(fleet);
    fleet.end_evacuation("za");
    send_series(fleet, seconds(5));
    CHECK(count_arrivals(fleet, "za", evacuated_at) > 0);
  }
}

TEST_CASE(
    "An evacuation that begins while the store is unavailable is found after it") {
  serving_fleet fleet(3, following_settings());
  populate(fleet);
  fleet.start();
  fleet.set_store(store_mode::dropping_calls);
  fleet.run_for(seconds(10));
  fleet.evacuate("za");
  fleet.run_for(seconds(10));
  fleet.set_store(store_mode::healthy);
  send_series(fleet, propagation_limit);
  const base::time_point applied_at = fleet.now();
  send_series(fleet, seconds(2));
  CHECK(count_arrivals(fleet, "za", applied_at) == 0);
}

// Guards against a watch that the store keeps open and tells nothing.
TEST_CASE("An evacuation that the open watches miss is in force within the limit") {
  serving_fleet fleet(4, following_settings());
  populate(fleet);
  fleet.start();
  for (int round = 0; round < 5; ++round) {
    fleet.silence_watches();
    fleet.evacuate("za");
    send_series(fleet, propagation_limit);
    const base::time_point due_at = fleet.now();
    send_series(fleet, seconds(1));
    CHECK(count_arrivals(fleet, "za", due_at) == 0);
    fleet.silence_watches();
    fleet.end_evacuation("za");
    send_series(fleet, propagation_limit);
    const base::time_point ended_at = fleet.now();
    send_series(fleet, seconds(1));
    CHECK(count_arrivals(fleet, "za", ended_at) > 0);
    fleet.run_for(milliseconds(130));
  }
}

TEST_CASE("Evacuations begin and end although the store drops its history in between") {
  serving_fleet fleet(5, following_settings());
  populate(fleet);
  fleet.start();
  fleet.evacuate("za");
  fleet.drop_history();
  fleet.run_for(milliseconds(50));
  const base::time_point evacuated_at = fleet.now();
  send_series(fleet, seconds(2));
  fleet.drop_history();
  send_series(fleet, seconds(2));
  CHECK(count_arrivals(fleet, "za", evacuated_at) == 0);
  fleet.drop_history();
  fleet.end_evacuation("za");
  fleet.drop_history();
  send_series(fleet, seconds(2));
  CHECK(count_arrivals(fleet, "za", evacuated_at) > 0);
  check_all_succeeded(fleet);
}

// Guards against requests and connections that a node opens before it knows which zones
// are evacuated.
TEST_CASE("A node that starts during an evacuation never uses the zone's leafs") {
  for (const bool before_leafs : {false, true}) {
    serving_fleet fleet(6, following_settings());
    populate(fleet);
    fleet.evacuate("za");
    fleet.run_for(milliseconds(1));
    std::size_t opened = 0;
    fleet.effect_observer = [&](const serving::effect& effect) {
      const auto* open = std::get_if<serving::open_connection>(&effect);
      for (const auto& [id, leaf] : fleet.leafs) {
        opened += open != nullptr && leaf.record.address == open->address &&
                          leaf.record.availability_zone == "za"
                      ? 1
                      : 0;
      }
    };
    if (before_leafs) {
      fleet.set_store(store_mode::stalled);
    }
    fleet.start();
    fleet.set_store(store_mode::healthy);
    send_series(fleet, seconds(5));
    CHECK(opened == 0);
    CHECK(count_arrivals(fleet, "za", {}) == 0);
    CHECK(count_arrivals(fleet, "zb", {}) > 0);
  }
}

TEST_CASE("Requests are refused until a starting node has listed evacuations") {
  serving_fleet fleet(7, following_settings());
  populate(fleet);
  fleet.start();
  // The node knows the rest, as if only this listing was late.
  fleet.node.topics[2].listed = false;
  const base::caller_id caller = fleet.send_request("early", "/read/");
  const standins::client_answer* found = fleet.find_answer(caller);
  REQUIRE(found != nullptr);
  CHECK(found->answer.status == 503);
  CHECK(found->answer.retry_after.has_value());
  CHECK(fleet.arrivals.empty());
}

TEST_CASE("A shard whose leafs are all evacuated is missing at once") {
  serving_fleet fleet(9, following_settings());
  std::vector<std::string> shards;
  for (int i = 0; i < 4; ++i) {
    shards.push_back("s" + std::to_string(i));
    add_leaf(fleet, shards.back() + "-b", shards.back(), i == 3 ? "za" : "zb");
  }
  add_leaf(fleet, "one-a", "one", "za");
  fleet.configure(standins::make_catalog(1, shards, "one"));
  fleet.start();
  fleet.evacuate("za");
  fleet.run_for(milliseconds(5));
  const base::time_point sent_at = fleet.now();
  const auto partial = fleet.send_request("partial", "/q/");
  const auto single = fleet.send_request("single", "/read/");
  const auto write = fleet.send_request("write", "/write/");
  for (const auto caller : {single, write}) {
    REQUIRE(fleet.find_answer(caller) != nullptr);
    CHECK(fleet.find_answer(caller)->answer.status == 503);
    CHECK(fleet.find_answer(caller)->answer.retry_after.has_value());
    CHECK(fleet.find_answer(caller)->at == sent_at);
  }
  fleet.run_for(milliseconds(20));
  REQUIRE(fleet.find_answer(partial) != nullptr);
  CHECK(fleet.find_answer(partial)->answer.status == 200);
  CHECK(fleet.arrivals.size() == 3);
  fleet.evacuate("zb");
  fleet.run_for(milliseconds(500));
  const auto refused = fleet.send_request("refused", "/q/");
  REQUIRE(fleet.find_answer(refused) != nullptr);
  CHECK(fleet.find_answer(refused)->answer.status == 503);
}

// Guards against work in flight that an evacuation cuts, and against tasks that wait
// for leafs which no longer take any.
TEST_CASE("Requests in flight end normally, and waiting ones are given up at once") {
  serving_fleet fleet(10, following_settings());
  add_leaf(fleet, "one-a", "one", "za");
  fleet.configure(standins::make_catalog(1, {}, "one"));
  fleet.leafs.at("one-a").service_time = [](std::mt19937_64&) {
    return base::duration(milliseconds(60));
  };
  fleet.start();
  for (int i = 0; i < 40; ++i) {
    fleet.send_request("w" + std::to_string(i), "/write/");
  }
  fleet.run_for(milliseconds(10));
  REQUIRE(!fleet.node.services["one"].waiting.empty());
  const std::size_t in_flight = fleet.node.leafs.at("one-a")->running.size();
  REQUIRE(in_flight > 0);
  fleet.evacuate("za");
  fleet.run_for(milliseconds(2));
  CHECK(fleet.node.services["one"].waiting.empty());
  CHECK(fleet.answers.size() == 40 - in_flight);
  for (const auto& answer : fleet.answers) {
    CHECK(answer.answer.status == 503);
  }
  fleet.run_for(milliseconds(200));
  CHECK(fleet.answers.size() == 40);
  CHECK(std::count_if(fleet.answers.begin(), fleet.answers.end(),
                      [](const auto& answer) { return answer.answer.status == 200; }) ==
        static_cast<std::ptrdiff_t>(in_flight));
  CHECK(fleet.node.leafs.at("one-a")->open == 0);
}

// Guards against a request that reaches the zone because its connection was opened
// before the evacuation.
TEST_CASE("A connection that is being opened when its zone is evacuated is not used") {
  for (const bool other_leaf : {false, true}) {
    serving_fleet fleet(11, following_settings());
    add_leaf(fleet, "one-a", "one", "za");
    fleet.configure(standins::make_catalog(1, {}, "one"));
    fleet.start();
    fleet.send_request("first", "/write/");
    const base::caller_id caller = fleet.send_request("second", "/write/");
    REQUIRE(fleet.node.leafs.at("one-a")->opening == 1);
    const base::time_point sent_at = fleet.now();
    if (other_leaf) {
      add_leaf(fleet, "one-b", "one", "zb");
    }
    fleet.evacuate("za");
    fleet.run_for(milliseconds(50));
    CHECK(count_arrivals(fleet, "za", {}) == 1);
    REQUIRE(fleet.find_answer(caller) != nullptr);
    CHECK(fleet.find_answer(caller)->answer.status == (other_leaf ? 200 : 503));
    if (!other_leaf) {
      CHECK(fleet.find_answer(caller)->at - sent_at < milliseconds(1));
    }
    CHECK(open_to_zone(fleet, "za") == 0);
  }
}

// Guards against a hedge that goes to a leaf of the zone.
TEST_CASE("A late request is not hedged in an evacuated zone") {
  serving_fleet fleet(12, following_settings());
  add_leaf(fleet, "one-a", "one", "za");
  add_leaf(fleet, "one-b", "one", "zb");
  fleet.configure(standins::make_catalog(1, {}, "one"));
  fleet.start();
  fleet.evacuate("za");
  fleet.run_for(milliseconds(50));
  fleet.leafs.at("one-b").paused_until = fleet.now() + milliseconds(300);
  const auto caller = fleet.send_request("late", "/read/");
  fleet.run_for(milliseconds(600));
  CHECK(count_arrivals(fleet, "za", {}) == 0);
  REQUIRE(fleet.find_answer(caller) != nullptr);
  CHECK(fleet.find_answer(caller)->answer.status == 200);
}

TEST_CASE("Evacuations of unknown zones change nothing") {
  serving_fleet fleet(13, following_settings());
  populate(fleet);
  fleet.start();
  const std::size_t open = fleet.open_connections;
  for (const std::string zone : {"", "z", "zaa", "za ", "\xff\xfe", "za\n", "../za"}) {
    fleet.evacuate(zone);
  }
  fleet.run_for(milliseconds(5));
  CHECK(fleet.open_connections == open);
  send_series(fleet, seconds(1));
  CHECK(count_arrivals(fleet, "za", {}) > 0);
  check_all_succeeded(fleet);
}

// Guards against any order of evacuations, returns, missed watches and dropped
// histories in which a zone's leafs are used after the limit.
TEST_CASE("Evacuations are in force within the limit in random sequences") {
  constexpr int seeds = 20;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    serving_fleet fleet(seed, following_settings());
    populate(fleet);
    fleet.start();
    base::time_point in_force_from{};
    for (int step = 0; step < 12; ++step) {
      if (random() % 2 == 0) {
        fleet.silence_watches();
      }
      const bool evacuated = step % 2 == 0;
      evacuated ? fleet.evacuate("za") : fleet.end_evacuation("za");
      if (random() % 3 == 0) {
        fleet.drop_history();
      }
      if (evacuated) {
        send_series(fleet, propagation_limit);
        in_force_from = fleet.now();
        send_series(fleet, milliseconds(random() % 1000));
        CHECK(count_arrivals(fleet, "za", in_force_from) == 0);
      } else {
        send_series(fleet, milliseconds(random() % 4000));
      }
    }
    check_all_succeeded(fleet);
  }
}

namespace {

/// Adds nodes of two zones that know each other.
/// @param following Whether a node follows evacuations, by its index.
void add_nodes(follower_fleet& fleet, int per_zone,
               const std::function<bool(int)>& following) {
  fleet.configure(1);
  fleet.add_leaf("leaf-0");
  for (int i = 0; i < 2 * per_zone; ++i) {
    serving::node_settings settings = following_settings();
    settings.store.follow_evacuations = following(i);
    settings.node = "node-" + std::to_string(i);
    settings.availability_zone = "zone-" + std::to_string(i % 2);
    fleet.add_node(settings);
  }
  fleet.run_for(seconds(1));
  fleet.announce_nodes();
  fleet.configure(2);
  fleet.add_leaf("leaf-1");
  fleet.run_for(seconds(4));
}

}  // namespace

TEST_CASE("Nodes get evacuations from their peers, and few of them call the store") {
  follower_fleet fleet;
  add_nodes(fleet, 10, [](int) { return true; });
  fleet.evacuate("za");
  fleet.run_for(milliseconds(200));
  // Nodes that still watch the store since no evacuation was changed before.
  CHECK(fleet.count_nodes_evacuating("za") == 20);
  fleet.run_for(seconds(5));
  std::size_t watching = 0;
  for (const auto& [name, node] : fleet.nodes) {
    watching += node.state.topics[2].source.empty() ? 1 : 0;
  }
  CHECK(watching == 4);
  fleet.end_evacuation("za");
  fleet.run_for(milliseconds(200));
  CHECK(fleet.count_nodes_evacuating("za") == 0);
}

TEST_CASE("Evacuations reach all nodes in time when watchers are silent or cut off") {
  for (const bool silent_store : {false, true}) {
    follower_fleet fleet;
    add_nodes(fleet, 10, [](int) { return true; });
    fleet.evacuate("other");
    fleet.run_for(seconds(5));
    std::size_t failed = 0;
    if (silent_store) {
      fleet.drop_history_silently();
    } else {
      for (auto& [name, node] : fleet.nodes) {
        if (node.availability_zone == "zone-1" && node.state.topics[2].source.empty()) {
          node.paused = true;
          ++failed;
        }
      }
      CHECK(failed == 2);
    }
    fleet.evacuate("za");
    fleet.run_for(propagation_limit);
    CHECK(fleet.count_nodes_evacuating("za") == 20 - failed);
    CHECK(fleet.count_nodes_evacuating("other") == 20);
  }
}

// Guards against nodes that wait for a peer which does not follow evacuations, since
// its settings do not name them.
TEST_CASE("A peer that does not follow evacuations does not keep others from them") {
  follower_fleet fleet;
  // In zone-0 no other node follows them; in zone-1 every second node does.
  const auto following = [](int index) { return index == 0 || index % 4 == 1; };
  add_nodes(fleet, 10, following);
  std::size_t followers = 0;
  for (int i = 0; i < 20; ++i) {
    followers += following(i) ? 1 : 0;
  }
  for (int round = 0; round < 20; ++round) {
    fleet.evacuate("za");
    fleet.run_for(propagation_limit);
    CHECK(fleet.count_nodes_evacuating("za") == followers);
    fleet.end_evacuation("za");
    fleet.run_for(propagation_limit);
    CHECK(fleet.count_nodes_evacuating("za") == 0);
  }
  for (int i = 0; i < 20; ++i) {
    const auto& node = fleet.nodes.at("node-" + std::to_string(i));
    CHECK((node.evacuation_calls > 0) == following(i));
  }
}

// Guards against holders that are asked for a shard which none of them can query, one
// after the other, and against holders that use the zone.
TEST_CASE("With holders, evacuated leafs get nothing and their shards are missing") {
  holder_fleet fleet(1, 40);
  constexpr int nodes_per_zone = 20;
  for (const std::string zone : {"za", "zb"}) {
    for (int i = 0; i < nodes_per_zone; ++i) {
      fleet.add_node(zone + "-" + std::to_string(i), zone, following_settings());
    }
  }
  std::vector<std::string> shards;
  for (int i = 0; i < 8; ++i) {
    shards.push_back("s" + std::to_string(i));
    fleet.add_leaf(shards.back() + "-a", shards.back(), "za");
    // The last shard has no leaf in the other zone.
    fleet.add_leaf(shards.back() + "-b", shards.back(), i == 7 ? "za" : "zb");
  }
  fleet.add_leaf("one-a", "one", "zb");
  fleet.configure(standins::make_catalog(1, shards, "one"));
  fleet.start();
  REQUIRE(!fleet.first_holder("za-0", "s0").empty());
  for (int i = 0; i < 10; ++i) {
    fleet.send_request("za-" + std::to_string(i), "before-" + std::to_string(i), "/q/");
    fleet.run_for(milliseconds(20));
  }
  fleet.evacuate("za");
  const base::time_point evacuated_at = fleet.now();
  for (int i = 0; i < 100; ++i) {
    const std::string node =
        (i % 2 == 0 ? "za-" : "zb-") + std::to_string(i % nodes_per_zone);
    const auto caller = fleet.send_request(node, "after-" + std::to_string(i), "/q/");
    fleet.run_for(milliseconds(25));
    REQUIRE(fleet.find_answer(caller) != nullptr);
    CHECK(fleet.find_answer(caller)->answer.status == 200);
  }
  for (const auto& arrival : fleet.arrivals) {
    if (arrival.at > evacuated_at) {
      CHECK(fleet.leafs.at(arrival.leaf).record.availability_zone == "zb");
    }
  }
}

}  // namespace ibis::tests
