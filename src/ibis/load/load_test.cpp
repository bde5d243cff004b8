#include <algorithm>         // for count_if
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

#include "ibis/load/experiment.hpp"  // for make_schedule
#include "ibis/load/report.hpp"      // for write_report
#include "ibis/load/result.hpp"      // for summarize

namespace ibis::load {
namespace {

using std::chrono::milliseconds;

experiment sample_experiment() {
  experiment spec;
  spec.name = "sample";
  spec.rate = 1000;
  spec.warm_up = milliseconds(0);
  spec.duration = milliseconds(10000);
  spec.mix.resize(2);
  spec.mix[0].weight = 3;
  spec.mix[1].weight = 1;
  return spec;
}

TEST_CASE(
    "A schedule follows the rate and the mix, and is the same for the same seed") {
  for (const auto arrivals :
       {arrival_process::constant, arrival_process::poisson, arrival_process::bursts}) {
    experiment spec = sample_experiment();
    spec.arrivals = arrivals;
    const auto schedule = make_schedule(spec);
    CHECK(schedule.size() > 9500);
    CHECK(schedule.size() < 10500);
    const auto first_item_count =
        std::count_if(schedule.begin(), schedule.end(),
                      [](const arrival& request) { return request.mix_index == 0; });
    CHECK(static_cast<double>(first_item_count) /
              static_cast<double>(schedule.size()) ==
          Approx(0.75).margin(0.03));
    const auto repeated_schedule = make_schedule(spec);
    CHECK(repeated_schedule.size() == schedule.size());
    CHECK(repeated_schedule.back().start_offset == schedule.back().start_offset);
  }
}

TEST_CASE("Parsing an invalid experiment reports every error") {
  const auto source = config::parse_document(
      "{name: x, rate: -1, arrivals: sometimes, mix: [{kind: poll}]}", "e.yaml");
  CHECK(parse_experiment(source.value()).errors.size() == 4);
}

std::vector<observation> sample_observations() {
  std::vector<observation> observations;
  for (int i = 1; i <= 1000; ++i) {
    observation observed;
    observed.series = i % 2 == 0 ? "a" : "b";
    observed.outcome = i % 100 == 0 ? "partial" : "complete";
    observed.intended_start = milliseconds(i);
    observed.latency = milliseconds(i);
    observed.covered_shards = i % 100 == 0 ? 1 : 2;
    observed.total_shards = 2;
    observations.push_back(observed);
  }
  return observations;
}

TEST_CASE("Observations are summarized by series and by time slice") {
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

TEST_CASE("A result round-trips through JSON, and its HTML report is self-contained") {
  const auto result = summarize("r", sample_observations());
  const auto parsed = parse_result(serialize_result(result));
  REQUIRE(parsed);
  CHECK(serialize_result(parsed.value()) == serialize_result(result));
  CHECK_FALSE(parse_result("{}"));
  const std::string html = render_html_report({result, parsed.value()});
  CHECK(html.find("<svg") != std::string::npos);
  CHECK(html.find("http") == std::string::npos);
  CHECK(html.find(">nan") == std::string::npos);
}

// Guards against a comparison that ends the process because one result is empty.
TEST_CASE("A report of a result without requests has empty plots") {
  const auto parsed = parse_result(serialize_result(summarize("none", {})));
  REQUIRE(parsed);
  CHECK(overall(parsed.value()).requests == 0);
  const std::string html = render_html_report({parsed.value()});
  CHECK(html.find("<svg") != std::string::npos);
  CHECK(html.find(">nan") == std::string::npos);
}

}  // namespace
}  // namespace ibis::load
