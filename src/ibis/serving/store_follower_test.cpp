#include "ibis/serving/store_follower.hpp"

#include <algorithm>         // for find_if
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

#include "ibis/serving/node.hpp"  // for make_node, reduce, start

namespace ibis::serving {
namespace {

constexpr base::time_point start_time{std::chrono::hours(1)};

leaf_record make_record(const std::string& id, bool draining) {
  leaf_record record;
  record.id = id;
  record.service = "s";
  record.address = "10.0.0.1:1";
  record.slots = 2;
  record.draining = draining;
  record.started_at = base::milliseconds(1);
  return record;
}

topic_listed make_page(std::uint64_t revision, const std::string& leaf,
                       const std::string& next_page_after) {
  return {store_topic::leafs,
          {1, revision},
          next_page_after,
          {{leaf, make_record(leaf, false)}},
          nullptr,
          {}};
}

/// @return The watch of leafs among the effects, if there is one.
const watch_topic* find_watch(const effects& out) {
  const auto found = std::find_if(out.begin(), out.end(), [](const effect& value) {
    const auto* watch = std::get_if<watch_topic>(&value);
    return watch != nullptr && watch->topic == store_topic::leafs;
  });
  return found == out.end() ? nullptr : &std::get<watch_topic>(*found);
}

}  // namespace

// Guards against a change of a leaf that is made between the pages of a listing: the
// page with the leaf was read before it, and a watch from the last page's revision
// misses it.
TEST_CASE("Leafs are watched from the revision of a listing's first page") {
  node_state node = make_node({}, 1);
  start(node, start_time);
  reduce(node, make_page(10, "a", "a"), start_time);
  // The first listing may be stale; this one follows a failure of the watch.
  reduce(node, make_page(10, "b", ""), start_time);
  reduce(node, store_call_failed{store_topic::leafs, store_failure::unreachable, ""},
         start_time);
  const base::time_point second_start = start_time + std::chrono::seconds(5);
  reduce(node, tick{}, second_start);
  reduce(node, make_page(10, "a", "a"), second_start + std::chrono::seconds(1));
  const effects out =
      reduce(node, make_page(15, "b", ""), second_start + std::chrono::seconds(2));
  CHECK(node.topics[1].verified_at == second_start);
  const watch_topic* watch = find_watch(out);
  REQUIRE(watch != nullptr);
  CHECK(watch->revision == store_revision{1, 10});
}

// Guards against a leaf that has left and is used until it ends: a later page of a
// stale listing still has it, and a watch from the first page's revision misses its
// removal.
TEST_CASE("Leafs are watched from the oldest revision of a listing's pages") {
  node_state node = make_node({}, 1);
  start(node, start_time);
  reduce(node, make_page(20, "a", "a"), start_time);
  reduce(node, make_page(12, "b", "b"), start_time);
  const effects out = reduce(node, make_page(20, "c", ""), start_time);
  const watch_topic* watch = find_watch(out);
  REQUIRE(watch != nullptr);
  CHECK(watch->revision == store_revision{1, 12});
  reduce(node,
         topic_changed{store_topic::leafs, {1, 21}, {{"b", std::nullopt}}, {}, {}, {}},
         start_time);
  CHECK_FALSE(node.leafs.contains("b"));
}

// Guards against a listing without end, of a store that does not find a position.
TEST_CASE("A listing that comes back to a page is tried again later") {
  node_state node = make_node({}, 1);
  start(node, start_time);
  reduce(node, make_page(10, "a", "a"), start_time);
  reduce(node, make_page(10, "b", "b"), start_time);
  const effects out = reduce(node, make_page(10, "a", "a"), start_time);
  CHECK(std::none_of(out.begin(), out.end(), [](const effect& value) {
    return std::holds_alternative<list_topic>(value);
  }));
  CHECK(node.topics[1].paused);
}

TEST_CASE("Of several changes of a leaf in one answer only the last one is applied") {
  node_state node = make_node({}, 1);
  start(node, start_time);
  reduce(node, make_page(10, "a", ""), start_time);
  topic_changed changed{store_topic::leafs, {1, 15}, {}, nullptr, nullptr, {}};
  changed.leafs.push_back({"a", make_record("a", true)});
  reduce(node, changed, start_time);
  // The watch that follows a listing may repeat changes that the listing had.
  changed.leafs.insert(changed.leafs.begin(), {"a", make_record("a", false)});
  const effects out = reduce(node, changed, start_time);
  CHECK(node.leafs.at("a")->record.draining);
  for (const effect& value : out) {
    const auto* line = std::get_if<log_line>(&value);
    CHECK((line == nullptr || std::string(line->name) != "leaf_draining"));
  }
}

}  // namespace ibis::serving
