// The choice of leafs by expected cost, over virtual time.
#include <algorithm>         // for sort
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK, WARN
#include <map>               // for map
#include <random>            // for mt19937_64
#include <string>            // for string, to_string
#include <vector>            // for vector

#include "ibis/cost/cost_table.hpp"  // for cost_table
#include "serving_fleet.hpp"         // for serving_fleet

namespace ibis::tests {
namespace {

using standins::fleet_leaf;
using standins::serving_fleet;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t leaf_count = 3;
constexpr double cheap_ms = 6.7;
constexpr double costly_ms = 20;

/// What a run is made of.
struct run_options {
  bool by_cost = false;
  double load = 0.65;  ///< Share of the slots' time.
  bool pauses = true;
  double slow_pace = 1.0;  ///< Of the first leaf.
  bool reports_load = false;
  double table_factor = 1.0;  ///< Error of the table at the start; reversed above 1.
  seconds length{20};
};

/// Times of the cheap requests, and where they and the others ran.
struct run_result {
  std::vector<double> cheap;   ///< In milliseconds, sorted.
  std::vector<double> costly;  ///< In milliseconds, sorted.
  std::map<std::string, std::size_t> arrivals;
  std::uint64_t postponed = 0;
  std::uint64_t hedges = 0;
};

double quantile(const std::vector<double>& sorted, double share) {
  return sorted.empty() ? 0
                        : sorted.at(static_cast<std::size_t>(
                              share * static_cast<double>(sorted.size() - 1)));
}

microseconds from_ms(double value) {
  return microseconds(static_cast<microseconds::rep>(value * 1000));
}

serving::catalog make_routes() {
  serving::catalog catalog = standins::make_catalog(1, {}, "one");
  for (serving::route& route : catalog.routes) {
    route.objective = route.name == "urgent" ? milliseconds(60) : milliseconds(200);
  }
  return catalog;
}

void add_leafs(serving_fleet& fleet, const run_options& options) {
  for (std::size_t i = 0; i < leaf_count; ++i) {
    fleet_leaf& leaf = fleet.add_leaf("leaf-" + std::to_string(i), "one");
    leaf.reports_load = options.reports_load;
    leaf.pace = i == 0 ? options.slow_pace : 1.0;
    leaf.work = [](const serving::inbound_request& request, std::mt19937_64& random) {
      std::uniform_real_distribution<double> factor(0.8, 1.2);
      const double work = request.target == "/urgent/" ? cheap_ms : costly_ms;
      return base::duration(from_ms(work * factor(random)));
    };
  }
}

/// Teaches the node's table costs that are wrong by a factor, in the wrong order.
void teach_wrong_costs(serving_fleet& fleet, double factor) {
  for (int i = 0; i < 200; ++i) {
    fleet.node.costs.add({"urgent", 0, ""}, from_ms(cheap_ms * factor), fleet.now());
    fleet.node.costs.add({"read", 0, ""}, from_ms(costly_ms / factor), fleet.now());
  }
}

run_result run(std::uint64_t seed, const run_options& options) {
  serving::node_settings settings = standins::unlimited_budget_settings();
  settings.leafs.by_cost = options.by_cost;
  serving_fleet fleet(seed, settings);
  add_leafs(fleet, options);
  fleet.configure(make_routes());
  fleet.start();
  if (options.table_factor != 1.0) {
    teach_wrong_costs(fleet, options.table_factor);
  }
  std::mt19937_64 random(seed);
  // One request in four is expensive.
  const double mean_work = 0.75 * cheap_ms + 0.25 * costly_ms;
  const double slots = 2.0 * leaf_count;
  std::exponential_distribution<double> gap_ms(options.load * slots / mean_work);
  std::map<base::caller_id, std::pair<base::time_point, bool>> sent;
  const base::time_point end = fleet.now() + options.length;
  base::time_point next_pause = fleet.now() + milliseconds(1500);
  for (int i = 0; fleet.now() < end; ++i) {
    fleet.run_for(from_ms(gap_ms(random)));
    if (options.pauses && fleet.now() >= next_pause) {
      fleet.leafs.at("leaf-" + std::to_string(random() % leaf_count)).paused_until =
          fleet.now() + milliseconds(200);
      next_pause = fleet.now() + milliseconds(1500);
    }
    const bool costly = random() % 4 == 0;
    const base::time_point at = fleet.now();
    const auto caller =
        fleet.send_request("r" + std::to_string(i), costly ? "/read/" : "/urgent/");
    sent[caller] = {at, costly};
  }
  fleet.run_for(seconds(2));
  run_result result;
  for (const standins::client_answer& answer : fleet.answers) {
    const auto& [at, costly] = sent.at(answer.caller);
    (costly ? result.costly : result.cheap).push_back(base::to_ms(answer.at - at));
  }
  std::sort(result.cheap.begin(), result.cheap.end());
  std::sort(result.costly.begin(), result.costly.end());
  for (const standins::leaf_arrival& arrival : fleet.arrivals) {
    ++result.arrivals[arrival.leaf];
  }
  result.postponed = fleet.node.count.hedges_postponed;
  result.hedges = fleet.node.count.hedges;
  return result;
}

/// Figures of some seeds together.
struct summary {
  double cheap_median = 0;
  double cheap_p99 = 0;
  double cheap_worst = 0;
  double costly_p99 = 0;
  double slow_share = 0;  ///< Of the requests, at the first leaf.
};

constexpr std::uint64_t seeds = 4;

summary run_all(const char* name, const run_options& options) {
  summary sums;
  std::string text = std::string(name) + (options.by_cost ? " by cost" : " by count");
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const run_result result = run(seed, options);
    sums.cheap_median += quantile(result.cheap, 0.5) / seeds;
    sums.cheap_p99 += quantile(result.cheap, 0.99) / seeds;
    sums.cheap_worst = std::max(sums.cheap_worst, result.cheap.back());
    sums.costly_p99 += quantile(result.costly, 0.99) / seeds;
    double all = 0;
    for (const auto& [leaf, count] : result.arrivals) {
      all += static_cast<double>(count);
    }
    sums.slow_share += static_cast<double>(result.arrivals.at("leaf-0")) / all / seeds;
    text += "\n  seed " + std::to_string(seed) + ": cheap p99 " +
            std::to_string(quantile(result.cheap, 0.99)) + " worst " +
            std::to_string(result.cheap.back()) + ", costly p99 " +
            std::to_string(quantile(result.costly, 0.99)) + ", hedges " +
            std::to_string(result.hedges) + " postponed " +
            std::to_string(result.postponed);
  }
  text += "\n  mean: cheap median " + std::to_string(sums.cheap_median) + " p99 " +
          std::to_string(sums.cheap_p99) + " worst " +
          std::to_string(sums.cheap_worst) + ", costly p99 " +
          std::to_string(sums.costly_p99) + ", share of leaf-0 " +
          std::to_string(sums.slow_share);
  WARN(text);
  return sums;
}

run_options with_cost(run_options options) {
  options.by_cost = true;
  return options;
}

}  // namespace

