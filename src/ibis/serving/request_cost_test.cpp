#include "ibis/serving/request_cost.hpp"

#include <algorithm>         // for count_if
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK, REQUIRE
#include <variant>           // for get_if

#include "ibis/serving/connections.hpp"  // for mark_busy, open_connection_to
#include "ibis/serving/node.hpp"         // for make_node

namespace ibis::serving {
namespace {

using std::chrono::milliseconds;

constexpr base::time_point start_time{std::chrono::hours(1)};
const cost::class_key cheap{"cheap", 0, ""};

/// A node with a leaf of two slots and requests of a known class there.
struct cost_setup {
  node_state node = make_node({}, 1);
  effects out;
  context ctx{start_time, node, out};
  leaf_ptr leaf = std::make_shared<leaf_state>();

  cost_setup() {
    node.settings.leafs.by_cost = true;
    leaf->record.slots = 2;
    for (int i = 0; i < 20; ++i) {
      node.costs.add(cheap, milliseconds(10), start_time);
    }
  }
  base::connection_id send() {
    const base::connection_id id = open_connection_to(leaf, {}, 0, ctx);
    mark_idle(id, ctx);
    connection_use use;
    use.cost_class = cost::classify("cheap", 0, "");
    use.expected = milliseconds(10);
    mark_busy(id, use, ctx);
    return id;
  }
  void answer(base::connection_id id, const leaf_answer& value) {
    note_load(*leaf, id, value, ctx);
    note_cost(*leaf, id, value, ctx);
    mark_idle(id, ctx);
  }
  [[nodiscard]] double mean_ms() const {
    return base::to_ms(node.costs.find(cost::classify("cheap", 0, ""), ctx.now)->mean);
  }
};

leaf_answer success() {
  leaf_answer value;
  value.status = 200;
  return value;
}

}  // namespace

// Guards against queueing that is learned as cost: two slots and three requests.
TEST_CASE("Only requests that found an idle slot are learned from") {
  cost_setup setup;
  const auto first = setup.send();
  setup.send();
  const auto third = setup.send();
  CHECK(setup.leaf->running.at(1).found_idle_slot);
  CHECK_FALSE(setup.leaf->running.at(2).started_at);
  setup.ctx.now += milliseconds(10);
  setup.answer(first, success());
  CHECK(setup.leaf->running.at(1).started_at == setup.ctx.now);
  CHECK(setup.mean_ms() == Approx(10));
  setup.ctx.now += milliseconds(10);
  setup.answer(third, success());
  CHECK(setup.mean_ms() == Approx(10));
}

// Guards against the queues of other nodes, a slow machine and failures that are
// learned as cost.
TEST_CASE(
    "A report of waiting requests or of a pace keeps the cost, as does a failure") {
  cost_setup setup;
  const auto send_and_answer = [&](leaf_answer value, milliseconds taken) {
    const auto id = setup.send();
    setup.ctx.now += taken;
    setup.answer(id, value);
  };
  leaf_answer waiting = success();
  waiting.load = cost::load_report{2, 3, 2, {}};
  send_and_answer(waiting, milliseconds(35));
  CHECK(setup.mean_ms() == Approx(10));
  leaf_answer slow = success();
  slow.load = cost::load_report{1, 0, 2, 2.5};
  send_and_answer(slow, milliseconds(25));
  CHECK(setup.mean_ms() == Approx(10));
  leaf_answer failed = success();
  failed.status = 500;
  send_and_answer(failed, milliseconds(1));
  CHECK(setup.mean_ms() == Approx(10));
  send_and_answer(success(), milliseconds(20));
  CHECK(setup.mean_ms() > 10);
}

// Guards against other decisions than by count before anything is known.
TEST_CASE("Without a table, load costs what it costs by count") {
  cost_setup setup;
  setup.node.costs = cost::cost_table();
  CHECK(load_cost(*setup.leaf, {}, setup.ctx) == Approx(1.0));
  setup.send();
  setup.send();
  CHECK(load_cost(*setup.leaf, {}, setup.ctx) == Approx(1.6));
}

// Guards against own requests that count twice, and against a report that stays in
// force.
TEST_CASE("A report adds others' requests and the pace, and ages") {
  cost_setup setup;
  const auto first = setup.send();
  setup.send();
  leaf_answer value = success();
  value.load = cost::load_report{1, 0, 2, 2.0};
  setup.answer(first, value);
  CHECK(setup.leaf->load->others == 0);
  const double fresh = load_cost(*setup.leaf, milliseconds(10), setup.ctx);
  CHECK(fresh == Approx(2.0 * 1.3));
  setup.ctx.now += milliseconds(600);
  CHECK(load_cost(*setup.leaf, milliseconds(10), setup.ctx) == Approx(1.3));
  leaf_answer unreadable = success();
  unreadable.load_unreadable = true;
  const auto next = setup.send();
  setup.answer(next, unreadable);
  CHECK(setup.node.count.leaf_loads_ignored == 1);
}

// Guards against a log that a paused leaf fills.
TEST_CASE(
    "Requests far above their expected cost are counted, and logged once a second") {
  cost_setup setup;
  for (int i = 0; i < 5; ++i) {
    const auto id = setup.send();
    setup.ctx.now += milliseconds(100);
    setup.answer(id, success());
  }
  const auto is_line = [](const effect& value) {
    const auto* line = std::get_if<log_line>(&value);
    return line != nullptr && std::string(line->name) == "request_cost_exceeded";
  };
  CHECK(setup.node.count.costs_exceeded == 5);
  CHECK(std::count_if(setup.out.begin(), setup.out.end(), is_line) == 1);
}

}  // namespace ibis::serving
