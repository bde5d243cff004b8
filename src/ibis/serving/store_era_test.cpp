#include "ibis/serving/store_era.hpp"

#include <algorithm>         // for any_of
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

#include "ibis/serving/node.hpp"  // for make_node, reduce, start

namespace ibis::serving {
namespace {

constexpr base::time_point start_time{std::chrono::hours(1)};

leaf_change make_leaf(const std::string& id, std::uint64_t sequence, bool draining) {
  leaf_record record;
  record.id = id;
  record.service = "s";
  record.address = "10.0.0.1:1";
  record.slots = 2;
  record.draining = draining;
  record.sequence = sequence;
  record.started_at = base::milliseconds(1);
  return {id, record};
}

topic_listed make_page(store_revision revision, const std::vector<leaf_change>& leafs,
                       const std::string& next_page_after = "") {
  return {store_topic::leafs, revision, next_page_after, leafs, nullptr, {}};
}

topic_changed make_change(store_revision revision, const leaf_change& leaf) {
  return {store_topic::leafs, revision, {leaf}, nullptr, nullptr, {}};
}

/// @return A node that watches the leafs from a revision on.
node_state make_watching_node(store_revision revision,
                              const std::vector<leaf_change>& leafs) {
  node_state node = make_node({}, 1);
  start(node, start_time);
  reduce(node, make_page(revision, leafs), start_time);
  return node;
}

/// Whether the effects list a topic from its first page.
bool lists_again(const effects& out, store_topic topic) {
  return std::any_of(out.begin(), out.end(), [topic](const effect& value) {
    const auto* list = std::get_if<list_topic>(&value);
    return list != nullptr && list->topic == topic && list->after.empty() &&
           !list->allow_stale;
  });
}

template <typename Effect>
bool has_effect(const effects& out) {
  return std::any_of(out.begin(), out.end(), [](const effect& value) {
    return std::holds_alternative<Effect>(value);
  });
}

}  // namespace

// Guards against an answer that was on its way when the store was restored.
TEST_CASE(
    "An answer of an earlier era changes nothing, and the topic is listed again") {
  node_state node = make_watching_node({2, 10}, {make_leaf("a", 1, false)});
  reduce(node, make_change({1, 500}, {"a", std::nullopt}), start_time);
  CHECK(node.leafs.contains("a"));
  CHECK(node.topics[1].revision == store_revision{2, 10});
  const base::time_point later = start_time + std::chrono::seconds(1);
  CHECK(lists_again(reduce(node, tick{}, later), store_topic::leafs));
}

TEST_CASE("A probe of an earlier era verifies nothing") {
  node_state node = make_watching_node({2, 10}, {make_leaf("a", 1, false)});
  const base::time_point before = node.topics[1].verified_at;
  const base::time_point later = start_time + std::chrono::seconds(1);
  reduce(node, store_probed{true, later, store_revision{1, 5}}, later);
  CHECK(node.topics[1].verified_at == before);
  reduce(node, store_probed{true, later, store_revision{2, 10}}, later);
  CHECK(node.topics[1].verified_at == later);
}

// Guards against revisions that were given out again: the number says nothing.
TEST_CASE("Any answer of a later era lists all topics again and is not applied") {
  const std::vector<event> answers{
      store_probed{true, start_time, store_revision{2, 3}},
      make_change({2, 3}, {"a", std::nullopt}), make_page({2, 3}, {}),
      topic_listed{store_topic::configuration, {2, 3}, "", {}, nullptr, {}}};
  for (const event& answer : answers) {
    INFO(event_name(answer));
    node_state node = make_watching_node({1, 10}, {make_leaf("a", 1, false)});
    const effects out = reduce(node, answer, start_time);
    CHECK(lists_again(out, store_topic::leafs));
    CHECK(lists_again(out, store_topic::configuration));
    CHECK(node.leafs.contains("a"));
  }
}

TEST_CASE("Pages of two eras are not combined") {
  node_state node = make_watching_node({1, 10}, {make_leaf("a", 1, false)});
  reduce(node,
         store_call_failed{store_topic::leafs, store_failure::history_dropped, ""},
         start_time);
  reduce(node, tick{}, start_time);
  reduce(node, make_page({1, 20}, {make_leaf("old", 1, false)}, "old"), start_time);
  reduce(node, make_page({2, 5}, {make_leaf("z", 1, false)}), start_time);
  CHECK_FALSE(node.leafs.contains("old"));
  CHECK_FALSE(node.leafs.contains("z"));
  reduce(node, make_page({2, 6}, {make_leaf("z", 1, false)}), start_time);
  CHECK(node.leafs.contains("z"));
  CHECK_FALSE(node.leafs.contains("old"));
  CHECK(node.topics[1].revision == store_revision{2, 6});
}

// Guards against a node that the others do not count: its record was written after the
// copy, so long ago that a count should have it.
TEST_CASE("A node writes its record again if a restoration forgot it") {
  node_state node = make_watching_node({1, 10}, {});
  nodes_counted without_self;
  without_self.count = 1;
  CHECK(has_effect<register_node>(reduce(node, without_self, start_time)));
  CHECK_FALSE(has_effect<register_node>(reduce(node, without_self, start_time)));
  const base::time_point later = start_time + std::chrono::milliseconds(100);
  reduce(node, store_probed{true, later, store_revision{2, 3}}, later);
  const effects out = reduce(node, tick{}, later + std::chrono::seconds(1));
  CHECK(has_effect<count_nodes>(out));
  CHECK(has_effect<register_node>(reduce(node, without_self, later)));
}

// Guards against requests to a leaf that drains: the copy is from before it did.
TEST_CASE("A leaf that drains does not return with an older record") {
  node_state node = make_watching_node({1, 10}, {make_leaf("a", 7, true)});
  reduce(node, make_page({2, 3}, {make_leaf("a", 5, false)}), start_time);
  reduce(node, make_page({2, 3}, {make_leaf("a", 5, false)}), start_time);
  CHECK(node.topics[1].revision == store_revision{2, 3});
  CHECK(node.leafs.at("a")->record.draining);
  SECTION("nor after its removal") {
    reduce(node, make_change({2, 4}, {"a", std::nullopt}), start_time);
    CHECK_FALSE(node.leafs.contains("a"));
    reduce(node, make_change({2, 5}, make_leaf("a", 5, false)), start_time);
    CHECK_FALSE(takes_new_work(*node.leafs.at("a")));
  }
}

}  // namespace ibis::serving
