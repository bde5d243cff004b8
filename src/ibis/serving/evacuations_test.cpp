#include "ibis/serving/evacuations.hpp"

#include <algorithm>         // for any_of, count_if
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <memory>            // for make_shared

#include "ibis/serving/holders.hpp"         // for make_holder_table
#include "ibis/serving/leaf_subset.hpp"     // for choose_allowed_leafs
#include "ibis/serving/node.hpp"            // for make_node, reduce, start
#include "ibis/serving/store_follower.hpp"  // for depends_on_store
#include "ibis/serving/update_source.hpp"   // for choose_update_source

namespace ibis::serving {
namespace {

constexpr base::time_point start_time{std::chrono::hours(1)};
constexpr std::size_t evacuations = 2;  ///< Index of the topic.

node_settings following_settings() {
  node_settings settings;
  settings.store.follow_evacuations = true;
  return settings;
}

leaf_record make_record(const std::string& id, const std::string& zone) {
  leaf_record record;
  record.id = id;
  record.service = "s";
  record.address = "10.0.0.1:1";
  record.availability_zone = zone;
  record.slots = 2;
  record.started_at = base::milliseconds(1);
  return record;
}

topic_changed make_leaf_change(std::uint64_t revision, const std::string& id,
                               const std::string& zone) {
  topic_changed change;
  change.topic = store_topic::leafs;
  change.revision = {1, revision};
  change.leafs.push_back({id, make_record(id, zone)});
  return change;
}

topic_changed make_zone_change(std::uint64_t revision, std::vector<zone_change> zones) {
  topic_changed change;
  change.topic = store_topic::evacuations;
  change.revision = {1, revision};
  change.zones = std::move(zones);
  return change;
}

topic_listed make_zone_page(std::uint64_t revision, const std::string& zone,
                            const std::string& next_page_after) {
  topic_listed page;
  page.topic = store_topic::evacuations;
  page.revision = {1, revision};
  page.next_page_after = next_page_after;
  page.zones.push_back({zone, true});
  return page;
}

/// @return The first effect of a type that is about evacuations, or nullptr.
template <typename Effect>
const Effect* find_call(const effects& out) {
  for (const effect& value : out) {
    const auto* call = std::get_if<Effect>(&value);
    if (call != nullptr && call->topic == store_topic::evacuations) {
      return call;
    }
  }
  return nullptr;
}

std::ptrdiff_t count_lines(const effects& out, const std::string& name) {
  return std::count_if(out.begin(), out.end(), [&name](const effect& value) {
    const auto* line = std::get_if<log_line>(&value);
    return line != nullptr && line->name == name;
  });
}

}  // namespace

// Guards against calls of the store, and probes, that a deployment without evacuations
// pays for.
TEST_CASE("A node that does not follow evacuations neither lists nor reports them") {
  node_settings settings;
  settings.node = "node-1";
  node_state node = make_node(settings, 1);
  CHECK(find_call<list_topic>(start(node, start_time)) == nullptr);
  for (int i = 0; i < 100; ++i) {
    const effects out = reduce(node, tick{}, start_time + std::chrono::seconds(i));
    CHECK(find_call<list_topic>(out) == nullptr);
    CHECK(find_call<watch_topic>(out) == nullptr);
    CHECK(find_call<query_peer>(out) == nullptr);
    CHECK(find_call<cancel_store_call>(out) == nullptr);
  }
  const effects out = reduce(
      node, peer_query_received{"node-2", store_topic::evacuations, 7, 1}, start_time);
  const auto* reply = find_call<reply_to_peer>(out);
  REQUIRE(reply != nullptr);
  CHECK(reply->kind == peer_reply_status::not_following);
  node.store_unavailable = false;
  node.topics[0].source = "node-2";
  node.topics[1].source = "node-2";
  CHECK_FALSE(depends_on_store(node));
  node.settings.store.follow_evacuations = true;
  CHECK(depends_on_store(node));
}

// Guards against changes between the pages of a listing that a watch from the last
// page's revision would miss.
TEST_CASE("Evacuations are watched from the oldest revision of a listing's pages") {
  node_state node = make_node(following_settings(), 1);
  start(node, start_time);
  reduce(node, make_zone_page(12, "za", "za"), start_time);
  CHECK(node.evacuated_zones.empty());
  CHECK_FALSE(knows_evacuations(node));
  const effects out = reduce(node, make_zone_page(20, "zb", ""), start_time);
  CHECK(node.evacuated_zones == std::set<std::string>{"za", "zb"});
  CHECK(knows_evacuations(node));
  const auto* watch = find_call<watch_topic>(out);
  REQUIRE(watch != nullptr);
  CHECK(watch->revision == store_revision{1, 12});
  reduce(node, make_zone_change(21, {{"za", false}}), start_time);
  CHECK(node.evacuated_zones == std::set<std::string>{"zb"});
}

// Guards against requests to leafs whose evacuation a stale listing does not show: at
// the start, before the watch answers, and after the history was dropped.
TEST_CASE("No listing of evacuations may be stale") {
  node_state node = make_node(following_settings(), 1);
  const effects started = start(node, start_time);
  REQUIRE(find_call<list_topic>(started) != nullptr);
  CHECK_FALSE(find_call<list_topic>(started)->allow_stale);
  CHECK_FALSE(knows_evacuations(node));
  reduce(node, make_zone_page(10, "za", ""), start_time);
  reduce(
      node,
      store_call_failed{store_topic::evacuations, store_failure::history_dropped, ""},
      start_time);
  const effects out = reduce(node, tick{}, start_time);
  REQUIRE(find_call<list_topic>(out) != nullptr);
  CHECK_FALSE(find_call<list_topic>(out)->allow_stale);
  CHECK(node.evacuated_zones.contains("za"));
}

// Guards against a call at each probe, since changes of other objects raise the store's
// revision, and against a watch that misses a change.
TEST_CASE("A probe that lists evacuations checks their watch only if they differ") {
  node_state node = make_node(following_settings(), 1);
  start(node, start_time);
  reduce(node, make_zone_page(10, "za", ""), start_time);
  const base::time_point sent_at = start_time + std::chrono::seconds(2);
  store_probed probed{true, sent_at, store_revision{1, 50},
                      std::vector<zone_change>{{"za", true}}};
  const effects same = reduce(node, probed, sent_at);
  CHECK(find_call<watch_topic>(same) == nullptr);
  CHECK(node.topics[static_cast<std::size_t>(store_topic::evacuations)].verified_at ==
        sent_at);
  probed.zones = std::vector<zone_change>{};
  probed.revision = store_revision{1, 60};
  const effects different = reduce(node, probed, sent_at);
  const auto* watch = find_call<watch_topic>(different);
  REQUIRE(watch != nullptr);
  CHECK(watch->topic == store_topic::evacuations);
  CHECK(watch->revision == store_revision{1, 50});
}

// Guards against probes of the store by all nodes for the whole wait of a watch that
// began before they knew peers.
TEST_CASE("The watch of evacuations moves to a peer once peers are known") {
  node_settings settings = following_settings();
  settings.peers.watchers = 1;
  for (const char* name : {"node-1", "node-2"}) {
    settings.node = name;
    node_state node = make_node(settings, 1);
    start(node, start_time);
    reduce(node, make_zone_page(10, "za", ""), start_time);
    const peer other{settings.node == "node-1" ? "node-2" : "node-1", "10.0.0.2:1",
                     settings.availability_zone};
    reduce(node, nodes_counted{2, true, {other}, ""}, start_time);
    const bool follows_peer = choose_update_source(node, start_time).has_value();
    const effects out =
        reduce(node, tick{}, start_time + node.settings.store.probe_period);
    CHECK((find_call<query_peer>(out) != nullptr) == follows_peer);
    CHECK((find_call<cancel_store_call>(out) != nullptr) == follows_peer);
    CHECK(node.evacuated_zones == std::set<std::string>{"za"});
  }
}

// Guards against leafs that get work between two changes of one answer, which may
// repeat what the node knows already.
TEST_CASE("Of several changes of a zone in one answer only the result takes effect") {
  node_state node = make_node(following_settings(), 1);
  start(node, start_time);
  reduce(node, make_leaf_change(5, "a", "za"), start_time);
  reduce(node, make_zone_change(10, {{"za", true}}), start_time);
  REQUIRE(node.leafs.at("a")->evacuated);
  const effects repeated =
      reduce(node, make_zone_change(11, {{"za", true}, {"za", false}, {"za", true}}),
             start_time);
  CHECK(node.leafs.at("a")->evacuated);
  CHECK(count_lines(repeated, "zone_evacuated") == 0);
  CHECK(count_lines(repeated, "zone_returned") == 0);
  const effects ended =
      reduce(node, make_zone_change(12, {{"za", false}, {"za", true}, {"za", false}}),
             start_time);
  CHECK_FALSE(node.leafs.at("a")->evacuated);
  CHECK(count_lines(ended, "zone_returned") == 1);
}

TEST_CASE(
    "A leaf that joins an evacuated zone, or whose record names one, is left out") {
  node_state node = make_node(following_settings(), 1);
  start(node, start_time);
  reduce(node, make_zone_change(10, {{"za", true}}), start_time);
  reduce(node, make_leaf_change(11, "a", "za"), start_time);
  CHECK_FALSE(takes_new_work(*node.leafs.at("a")));
  reduce(node, make_leaf_change(12, "b", "zb"), start_time);
  CHECK(takes_new_work(*node.leafs.at("b")));
  reduce(node, make_leaf_change(13, "b", "za"), start_time);
  CHECK_FALSE(takes_new_work(*node.leafs.at("b")));
  reduce(node, make_leaf_change(14, "b", "zb"), start_time);
  CHECK(takes_new_work(*node.leafs.at("b")));
  CHECK_FALSE(has_only_evacuated_leafs(node, "s"));
  reduce(node, make_zone_change(15, {{"zb", true}}), start_time);
  CHECK(has_only_evacuated_leafs(node, "s"));
  CHECK_FALSE(has_only_evacuated_leafs(node, "unknown"));
}

TEST_CASE("The leafs that a request may reach are chosen outside of evacuated zones") {
  node_state node = make_node(following_settings(), 1);
  start(node, start_time);
  reduce(node, make_leaf_change(5, "a", "za"), start_time);
  reduce(node, make_leaf_change(6, "b", "zb"), start_time);
  reduce(node, make_zone_change(10, {{"za", true}}), start_time);
  const auto allowed =
      choose_allowed_leafs(node.services["s"].leafs, "r", "za", 2, start_time);
  REQUIRE(allowed.size() == 1);
  CHECK(allowed.front()->record.id == "b");
}

// Guards against holders in a zone whose leafs may not be used: they would connect to
// other zones, as every node of their zone does.
TEST_CASE("A block has no holders in a zone for its evacuated leafs") {
  node_settings settings = following_settings();
  settings.node = "node-1";
  settings.availability_zone = "za";
  node_state node = make_node(settings, 1);
  start(node, start_time);
  catalog value;
  route query;
  query.shape = route_shape::fan_out;
  query.shards = {"s"};
  value.services["s"] = {"s", 1};
  value.routes.push_back(query);
  index_routes(value);
  node.configuration = std::make_shared<const catalog>(std::move(value));
  node.peers = {{"node-2", "node-2:1", "za"}, {"node-3", "node-3:1", "zb"}};
  reduce(node, make_leaf_change(5, "a", "za"), start_time);
  reduce(node, make_leaf_change(6, "b", "zb"), start_time);
  CHECK(make_holder_table(node).blocks.front().holders.size() == 3);
  reduce(node, make_zone_change(10, {{"za", true}}), start_time);
  const holder_table table = make_holder_table(node);
  REQUIRE(table.blocks.front().holders.size() == 1);
  CHECK(table.blocks.front().holders.front().node == "node-3");
  reduce(node, make_zone_change(11, {{"zb", true}}), start_time);
  CHECK(make_holder_table(node).blocks.front().holders.empty());
}

// Guards against a reload that makes a running node wait for a listing that it never
// requests, or that drops the evacuations in force.
TEST_CASE("A reload of the settings does not change whether evacuations are followed") {
  node_state node = make_node(following_settings(), 1);
  start(node, start_time);
  reduce(node, make_zone_change(10, {{"za", true}}), start_time);
  const effects out = reduce(node, settings_changed{node_settings{}}, start_time);
  CHECK(node.settings.store.follow_evacuations);
  CHECK(node.evacuated_zones.contains("za"));
  CHECK(count_lines(out, "evacuations_need_restart") == 1);
  node_state other = make_node({}, 1);
  start(other, start_time);
  reduce(other, settings_changed{following_settings()}, start_time);
  CHECK_FALSE(other.settings.store.follow_evacuations);
  CHECK(knows_evacuations(other));
}

// Guards against a request of another node that goes to an evacuated leaf from a node
// that has just started.
TEST_CASE("A node refuses shards and is not ready until it has listed evacuations") {
  node_state node = make_node(following_settings(), 1);
  start(node, start_time);
  topic_listed configuration;
  configuration.revision = {1, 5};
  catalog value;
  value.version = 1;
  index_routes(value);
  configuration.configuration = std::make_shared<const catalog>(std::move(value));
  reduce(node, configuration, start_time);
  reduce(node, make_leaf_change(6, "a", "za"), start_time);
  shards_requested request;
  request.node = "node-2";
  request.request.shards = {"s"};
  request.request.remaining = std::chrono::seconds(1);
  const effects out = reduce(node, request, start_time);
  const bool refused = std::any_of(out.begin(), out.end(), [](const effect& value) {
    const auto* reply = std::get_if<reply_shards>(&value);
    return reply != nullptr && reply->reply.failed.size() == 1 &&
           !reply->reply.failed.front().sent;
  });
  CHECK(refused);
  CHECK_FALSE(check_readiness(node, start_time + std::chrono::seconds(5)).ready);
  reduce(node, make_zone_change(10, {}), start_time);
  CHECK(check_readiness(node, start_time + std::chrono::seconds(5)).ready);
}

}  // namespace ibis::serving
