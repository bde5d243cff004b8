#include "ibis/load/experiment.hpp"

#include <random>  // for mt19937_64

namespace ibis::load {
namespace {

constexpr std::uint32_t max_workers = 2000;
constexpr double max_rate = 1e6;
constexpr base::milliseconds max_run_time = std::chrono::hours(2);

/// Reads a field that must be one of several names. An absent field leaves `target`
/// unchanged.
template <typename Value>
void read_enum(config::reader& fields, const std::string& key,
               const std::vector<std::pair<std::string, Value>>& choices,
               Value& target) {
  std::string text;
  fields.read(key, text);
  if (text.empty()) {
    return;
  }
  std::string names;
  for (const auto& [name, value] : choices) {
    if (name == text) {
      target = value;
      return;
    }
    names += (names.empty() ? "" : ", ") + name;
  }
  fields.add_error(key, "found '" + text + "'; expected one of (" + names + ")");
}

void read_dataset(config::reader& fields, dataset_reference& dataset) {
  config::reader dataset_fields = fields.child("data");
  dataset_fields.read("kind", dataset.kind);
  dataset_fields.read("seed", dataset.seed, 0, UINT32_MAX);
  dataset_fields.read("shards", dataset.shards, 1U, 1'000'000U);
  dataset_fields.read("records", dataset.records, 1U, 10'000'000U);
  dataset_fields.report_unknown_keys();
  if (dataset.kind != "registry" && dataset.kind != "catalog") {
    fields.add_error("data",
                     "found kind '" + dataset.kind + "'; expected registry or catalog");
  }
}

mix_item read_mix_item(config::reader& fields) {
  mix_item item;
  fields.read("service", item.service, true);
  fields.read("tenant", item.tenant);
  fields.read("class", item.priority);
  read_enum<request_kind>(
      fields, "kind",
      {{"query", request_kind::query}, {"submit", request_kind::submit}}, item.kind);
  fields.read("weight", item.weight, 0.0, max_rate);
  fields.read("limit", item.limit, 1U, 1000U);
  fields.read("timeout_ms", item.timeout, base::milliseconds(1),
              base::milliseconds(300'000));
  fields.read("leaf_requests", item.leaf_requests, 1U, 100'000U);
  read_dataset(fields, item.dataset);
  return item;
}

/// @return The time between the previous request and the one with this number.
base::duration next_interarrival_time(const experiment& spec,
                                      std::uint64_t sequence_number,
                                      std::mt19937_64& generator) {
  const double mean_s = 1.0 / spec.rate;
  double gap_s = mean_s;
  if (spec.arrivals == arrival_process::poisson) {
    gap_s = std::exponential_distribution<double>(spec.rate)(generator);
  }
  if (spec.arrivals == arrival_process::bursts) {
    gap_s = sequence_number % spec.burst_size == 0 ? mean_s * spec.burst_size : 0;
  }
  return std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double>(gap_s));
}

}  // namespace

parsed_experiment parse_experiment(const config::document& source) {
  parsed_experiment parsed;
  experiment& spec = parsed.value;
  config::reader root(source, parsed.errors);
  root.read("name", spec.name, true);
  root.read("seed", spec.seed, 0, UINT32_MAX);
  root.read("warm_up_ms", spec.warm_up, base::milliseconds(0), max_run_time);
  root.read("duration_ms", spec.duration, base::milliseconds(1), max_run_time);
  root.read("rate", spec.rate, 0.01, max_rate);
  root.read("burst_size", spec.burst_size, 1U, 100'000U);
  root.read("workers", spec.workers, 1U, max_workers);
  read_enum<arrival_process>(root, "arrivals",
                             {{"constant", arrival_process::constant},
                              {"poisson", arrival_process::poisson},
                              {"bursts", arrival_process::bursts}},
                             spec.arrivals);
  root.for_each_item("mix", [&](config::reader& fields) {
    spec.mix.push_back(read_mix_item(fields));
  });
  if (spec.mix.empty()) {
    root.add_error("mix", "missing; at least one mix item is required");
  }
  root.report_unknown_keys();
  return parsed;
}

std::vector<arrival> make_schedule(const experiment& spec) {
  std::mt19937_64 generator(spec.seed);
  std::vector<double> weights;
  for (const mix_item& item : spec.mix) {
    weights.push_back(item.weight);
  }
  std::discrete_distribution<std::size_t> item_distribution(weights.begin(),
                                                            weights.end());
  std::vector<arrival> schedule;
  const base::duration end = spec.warm_up + spec.duration;
  base::duration start_offset{0};
  for (std::uint64_t sequence_number = 0;; ++sequence_number) {
    start_offset += next_interarrival_time(spec, sequence_number, generator);
    if (start_offset >= end) {
      return schedule;
    }
    schedule.push_back({start_offset, item_distribution(generator), sequence_number});
  }
}

}  // namespace ibis::load
