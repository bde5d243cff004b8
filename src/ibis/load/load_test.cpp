#include <algorithm>         // for count_if
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

#include "ibis/load/experiment.hpp"  // for make_schedule
#include "ibis/load/report.hpp"      // for write_report
#include "ibis/load/result.hpp"      // for summarize

namespace ibis::load {
namespace {

using std::chrono::milliseconds;

experiment sample() {
  experiment value;
  value.name = "sample";
  value.rate = 1000;
  value.warm_up = milliseconds(0);
  value.duration = milliseconds(10000);
  value.mix.resize(2);
  value.mix[0].weight = 3;
  value.mix[1].weight = 1;
  return value;
}

TEST_CASE("Schedules keep the rate and the mix, and repeat for a seed") {
  for (const auto process :
       {arrival_process::constant, arrival_process::poisson, arrival_process::bursts}) {
    experiment value = sample();
    value.arrivals = process;
    const auto schedule = make_schedule(value);
    CHECK(schedule.size() > 9500);
    CHECK(schedule.size() < 10500);
    const auto firsts =
        std::count_if(schedule.begin(), schedule.end(),
                      [](const arrival& item) { return item.item == 0; });
    CHECK(static_cast<double>(firsts) / static_cast<double>(schedule.size()) ==
          Approx(0.75).margin(0.03));
    const auto again = make_schedule(value);
    CHECK(again.size() == schedule.size());
    CHECK(again.back().at == schedule.back().at);
  }
}

TEST_CASE("A wrong experiment is refused with all errors") {
  const auto source = config::parse_document(
      "{name: x, rate: -1, arrivals: sometimes, mix: [{kind: poll}]}", "e.yaml");
  CHECK(parse_experiment(source.value()).errors.size() == 4);
}

std::vector<observation> sample_observations() {
  std::vector<observation> seen;
  for (int i = 1; i <= 1000; ++i) {
    observation item;
    item.series = i % 2 == 0 ? "a" : "b";
    item.outcome = i % 100 == 0 ? "partial" : "complete";
    item.intended = milliseconds(i);
    item.latency = milliseconds(i);
    item.covered = i % 100 == 0 ? 1 : 2;
    item.total = 2;
    seen.push_back(item);
  }
  return seen;
}

TEST_CASE("Observations are summed up by series and over time") {
  const auto result = summarize("r", sample_observations());
  const series_summary& all = result.series.at("all");
  CHECK(all.requests == 1000);
  CHECK(all.latency.p50_ms == Approx(500).margin(1));
  CHECK(all.latency.p99_ms == Approx(990).margin(1));
  CHECK(all.outcomes.at("partial") == 10);
  CHECK(all.coverage == Approx(1990.0 / 2000.0));
  CHECK(result.series.at("a").requests == 500);
  CHECK(result.slices.size() == 3);
}

TEST_CASE("A result survives writing, and its report stands alone") {
  const auto result = summarize("r", sample_observations());
  const auto again = read_result(write_result(result));
  REQUIRE(again);
  CHECK(write_result(again.value()) == write_result(result));
  CHECK_FALSE(read_result("{}"));
  const std::string page = write_report({result, again.value()});
  CHECK(page.find("<svg") != std::string::npos);
  CHECK(page.find("http") == std::string::npos);
  CHECK(page.find(">nan") == std::string::npos);
}

}  // namespace
}  // namespace ibis::load
