#include "ibis/serving/node_records.hpp"

#include <algorithm>         // for all_of, max, none_of
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <optional>          // for optional
#include <set>               // for set
#include <string>            // for string, to_string
#include <vector>            // for vector

#include "ibis/serving/connection_quota.hpp"  // for service_budget
#include "ibis/serving/node.hpp"              // for make_node, next_tick, reduce, start

namespace ibis::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start_time{std::chrono::hours(1)};
constexpr std::size_t page_size = 50;

/// @return The names under which a fleet's nodes have their records, in order.
std::string name_of_node(std::size_t index) {
  constexpr std::size_t first_number = 1000;  // So that all names have the same size.
  return "node-" + std::to_string(first_number + index);
}

/// The nodes' records in a store that lists them in pages and can refuse writes.
class record_store {
 public:
  /// @return The event that a node gets for a call of the store.
  std::optional<event> call(const effect& value, const std::string& node) {
    if (std::holds_alternative<register_node>(value)) {
      ++writes;
      if (!refuses_writes) {
        records.insert(node);
      }
      return node_record_written{!refuses_writes};
    }
    if (const auto* count = std::get_if<count_nodes>(&value)) {
      return refuses_counts ? event(node_count_failed{}) : page_after(*count, node);
    }
    return std::nullopt;
  }

  std::set<std::string> records;
  bool refuses_writes = false;
  bool refuses_counts = false;
  std::size_t writes = 0;

 private:
  [[nodiscard]] event page_after(const count_nodes& request,
                                 const std::string& node) const {
    nodes_counted page;
    auto next = records.upper_bound(request.after);
    std::string last;
    for (; next != records.end() && page.count < page_size; ++next) {
      last = *next;
      ++page.count;
      page.self = page.self || last == node;
      if (last != node) {
        page.peers.push_back({last, "10.0.0.1:1", "zone"});
      }
    }
    page.next_page_after = next == records.end() ? "" : last;
    return page;
  }
};

/// Nodes that start together, each with its own clock of timers.
class starting_fleet {
 public:
  explicit starting_fleet(std::size_t size) {
    for (std::size_t index = 0; index < size; ++index) {
      nodes.push_back(make_node({}, static_cast<std::uint32_t>(index) + 1));
    }
  }

  void start_all() {
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      carry_out(index, start(nodes[index], now_));
    }
  }

  void run_until(base::time_point end) {
    constexpr milliseconds step{100};
    for (; now_ <= end; now_ += step) {
      for (std::size_t index = 0; index < nodes.size(); ++index) {
        const auto due = next_tick(nodes[index]);
        if (due && *due <= now_) {
          carry_out(index, reduce(nodes[index], tick{}, now_));
        }
      }
    }
  }

  [[nodiscard]] bool all_know(std::size_t count) const {
    return std::all_of(nodes.begin(), nodes.end(), [count](const node_state& node) {
      return node.nodes == count && node.peers.size() == count - 1;
    });
  }

  record_store store;
  std::vector<node_state> nodes;

 private:
  void carry_out(std::size_t index, const effects& out) {
    for (const effect& value : out) {
      if (const auto result = store.call(value, name_of_node(index))) {
        carry_out(index, reduce(nodes[index], *result, now_));
      }
    }
  }

  base::time_point now_ = start_time;
};

/// The size that the design has to bear.
constexpr std::size_t fleet_size = 920;

}  // namespace

// Guards against budgets, connection limits and holders that are worked out for the
// nodes of the first page alone.
TEST_CASE("All nodes are counted when their records fill many pages") {
  starting_fleet fleet(fleet_size);
  fleet.start_all();
  fleet.run_until(start_time + seconds(15));
  CHECK(fleet.store.records.size() == fleet_size);
  CHECK(fleet.all_know(fleet_size));
  CHECK(fleet.store.writes == fleet_size);
}

// Guards against nodes that the others never count because the store refused to write
// their records once.
TEST_CASE("Refused records are written once the store takes them") {
  for (const seconds refused : {seconds(1), seconds(30)}) {
    INFO(refused.count());
    starting_fleet fleet(fleet_size);
    fleet.store.refuses_writes = true;
    fleet.start_all();
    fleet.run_until(start_time + refused);
    fleet.store.refuses_writes = false;
    const node_settings defaults;
    const base::time_point bound = start_time + refused +
                                   defaults.store.record_backoff_limit +
                                   defaults.store.count_period;
    fleet.run_until(bound + seconds(1));
    CHECK(fleet.store.records.size() == fleet_size);
    CHECK(fleet.all_know(fleet_size));
  }
}

TEST_CASE("Refused writes are spread and become rarer") {
  starting_fleet fleet(fleet_size);
  fleet.store.refuses_writes = true;
  fleet.start_all();
  fleet.run_until(start_time + seconds(30));
  const std::size_t before = fleet.store.writes;
  std::size_t most = 0;
  for (int second = 31; second <= 60; ++second) {
    const std::size_t earlier = fleet.store.writes;
    fleet.run_until(start_time + seconds(second));
    most = std::max(most, fleet.store.writes - earlier);
  }
  // The longest delay is 8 s and half of it is random, so that each node writes at most
  // once in 4 s, and not all in the same second.
  CHECK(fleet.store.writes - before <= fleet_size * 30 / 4);
  CHECK(most <= fleet_size / 2);
}

// Guards against a count that is replaced by a part of itself when a later page fails.
TEST_CASE("A count that breaks off changes nothing and is tried again") {
  starting_fleet fleet(page_size * 3);
  fleet.start_all();
  fleet.run_until(start_time + seconds(12));
  REQUIRE(fleet.all_know(page_size * 3));
  fleet.store.refuses_counts = true;
  fleet.run_until(start_time + seconds(60));
  CHECK(fleet.all_know(page_size * 3));
  fleet.store.refuses_counts = false;
  fleet.store.records.erase(name_of_node(0));
  const node_settings defaults;
  fleet.run_until(start_time + seconds(61) + defaults.store.record_backoff_limit);
  // The node whose record is gone writes it again.
  CHECK(fleet.store.records.contains(name_of_node(0)));
}

TEST_CASE("With each count, the budgets that are nearly spent are logged") {
  node_state node = make_node({}, 1);
  start(node, start_time);
  nodes_counted alone;
  alone.count = 1;
  alone.self = true;
  reduce(node, alone, start_time);
  const base::time_point later = start_time + seconds(20);
  extra_budget& budget = node.services["s"].budget;
  const extra_budget_settings settings = service_budget(node, "s", later);
  while (budget.try_spend(later, settings)) {
  }
  std::size_t lines = 0;
  for (const effect& value : reduce(node, alone, later)) {
    const auto* line = std::get_if<log_line>(&value);
    lines +=
        line != nullptr && std::string(line->name) == "extra_requests_spent" ? 1 : 0;
  }
  CHECK(lines == 1);
}

TEST_CASE("A count whose pages do not advance is given up") {
  node_state node = make_node({}, 1);
  start(node, start_time);
  nodes_counted page{1, false, {{"a", "10.0.0.1:1", "zone"}}, "a"};
  reduce(node, page, start_time);
  const effects out = reduce(node, page, start_time);
  CHECK(std::none_of(out.begin(), out.end(), [](const effect& value) {
    return std::holds_alternative<count_nodes>(value);
  }));
  CHECK(node.peers.empty());
}

}  // namespace ibis::serving
