#include "ibis/load/result.hpp"

#include <algorithm>          // for sort
#include <iomanip>            // for setw
#include <nlohmann/json.hpp>  // for json
#include <sstream>            // for ostringstream

namespace ibis::load {
namespace {

using nlohmann::json;

constexpr std::size_t curve_steps = 100;

double at_quantile(const std::vector<double>& sorted, double q) {
  if (sorted.empty()) {
    return 0;
  }
  const auto index =
      static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

bool is_answer(const std::string& outcome) {
  return outcome == "complete" || outcome == "partial";
}

struct collector {
  std::vector<double> latencies;
  double covered = 0;
  double total = 0;
  std::uint64_t failed = 0;
  std::uint64_t requests = 0;

  void add(const observation& seen) {
    ++requests;
    latencies.push_back(base::to_ms(seen.latency));
    failed += is_answer(seen.outcome) ? 0 : 1;
    if (is_answer(seen.outcome)) {
      covered += static_cast<double>(seen.covered);
      total += static_cast<double>(seen.total);
    }
  }
  [[nodiscard]] double coverage() const { return total == 0 ? 0 : covered / total; }
};

latency_summary summarize_latency(const std::vector<double>& sorted) {
  return {at_quantile(sorted, 0.5), at_quantile(sorted, 0.9), at_quantile(sorted, 0.99),
          at_quantile(sorted, 0.999), sorted.empty() ? 0 : sorted.back()};
}

void finish(collector& seen, series_summary& summary) {
  std::sort(seen.latencies.begin(), seen.latencies.end());
  summary.requests = seen.requests;
  summary.latency = summarize_latency(seen.latencies);
  summary.coverage = seen.coverage();
  for (std::size_t step = 0; step <= curve_steps; ++step) {
    const double q = static_cast<double>(step) / static_cast<double>(curve_steps);
    summary.curve_ms.push_back(at_quantile(seen.latencies, q));
  }
}

slice finish_slice(std::size_t index, collector& seen) {
  std::sort(seen.latencies.begin(), seen.latencies.end());
  const double length_s = base::to_ms(slice_length) / 1000.0;
  return {static_cast<double>(index) * length_s,
          seen.requests,
          seen.failed,
          at_quantile(seen.latencies, 0.5),
          at_quantile(seen.latencies, 0.99),
          seen.coverage()};
}

json write_series(const series_summary& series) {
  return {{"requests", series.requests},       {"wrong", series.wrong},
          {"outcomes", series.outcomes},       {"p50_ms", series.latency.p50_ms},
          {"p90_ms", series.latency.p90_ms},   {"p99_ms", series.latency.p99_ms},
          {"p999_ms", series.latency.p999_ms}, {"max_ms", series.latency.max_ms},
          {"coverage", series.coverage},       {"curve_ms", series.curve_ms}};
}

series_summary read_series(const json& item) {
  series_summary series;
  item.at("requests").get_to(series.requests);
  item.at("wrong").get_to(series.wrong);
  item.at("outcomes").get_to(series.outcomes);
  item.at("p50_ms").get_to(series.latency.p50_ms);
  item.at("p90_ms").get_to(series.latency.p90_ms);
  item.at("p99_ms").get_to(series.latency.p99_ms);
  item.at("p999_ms").get_to(series.latency.p999_ms);
  item.at("max_ms").get_to(series.latency.max_ms);
  item.at("coverage").get_to(series.coverage);
  item.at("curve_ms").get_to(series.curve_ms);
  return series;
}

}  // namespace

experiment_result summarize(const std::string& name,
                            const std::vector<observation>& observations) {
  experiment_result result;
  result.name = name;
  std::map<std::string, collector> series;
  std::map<std::size_t, collector> slices;
  for (const observation& seen : observations) {
    for (const std::string& key : {seen.series, std::string("all")}) {
      series[key].add(seen);
      ++result.series[key].outcomes[seen.outcome];
      result.series[key].wrong += seen.wrong ? 1 : 0;
    }
    slices[static_cast<std::size_t>(seen.intended / slice_length)].add(seen);
  }
  for (auto& [key, seen] : series) {
    finish(seen, result.series[key]);
  }
  for (auto& [index, seen] : slices) {
    result.slices.push_back(finish_slice(index, seen));
  }
  return result;
}

std::string write_result(const experiment_result& value) {
  json whole = {{"name", value.name},
                {"extra_load", value.extra_load},
                {"repeated", value.repeated},
                {"ran_not_run", value.ran_not_run},
                {"marks", value.marks}};
  for (const auto& [key, series] : value.series) {
    whole["series"][key] = write_series(series);
  }
  whole["slices"] = json::array();
  for (const slice& item : value.slices) {
    whole["slices"].push_back({{"start_s", item.start_s},
                               {"requests", item.requests},
                               {"failed", item.failed},
                               {"p50_ms", item.p50_ms},
                               {"p99_ms", item.p99_ms},
                               {"coverage", item.coverage}});
  }
  return whole.dump(1);
}

base::result<experiment_result> read_result(const std::string& text) {
  try {
    const json whole = json::parse(text);
    experiment_result value;
    whole.at("name").get_to(value.name);
    whole.at("extra_load").get_to(value.extra_load);
    whole.at("repeated").get_to(value.repeated);
    whole.at("ran_not_run").get_to(value.ran_not_run);
    whole.at("marks").get_to(value.marks);
    for (const auto& [key, item] : whole.at("series").items()) {
      value.series[key] = read_series(item);
    }
    for (const json& item : whole.at("slices")) {
      value.slices.push_back({item.at("start_s"), item.at("requests"),
                              item.at("failed"), item.at("p50_ms"), item.at("p99_ms"),
                              item.at("coverage")});
    }
    return value;
  } catch (const json::exception& failure) {
    return base::error{base::error_code::invalid_input, "read result", "",
                       failure.what()};
  }
}

std::string write_table(const experiment_result& value) {
  constexpr int name_width = 44;
  constexpr int width = 9;
  std::ostringstream out;
  out << std::fixed << std::setprecision(2);
  out << std::left << std::setw(name_width) << value.name << std::right
      << std::setw(width) << "requests" << std::setw(width) << "p50 ms"
      << std::setw(width) << "p99 ms" << std::setw(width) << "p99.9" << std::setw(width)
      << "coverage"
      << "  outcomes\n";
  for (const auto& [key, series] : value.series) {
    out << std::left << std::setw(name_width) << key << std::right << std::setw(width)
        << series.requests << std::setw(width) << series.latency.p50_ms
        << std::setw(width) << series.latency.p99_ms << std::setw(width)
        << series.latency.p999_ms << std::setw(width) << series.coverage * 100.0 << " ";
    for (const auto& [outcome, count] : series.outcomes) {
      out << ' ' << outcome << '=' << count;
    }
    out << (series.wrong > 0 ? "  WRONG=" + std::to_string(series.wrong) : "") << '\n';
  }
  out << "extra load " << value.extra_load * 100.0 << "%, submits run twice "
      << value.repeated << ", run but called not run " << value.ran_not_run << '\n';
  return out.str();
}

}  // namespace ibis::load