// Guards against cheap requests that are sent behind expensive ones: routes of 6.7 ms
// and of 20 ms share leafs of two slots.
TEST_CASE("Choosing by cost does not delay the cheap route's requests") {
  for (const bool pauses : {false, true}) {
    run_options options;
    options.pauses = pauses;
    const summary counted = run_all(pauses ? "pauses" : "steady", options);
    const summary costed = run_all(pauses ? "pauses" : "steady", with_cost(options));
    CHECK(costed.cheap_p99 <= counted.cheap_p99);
    CHECK(costed.cheap_median <= counted.cheap_median * 1.02);
  }
}

// Guards against a leaf that other programs slow down, which it reports.
TEST_CASE("A leaf that reports a pace of 250 gets less than its share") {
  run_options options;
  options.pauses = false;
  options.load = 0.4;
  options.slow_pace = 2.5;
  options.reports_load = true;
  const summary counted = run_all("slow", options);
  const summary costed = run_all("slow", with_cost(options));
  CHECK(costed.slow_share < 1.0 / leaf_count);
  CHECK(costed.cheap_p99 <= counted.cheap_p99);
}

// Guards against a table whose classes are wrong by ten and in the wrong order.
TEST_CASE("A wrong table does no more harm than none") {
  run_options options;
  options.length = seconds(10);
  const summary counted = run_all("wrong table", options);
  options.table_factor = 10;
  const summary costed = run_all("wrong table", with_cost(options));
  CHECK(costed.cheap_p99 <= counted.cheap_p99 * 1.1);
}

}  // namespace ibis::tests
