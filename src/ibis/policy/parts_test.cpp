#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <functional>        // for function

#include "ibis/policy/budget.hpp"          // for budget
#include "ibis/policy/latency_window.hpp"  // for latency_window
#include "ibis/policy/leaf_pool.hpp"       // for leaf_pools
#include "ibis/policy/platform_calls.hpp"  // for try_call_platform
#include "ibis/policy/timer_queue.hpp"     // for timer_queue
#include "ibis/policy/version_view.hpp"    // for choose_version

namespace ibis::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::time_point start_time{std::chrono::hours(1)};

TEST_CASE("Timers fire by due time, and in insertion order if due at the same time") {
  timer_queue timers;
  timers.add(start_time + seconds(2), timer_kind::query_deadline, 1);
  timers.add(start_time + seconds(1), timer_kind::query_deadline, 2);
  timers.add(start_time + seconds(1), timer_kind::query_deadline, 3);
  CHECK_FALSE(timers.pop_due(start_time));
  CHECK(timers.next_due() == start_time + seconds(1));
  CHECK(timers.pop_due(start_time + seconds(3))->subject == 2);
  CHECK(timers.pop_due(start_time + seconds(3))->subject == 3);
  CHECK(timers.pop_due(start_time + seconds(3))->subject == 1);
  CHECK_FALSE(timers.next_due());
}

TEST_CASE("A budget allows its share of extra attempts in the long run") {
  budget value{0.03, 50, 10};
  int spent = 0;
  for (int i = 0; i < 10000; ++i) {
    earn(value);
    spent += spend(value) ? 1 : 0;
  }
  CHECK(spent <= 310);
  CHECK(spent >= 300);
}

TEST_CASE("A latency window follows recent latencies") {
  latency_window window;
  CHECK(window.quantile(0.5, milliseconds(77)) == milliseconds(77));
  for (int i = 0; i < 20000; ++i) {
    window.record(milliseconds(2));
  }
  CHECK(window.quantile(0.99, {}) < milliseconds(3));
  for (int i = 0; i < 20000; ++i) {
    window.record(milliseconds(50));
  }
  CHECK(window.quantile(0.5, {}) > milliseconds(45));
  CHECK(window.quantile(0.5, {}) < milliseconds(56));
}

config::service make_service(std::size_t groups) {
  config::service service;
  service.name = "s";
  for (std::size_t group = 0; group < groups; ++group) {
    const auto shard = static_cast<config::shard_index>(group);
    service.groups.push_back({shard,
                              shard,
                              {{"a" + std::to_string(group), "x:1", 4, 100},
                               {"b" + std::to_string(group), "x:1", 4, 100}}});
  }
  return service;
}

TEST_CASE("The chosen version is the newest of those that cover the most shards") {
  const config::service service = make_service(3);
  version_view view;
  CHECK(choose_version(view, service) == 0);
  record_versions(view, 1, {{0, 5, 7}, {1, 5, 7}, {2, 5, 7}});
  CHECK(choose_version(view, service) == 7);
  record_versions(view, 1, {{1, 4, 6}});
  CHECK(choose_version(view, service) == 6);
  record_versions(view, 1, {{2, 9, 9}});
  CHECK(choose_version(view, service) == 6);
  record_versions(view, 2, {{2, 9, 9}});
  CHECK(choose_version(view, service) == 0);
}

/// A relay's pools with one group of two leafs whose connections are open.
struct pool_fixture {
  shared_state shared;
  effects out;
  context ctx{start_time, shared, out};
  leaf_pools pools;

  pool_fixture() {
    config::configuration value;
    value.zones = {{"z", ""}};
    value.services["s"] = std::make_shared<const config::service>(make_service(1));
    shared.nodes.node = "vm/relay";
    shared.nodes.zone = "z";
    set_configuration(shared.nodes,
                      std::make_shared<const config::configuration>(value), 1);
    set_relays(shared.nodes, {{"z", {"vm/relay"}}}, {});
    sync_pools(pools, ctx);
    for (int round = 0; round < 8; ++round) {
      maintain_pools(pools, ctx);
      open_all();
    }
  }

  void open_all() {
    std::vector<base::connection_id> opening;
    for (const auto& [id, connection] : pools.connections) {
      if (connection.phase == connection_phase::opening) {
        opening.push_back(id);
      }
    }
    for (const auto id : opening) {
      on_open_succeeded(pools, {id, {1, 3, false}}, ctx);
    }
  }

  leaf_state& leaf(const std::string& name) { return pools.leafs.at(name); }
  group_pool& group() { return pools.groups.at("s#0"); }
};

TEST_CASE(
    "A leaf's limit grows to its slots in slow start, then only while it is reached") {
  pool_fixture fixture;
  leaf_state& leaf = fixture.leaf("a0");
  CHECK(leaf.concurrency_limit == 1.0);
  for (int i = 0; i < 3; ++i) {
    record_success(fixture.pools, leaf, milliseconds(2), false, 50, start_time);
  }
  CHECK(leaf.concurrency_limit == 4.0);
  record_success(fixture.pools, leaf, milliseconds(2), false, 50, start_time);
  CHECK(leaf.concurrency_limit == 4.0);
  record_success(fixture.pools, leaf, milliseconds(2), true, 50, start_time);
  CHECK(leaf.concurrency_limit == 4.25);
  record_success(fixture.pools, leaf, milliseconds(2), true, 4, start_time);
  CHECK(leaf.concurrency_limit == 4.0);
}

