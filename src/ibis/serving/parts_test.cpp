#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <map>               // for map

#include "ibis/serving/catalog.hpp"            // for find_route
#include "ibis/serving/concurrency_limit.hpp"  // for update_concurrency_limit
#include "ibis/serving/extra_budget.hpp"       // for extra_budget
#include "ibis/serving/leaf_state.hpp"         // for expected_cost
#include "ibis/serving/merge.hpp"              // for merge_records

namespace ibis::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::time_point start{std::chrono::hours(1)};

route make_route(std::string host, std::string prefix) {
  route value;
  value.name = prefix;
  value.host = std::move(host);
  value.prefix = std::move(prefix);
  return value;
}

std::string record(char first, char last) {
  return std::string(1, first) + std::string(14, 'm') + std::string(1, last);
}

}  // namespace

TEST_CASE("A request takes the route with the longest matching prefix of its host") {
  catalog value;
  value.routes = {make_route("a", "/"), make_route("a", "/x/y/"),
                  make_route("a", "/x/"), make_route("b", "/x/y/z/")};
  index_routes(value);
  const auto route_name = [&value](const char* host, const char* target) {
    const route* found = find_route(value, host, target);
    return found == nullptr ? std::string("none") : found->name;
  };
  CHECK(route_name("a", "/x/y/z/q?r=/s/") == "/x/y/");
  CHECK(route_name("A:80", "/x/y") == "/x/");
  CHECK(route_name("a", "/xy/") == "/");
  CHECK(route_name("b", "/x/y/") == "none");
  CHECK(route_name("c", "/") == "none");
  CHECK(route_name("a", "/x?/y/") == "/");
}

TEST_CASE("Split routes keep to their weights over short runs") {
  route value;
  value.targets = {{"a", 3}, {"b", 1}, {"c", 0}};
  std::map<std::string, int> counts;
  double position = 0;
  for (int i = 0; i < 200; ++i) {
    position += 0.6180339887498949;
    position -= position >= 1 ? 1 : 0;
    ++counts[choose_target(value, position)];
  }
  CHECK(counts["a"] >= 147);
  CHECK(counts["a"] <= 153);
  CHECK(counts["c"] == 0);
}

TEST_CASE(
    "The number of required shards is rounded up, but not by floating-point error") {
  route value;
  value.shards.resize(20);
  value.min_shard_share = 0.89;
  CHECK(required_shards(value) == 18);
  value.min_shard_share = 0.9;
  CHECK(required_shards(value) == 18);
  value.min_shard_share = 0;
  CHECK(required_shards(value) == 1);
}

TEST_CASE(
    "A merge returns the greatest records in descending order and keeps duplicates") {
  const std::string left = record('a', 'x') + record('z', 'a') + "rest";
  const std::string right = record('z', 'b') + record('z', 'a') + record('\xff', 'a');
  CHECK(merge_records({left, right}, 4) ==
        record('\xff', 'a') + record('z', 'b') + record('z', 'a') + record('z', 'a'));
  CHECK(merge_records({left}, 10) == record('z', 'a') + record('a', 'x'));
  CHECK(merge_records({}, 3).empty());
}

TEST_CASE("Extra requests stay within ratio and slack in every window") {
  const extra_budget_settings settings{0.2, 5, seconds(10)};
  extra_budget budget;
  std::vector<std::pair<base::time_point, bool>> spent;
  for (int ms = 0; ms < 60000; ms += 20) {
    const base::time_point now = start + milliseconds(ms);
    if (ms < 30000) {
      budget.count_request(now, settings);
    }
    if (budget.try_spend(now, settings)) {
      spent.emplace_back(now, true);
    }
  }
  for (const auto& [from, unused] : spent) {
    const auto in_window =
        std::count_if(spent.begin(), spent.end(), [from = from](const auto& entry) {
          return entry.first >= from && entry.first < from + seconds(10);
        });
    // That window and the one before it have at most 500 requests each.
    CHECK(static_cast<double>(in_window) <= 0.2 * 500 + 5);
  }
  CHECK(spent.size() > 200);
}

TEST_CASE(
    "The concurrency limit falls while a leaf answers late and rises once it "
    "recovers") {
  const leaf_settings settings;
  leaf_state leaf;
  base::time_point now = start;
  for (int i = 0; i < 30; ++i) {
    now += milliseconds(200);
    update_concurrency_limit(leaf, milliseconds(150), milliseconds(10), now, settings);
  }
  CHECK(leaf.concurrency_limit == Approx(settings.min_limit));
  CHECK_FALSE(has_capacity(leaf, now));
  CHECK(has_capacity(leaf, now + settings.max_pacing_delay * 5));
  for (int i = 0; i < 30; ++i) {
    now += milliseconds(200);
    update_concurrency_limit(leaf, milliseconds(10), milliseconds(10), now, settings);
  }
  CHECK(leaf.concurrency_limit > 3);
  CHECK(has_capacity(leaf, now));
}

TEST_CASE("A leaf with an overdue request is suspect and costs more than a slow leaf") {
  const leaf_settings settings;
  leaf_state paused;
  paused.running.push_back({{1}, start, milliseconds(30)});
  leaf_state slow;
  update_slowness(slow, milliseconds(100), milliseconds(10), start, settings);
  const base::time_point now = start + milliseconds(31);
  CHECK(is_suspect(paused, now));
  CHECK(expected_cost(paused, true, now, settings) >
        expected_cost(slow, true, now, settings));
  CHECK(expected_cost(slow, true, now, settings) >
        expected_cost(leaf_state{}, false, now, settings));
}

TEST_CASE("The recorded slowness of a leaf decays over time") {
  const leaf_settings settings;
  leaf_state leaf;
  update_slowness(leaf, milliseconds(200), milliseconds(10), start, settings);
  const double initially = current_slowness(leaf, start, settings);
  CHECK(initially > 3);
  CHECK(current_slowness(leaf, start + seconds(10), settings) < 1.5);
}

}  // namespace ibis::serving
