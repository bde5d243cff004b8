#include "ibis/load/result.hpp"

#include <algorithm>          // for sort
#include <iomanip>            // for setw
#include <nlohmann/json.hpp>  // for json
#include <sstream>            // for ostringstream

#include "ibis/base/quantile.hpp"  // for quantile_of

namespace ibis::load {
namespace {

using nlohmann::json;

constexpr std::size_t percentile_steps = 100;

bool has_answer(const std::string& outcome) {
  return outcome == "complete" || outcome == "partial";
}

/// Accumulates the observations of one series or time slice.
struct collector {
  std::vector<double> latencies;
  double covered_shards = 0;
  double total_shards = 0;
  std::uint64_t failed = 0;
  std::uint64_t requests = 0;

  void add(const observation& observed) {
    ++requests;
    latencies.push_back(base::to_ms(observed.latency));
    failed += has_answer(observed.outcome) ? 0 : 1;
    if (has_answer(observed.outcome)) {
      covered_shards += static_cast<double>(observed.covered_shards);
      total_shards += static_cast<double>(observed.total_shards);
    }
  }
  [[nodiscard]] double coverage() const {
    return total_shards == 0 ? 0 : covered_shards / total_shards;
  }
};

latency_summary summarize_latency(const std::vector<double>& sorted) {
  return {base::quantile_of(sorted, 0.5), base::quantile_of(sorted, 0.9),
          base::quantile_of(sorted, 0.99), base::quantile_of(sorted, 0.999),
          sorted.empty() ? 0 : sorted.back()};
}

void summarize_series(collector& samples, series_summary& summary) {
  std::sort(samples.latencies.begin(), samples.latencies.end());
  summary.requests = samples.requests;
  summary.latency = summarize_latency(samples.latencies);
  summary.coverage = samples.coverage();
  for (std::size_t step = 0; step <= percentile_steps; ++step) {
    const double quantile =
        static_cast<double>(step) / static_cast<double>(percentile_steps);
    summary.latency_percentiles_ms.push_back(
        base::quantile_of(samples.latencies, quantile));
  }
}

time_slice summarize_slice(std::size_t index, collector& samples) {
  std::sort(samples.latencies.begin(), samples.latencies.end());
  const double length_s = base::to_ms(time_slice_length) / 1000.0;
  return {static_cast<double>(index) * length_s,
          samples.requests,
          samples.failed,
          base::quantile_of(samples.latencies, 0.5),
          base::quantile_of(samples.latencies, 0.99),
          samples.coverage()};
}

json series_to_json(const series_summary& series) {
  return {
      {"requests", series.requests},       {"wrong", series.wrong_answers},
      {"outcomes", series.outcomes},       {"p50_ms", series.latency.p50_ms},
      {"p90_ms", series.latency.p90_ms},   {"p99_ms", series.latency.p99_ms},
      {"p999_ms", series.latency.p999_ms}, {"max_ms", series.latency.max_ms},
      {"coverage", series.coverage},       {"curve_ms", series.latency_percentiles_ms}};
}

series_summary series_from_json(const json& item) {
  series_summary series;
  item.at("requests").get_to(series.requests);
  item.at("wrong").get_to(series.wrong_answers);
  item.at("outcomes").get_to(series.outcomes);
  item.at("p50_ms").get_to(series.latency.p50_ms);
  item.at("p90_ms").get_to(series.latency.p90_ms);
  item.at("p99_ms").get_to(series.latency.p99_ms);
  item.at("p999_ms").get_to(series.latency.p999_ms);
  item.at("max_ms").get_to(series.latency.max_ms);
  item.at("coverage").get_to(series.coverage);
  item.at("curve_ms").get_to(series.latency_percentiles_ms);
  return series;
}

}  // namespace

const series_summary& overall(const experiment_result& result) {
  static const series_summary none;
  const auto found = result.series.find("all");
  return found == result.series.end() ? none : found->second;
}

experiment_result summarize(const std::string& name,
                            const std::vector<observation>& observations) {
  experiment_result result;
  result.name = name;
  std::map<std::string, collector> series;
  std::map<std::size_t, collector> slices;
  for (const observation& observed : observations) {
    for (const std::string& key : {observed.series, std::string("all")}) {
      series[key].add(observed);
      ++result.series[key].outcomes[observed.outcome];
      result.series[key].wrong_answers += observed.wrong_answer ? 1 : 0;
    }
    slices[static_cast<std::size_t>(observed.intended_start / time_slice_length)].add(
        observed);
  }
  for (auto& [key, samples] : series) {
    summarize_series(samples, result.series[key]);
  }
  for (auto& [index, samples] : slices) {
    result.slices.push_back(summarize_slice(index, samples));
  }
  return result;
}

std::string serialize_result(const experiment_result& result) {
  json document = {{"name", result.name},
                   {"extra_load", result.extra_load},
                   {"repeated", result.repeated_submits},
                   {"ran_not_run", result.misreported_submits},
                   {"series", json::object()}};
  for (const auto& [key, series] : result.series) {
    document["series"][key] = series_to_json(series);
  }
  document["slices"] = json::array();
  for (const time_slice& item : result.slices) {
    document["slices"].push_back({{"start_s", item.start_s},
                                  {"requests", item.requests},
                                  {"failed", item.failed},
                                  {"p50_ms", item.p50_ms},
                                  {"p99_ms", item.p99_ms},
                                  {"coverage", item.coverage}});
  }
  return document.dump(1);
}

base::result<experiment_result> parse_result(const std::string& text) {
  try {
    const json document = json::parse(text);
    experiment_result result;
    document.at("name").get_to(result.name);
    document.at("extra_load").get_to(result.extra_load);
    document.at("repeated").get_to(result.repeated_submits);
    document.at("ran_not_run").get_to(result.misreported_submits);
    for (const auto& [key, item] : document.at("series").items()) {
      result.series[key] = series_from_json(item);
    }
    for (const json& item : document.at("slices")) {
      result.slices.push_back({item.at("start_s"), item.at("requests"),
                               item.at("failed"), item.at("p50_ms"), item.at("p99_ms"),
                               item.at("coverage")});
    }
    return result;
  } catch (const json::exception& failure) {
    return base::error{base::error_code::invalid_input, "parse result", "",
                       failure.what()};
  }
}

std::string format_result_table(const experiment_result& result) {
  constexpr int name_width = 44;
  constexpr int width = 9;
  std::ostringstream out;
  out << std::fixed << std::setprecision(2);
  out << std::left << std::setw(name_width) << result.name << std::right
      << std::setw(width) << "requests" << std::setw(width) << "p50 ms"
      << std::setw(width) << "p99 ms" << std::setw(width) << "p99.9" << std::setw(width)
      << "coverage"
      << "  outcomes\n";
  for (const auto& [key, series] : result.series) {
    out << std::left << std::setw(name_width) << key << std::right << std::setw(width)
        << series.requests << std::setw(width) << series.latency.p50_ms
        << std::setw(width) << series.latency.p99_ms << std::setw(width)
        << series.latency.p999_ms << std::setw(width) << series.coverage * 100.0 << " ";
    for (const auto& [outcome, count] : series.outcomes) {
      out << ' ' << outcome << '=' << count;
    }
    out << (series.wrong_answers > 0 ? "  WRONG=" + std::to_string(series.wrong_answers)
                                     : "")
        << '\n';
  }
  out << "extra load " << result.extra_load * 100.0
      << "%, submits executed more than once " << result.repeated_submits
      << ", submits executed but answered not_run " << result.misreported_submits
      << '\n';
  return out.str();
}

}  // namespace ibis::load