TEST_CASE("Shedding decreases the limit once per pause, and never below one") {
  pool_fixture fixture;
  leaf_state& leaf = fixture.leaf("a0");
  leaf.concurrency_limit = 10;
  record_shed(fixture.pools, leaf, start_time);
  record_shed(fixture.pools, leaf, start_time);
  CHECK(leaf.concurrency_limit == Approx(7.0));
  for (int i = 1; i < 30; ++i) {
    record_shed(fixture.pools, leaf, start_time + seconds(i));
  }
  CHECK(leaf.concurrency_limit == 1.0);
}

TEST_CASE("Consecutive failures eject a leaf, but never more than half of a group") {
  pool_fixture fixture;
  for (int i = 0; i < 5; ++i) {
    record_failure(fixture.pools, fixture.leaf("a0"), fixture.ctx);
    record_failure(fixture.pools, fixture.leaf("b0"), fixture.ctx);
  }
  CHECK(fixture.leaf("a0").ejected_until > start_time);
  CHECK(fixture.leaf("b0").ejected_until <= start_time);
  CHECK(pick_leaf(fixture.pools, fixture.group(), 0, {}, start_time).leaf == "b0");
  CHECK(fixture.shared.count.ejections == 1);
}

TEST_CASE(
    "The replica with the least expected wait is picked, and a slow one is retried") {
  pool_fixture fixture;
  record_success(fixture.pools, fixture.leaf("a0"), milliseconds(2), false, 50,
                 start_time);
  record_success(fixture.pools, fixture.leaf("b0"), milliseconds(2), false, 50,
                 start_time);
  for (int i = 0; i < 50; ++i) {
    record_success(fixture.pools, fixture.leaf("a0"), milliseconds(20), false, 50,
                   start_time);
  }
  CHECK(pick_leaf(fixture.pools, fixture.group(), 0, {}, start_time).leaf == "b0");
  fixture.leaf("b0").in_flight = 2;
  const auto later = start_time + seconds(20);
  CHECK(pick_leaf(fixture.pools, fixture.group(), 0, {}, later).leaf == "a0");
}

struct pick_case {
  std::string name;
  std::function<void(leaf_state&, leaf_state&)> change;
  pick_failure failure;
};

TEST_CASE("pick_leaf reports why no replica can take a request") {
  const std::vector<pick_case> cases{
      {"no failure", [](leaf_state&, leaf_state&) {}, pick_failure::none},
      {"both are draining",
       [](leaf_state& a, leaf_state& b) { a.draining = b.draining = true; },
       pick_failure::draining},
      {"both are leaving",
       [](leaf_state& a, leaf_state& b) { a.leaving = b.leaving = true; },
       pick_failure::draining},
      {"one is draining, the other is at its limit",
       [](leaf_state& a, leaf_state& b) {
         a.draining = true;
         b.in_flight = 9;
       },
       pick_failure::busy},
      {"neither holds the version",
       [](leaf_state& a, leaf_state& b) {
         a.status = b.status = leaf_status{8, 9, false};
       },
       pick_failure::version_gone},
      {"neither can be reached",
       [](leaf_state& a, leaf_state& b) {
         for (auto* leaf : {&a, &b}) {
           leaf->open = 0;
           leaf->open_failures = 1;
           leaf->idle.clear();
         }
       },
       pick_failure::lost},
  };
  for (const pick_case& item : cases) {
    pool_fixture fixture;
    item.change(fixture.leaf("a0"), fixture.leaf("b0"));
    INFO(item.name);
    CHECK(pick_leaf(fixture.pools, fixture.group(), 3, {}, start_time).failure ==
          item.failure);
  }
}

TEST_CASE(
    "The total rate of claim calls does not depend on the number of live entries") {
  for (const std::size_t entries : {1U, 7U, 920U}) {
    platform_call_table table;
    divide_claim_rate(table.tuning, entries);
    CHECK(table.tuning.claim_rate * static_cast<double>(entries) == Approx(350.0));
    shared_state shared;
    effects out;
    context ctx{start_time, shared, out};
    platform_request request;
    request.purpose = platform_purpose::claim_create;
    CHECK(try_call_platform(table, request, ctx));
  }
}

TEST_CASE("Claims cannot use up the platform calls reserved for configuration") {
  shared_state shared;
  effects out;
  context ctx{start_time, shared, out};
  platform_call_table table;
  int claims = 0;
  for (int i = 0; i < 1000; ++i) {
    platform_request request;
    request.purpose = platform_purpose::claim_create;
    claims += try_call_platform(table, request, ctx) ? 1 : 0;
  }
  CHECK(claims == 100);
  CHECK(try_call_platform(table, {}, ctx));
  ctx.now += seconds(1);
  platform_request request;
  request.purpose = platform_purpose::claim_create;
  CHECK(try_call_platform(table, request, ctx));
}

}  // namespace
}  // namespace ibis::policy
