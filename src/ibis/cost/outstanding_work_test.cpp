#include "ibis/cost/outstanding_work.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

#include "ibis/cost/load_report.hpp"  // for receive_report

namespace ibis::cost {
namespace {

using std::chrono::milliseconds;

constexpr base::time_point now{std::chrono::hours(1)};
const request_class cheap = classify("cheap", 0, "");
const request_class costly = classify("costly", 0, "");

cost_table make_table(int cheap_ms, int costly_ms) {
  cost_table table;
  for (int i = 0; i < 200; ++i) {
    table.add({"cheap", 0, ""}, milliseconds(cheap_ms), now);
    table.add({"costly", 0, ""}, milliseconds(costly_ms), now);
  }
  return table;
}

double work_ms(const cost_table& table, const std::vector<request_in_flight>& requests,
               const leaf_load& load = {2, 1.0, 0.0}) {
  return base::to_ms(outstanding_work(table, requests, load, milliseconds(7), now));
}

}  // namespace

// Guards against a cheap request that is sent behind one expensive request instead of
// two cheap ones, at leafs of two slots.
TEST_CASE("An expensive request counts as more work than two cheap ones") {
  const cost_table table = make_table(7, 20);
  CHECK(work_ms(table, {}) == 0);
  CHECK(work_ms(table, {{costly, {}}}) > work_ms(table, {{cheap, {}}, {cheap, {}}}));
  CHECK(work_ms(table, {{costly, milliseconds(18)}}) < work_ms(table, {{cheap, {}}}));
}

// Guards against decisions that change before anything is learned.
TEST_CASE("Without a table, requests are counted") {
  const cost_table table;
  const double one = work_ms(table, {{costly, milliseconds(3)}});
  CHECK(one == Approx(unknown_residual * 7 / 2));
  CHECK(work_ms(table, {{costly, {}}, {cheap, {}}}) == Approx(2 * one));
}

// Guards against a leaf that a wrong table makes look idle or hopeless.
TEST_CASE("A table that is wrong by ten has a bounded influence") {
  const cost_table table = make_table(7, 200);
  const double counted = work_ms(cost_table(), {{costly, {}}});
  CHECK(work_ms(table, {{costly, {}}}) <= 4.0 / unknown_residual * counted + 0.01);
  const cost_table reverse = make_table(70, 2);
  CHECK(work_ms(reverse, {{costly, {}}}) >= 0.1 * 7 / 2);
}

// Guards against a slow leaf, or one that other nodes load, that looks idle.
TEST_CASE("Pace, slots and other nodes' requests count") {
  const cost_table table = make_table(7, 20);
  const std::vector<request_in_flight> one{{cheap, {}}};
  CHECK(work_ms(table, one, {2, 2.5, 0}) == Approx(2.5 * work_ms(table, one)));
  CHECK(work_ms(table, one, {4, 1, 0}) == Approx(work_ms(table, one) / 2));
  CHECK(work_ms(table, one, {2, 1, 3}) > work_ms(table, one));
  CHECK(work_ms(table, one, {0, 1, 0}) > 0);
  CHECK(outstanding_work(table, one, {}, milliseconds(0), now).count() == 0);
}

// Guards against a report that is followed when the pace has long changed.
TEST_CASE("A report ages to the usual within a few hundred milliseconds") {
  const auto received = receive_report({2, 3, 2, 2.5}, 1, now);
  CHECK(current_pace(received, 1.0, now) == 2.5);
  CHECK(current_others(received, 2, now) == 4);
  CHECK(current_pace(received, 1.0, now + milliseconds(100)) == Approx(1.75));
  CHECK(current_pace(received, 1.0, now + milliseconds(400)) < 1.1);
  CHECK(current_pace(received, 1.0, now + milliseconds(500)) == 1.0);
  CHECK(current_others(received, 2, now + milliseconds(500)) == 0);
}

// Guards against a leaf that reports absurd figures and then gets all or no requests.
TEST_CASE("The influence of a report is bounded") {
  const auto huge = receive_report({1000000, 1000000, 2, 1000.0}, 1, now);
  CHECK(current_pace(huge, 1.0, now) == 5.0);
  CHECK(current_others(huge, 2, now) == 16);
  const auto low = receive_report({0, 0, 2, 0.0001}, 5, now);
  CHECK(current_pace(low, 1.0, now) == 0.25);
  CHECK(current_others(low, 2, now) == 0);
  CHECK(current_pace(receive_report({}, 0, now), 1.3, now) == 1.3);
}

}  // namespace ibis::cost
