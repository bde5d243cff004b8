#include "ibis/load/experiment.hpp"

#include <random>  // for mt19937_64

namespace ibis::load {
namespace {

constexpr std::uint32_t max_workers = 2000;
constexpr double max_rate = 1e6;
constexpr base::milliseconds longest_run = std::chrono::hours(2);

template <typename Value>
void read_choice(config::reader& fields, const std::string& key,
                 const std::vector<std::pair<std::string, Value>>& choices,
                 Value& target) {
  std::string found;
  fields.read(key, found);
  if (found.empty()) {
    return;
  }
  std::string names;
  for (const auto& [name, value] : choices) {
    if (name == found) {
      target = value;
      return;
    }
    names += (names.empty() ? "" : ", ") + name;
  }
  fields.add_error(key, "found '" + found + "'; one of " + names + " is allowed");
}

void read_data(config::reader& fields, dataset_reference& data) {
  config::reader source = fields.child("data");
  source.read("kind", data.kind);
  source.read("seed", data.seed, 0, UINT32_MAX);
  source.read("shards", data.shards, 1U, 1'000'000U);
  source.read("records", data.records, 1U, 10'000'000U);
  source.report_unknown_keys();
  if (data.kind != "registry" && data.kind != "catalog") {
    fields.add_error("data",
                "found kind '" + data.kind + "'; registry or catalog is allowed");
  }
}

mix_item read_item(config::reader& fields) {
  mix_item item;
  fields.read("service", item.service, true);
  fields.read("tenant", item.tenant);
  fields.read("class", item.priority);
  read_choice<request_kind>(
      fields, "kind",
      {{"query", request_kind::query}, {"submit", request_kind::submit}}, item.kind);
  fields.read("weight", item.weight, 0.0, max_rate);
  fields.read("limit", item.limit, 1U, 1000U);
  fields.read("timeout_ms", item.timeout, base::milliseconds(1),
              base::milliseconds(300'000));
  fields.read("leaf_requests", item.leaf_requests, 1U, 100'000U);
  read_data(fields, item.data);
  return item;
}

/// The gap until the next request.
base::duration next_gap(const experiment& value, std::uint64_t number,
                        std::mt19937_64& random) {
  const double mean_s = 1.0 / value.rate;
  double gap_s = mean_s;
  if (value.arrivals == arrival_process::poisson) {
    gap_s = std::exponential_distribution<double>(value.rate)(random);
  }
  if (value.arrivals == arrival_process::bursts) {
    gap_s = number % value.burst_size == 0 ? mean_s * value.burst_size : 0;
  }
  return std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double>(gap_s));
}

}  // namespace

parsed_experiment parse_experiment(const config::document& source) {
  parsed_experiment parsed;
  experiment& value = parsed.value;
  config::reader root(source, parsed.errors);
  root.read("name", value.name, true);
  root.read("seed", value.seed, 0, UINT32_MAX);
  root.read("warm_up_ms", value.warm_up, base::milliseconds(0), longest_run);
  root.read("duration_ms", value.duration, base::milliseconds(1), longest_run);
  root.read("rate", value.rate, 0.01, max_rate);
  root.read("burst_size", value.burst_size, 1U, 100'000U);
  root.read("workers", value.workers, 1U, max_workers);
  read_choice<arrival_process>(root, "arrivals",
                               {{"constant", arrival_process::constant},
                                {"poisson", arrival_process::poisson},
                                {"bursts", arrival_process::bursts}},
                               value.arrivals);
  root.for_each_item(
      "mix", [&](config::reader& fields) { value.mix.push_back(read_item(fields)); });
  if (value.mix.empty()) {
    root.add_error("mix", "missing; at least one kind of requests is required");
  }
  root.report_unknown_keys();
  return parsed;
}

std::vector<arrival> make_schedule(const experiment& value) {
  std::mt19937_64 random(value.seed);
  std::vector<double> weights;
  for (const mix_item& item : value.mix) {
    weights.push_back(item.weight);
  }
  std::discrete_distribution<std::size_t> choose(weights.begin(), weights.end());
  std::vector<arrival> schedule;
  const base::duration end = value.warm_up + value.duration;
  base::duration at{0};
  for (std::uint64_t number = 0;; ++number) {
    at += next_gap(value, number, random);
    if (at >= end) {
      return schedule;
    }
    schedule.push_back({at, choose(random), number});
  }
}

}  // namespace ibis::load
