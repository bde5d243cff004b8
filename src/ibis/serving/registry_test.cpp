#include "ibis/serving/registry.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

#include "ibis/serving/node.hpp"  // for make_node, reduce, start

namespace ibis::serving {
namespace {

constexpr base::time_point start_time{std::chrono::hours(1)};
constexpr base::milliseconds first_start{1000};
constexpr base::milliseconds second_start{2000};

leaf_change make_change(base::milliseconds started_at) {
  leaf_record record;
  record.id = "a";
  record.service = "s";
  record.address = "10.0.0.1:1";
  record.started_at = started_at;
  return {record.id, record};
}

/// A node that knows one leaf.
class registry_of_one {
 public:
  registry_of_one() {
    start(node, start_time);
    reduce(node,
           topic_listed{
               store_topic::leafs, {1, 10}, "", {make_change(first_start)}, {}, {}},
           start_time);
  }

  void change(const leaf_change& value) {
    reduce(node,
           topic_changed{store_topic::leafs, {1, ++revision}, {value}, {}, {}, {}},
           start_time);
  }

  void report_leaving(base::milliseconds started_at) {
    effects out;
    context ctx{start_time, node, out};
    on_leaving_reported("a", started_at, ctx);
  }

  node_state node = make_node({}, 1);
  std::uint64_t revision = 10;
};

}  // namespace

TEST_CASE("A record does not undo a leaf's notice that it leaves") {
  registry_of_one registry;
  registry.report_leaving(first_start);
  REQUIRE(registry.node.leafs.at("a")->leaving);
  registry.change(make_change(first_start));
  CHECK(registry.node.leafs.at("a")->leaving);
  // The record goes and comes back.
  registry.change({"a", std::nullopt});
  CHECK_FALSE(registry.node.leafs.contains("a"));
  registry.change(make_change(first_start));
  CHECK(registry.node.leafs.at("a")->leaving);
}

TEST_CASE("A leaf's notice does not hold for a later start under its id") {
  registry_of_one registry;
  registry.report_leaving(first_start);
  registry.change(make_change(second_start));
  CHECK_FALSE(registry.node.leafs.at("a")->leaving);
  // A report of the earlier start may arrive late.
  registry.report_leaving(first_start);
  CHECK_FALSE(registry.node.leafs.at("a")->leaving);
}

TEST_CASE("A notice that is reported before the leaf's record holds for the record") {
  registry_of_one registry;
  registry.report_leaving(second_start);
  CHECK_FALSE(registry.node.leafs.at("a")->leaving);
  registry.change(make_change(second_start));
  CHECK(registry.node.leafs.at("a")->leaving);
}

// Guards against entries of another writer, which name no leafs, that make the removal
// of a leaf look like one of many records that expired together: it would get requests
// for longer than a removed leaf may.
TEST_CASE("Changes of entries that name no leaf delay no leaf's removal") {
  constexpr int odd_entries = 10;
  registry_of_one registry;
  topic_changed changed{store_topic::leafs, {1, 11}, {}, {}, {}, {}};
  for (int i = 0; i < odd_entries; ++i) {
    changed.leafs.push_back({"odd " + std::to_string(i), std::nullopt});
  }
  changed.leafs.push_back({"a", std::nullopt});
  reduce(registry.node, changed, start_time);
  CHECK_FALSE(registry.node.leafs.contains("a"));
}

}  // namespace ibis::serving
