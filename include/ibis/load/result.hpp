/// Results of load experiments, by series of requests and by time slice.
#pragma once

#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <string>   // for string
#include <vector>   // for vector

#include "ibis/base/error.hpp"  // for result
#include "ibis/base/time.hpp"   // for duration

namespace ibis::load {

/// The outcome of one request, as its caller saw it.
struct observation {
  std::string series;  ///< "service/tenant/class" of the request.
  /// The answer's outcome; "no_answer" if none came; "broken" if it cannot be parsed.
  std::string outcome;
  base::duration intended_start{0};  ///< Scheduled start, from the end of the warm-up.
  /// Measured from the scheduled start, so that delays at the sender count too.
  base::duration latency{0};
  std::size_t covered_shards = 0;  ///< Shards that the answer covers.
  std::size_t total_shards = 0;    ///< Shards that a complete answer covers.
  /// Whether the answer is malformed or disagrees with the data set.
  bool wrong_answer = false;
};

/// Latency percentiles of a set of requests.
struct latency_summary {
  double p50_ms = 0;
  double p90_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  double max_ms = 0;
};

/// Summary of all requests with the same service, tenant and priority class.
struct series_summary {
  std::uint64_t requests = 0;
  std::uint64_t wrong_answers = 0;
  std::map<std::string, std::uint64_t> outcomes;  ///< Number of requests by outcome.
  latency_summary latency;
  /// Share of the shards that complete and partial answers covered, from 0 to 1.
  double coverage = 0;
  std::vector<double> latency_percentiles_ms;  ///< Percentiles 0, 1, ... 100.
};

/// Summary of the requests scheduled within one slice of time.
struct time_slice {
  double start_s = 0;  ///< Seconds from the end of the warm-up.
  std::uint64_t requests = 0;
  /// Requests with an outcome other than "complete" or "partial".
  std::uint64_t failed = 0;
  double p50_ms = 0;
  double p99_ms = 0;
  double coverage = 0;
};

/// The measurements of one run of an experiment.
struct experiment_result {
  std::string name;
  /// Summaries by series name; the series "all" holds every request. None without
  /// requests.
  std::map<std::string, series_summary> series;
  std::vector<time_slice> slices;
  /// Leaf requests beyond the needed ones, as a share of these: 0.1 is 10% more.
  double extra_load = 0;
  std::uint64_t repeated_submits = 0;  ///< Submits that leafs executed more than once.
  /// Submits that a leaf executed although their outcome was `not_run`.
  std::uint64_t misreported_submits = 0;
};

/// @return The summary of all requests, which is empty if there were none.
const series_summary& overall(const experiment_result& result);

/// Length of a `time_slice`.
inline constexpr base::milliseconds time_slice_length{500};

/// Summarizes observations by series and by time slice. The counts that come from leafs
/// (`extra_load`, `repeated_submits`, `misreported_submits`) are left at 0.
experiment_result summarize(const std::string& name,
                            const std::vector<observation>& observations);

/// @return The result as JSON, which `parse_result` reads back.
std::string serialize_result(const experiment_result& result);
/// Parses the JSON of a result.
/// @return `invalid_input` if the text is not JSON or a field is missing.
base::result<experiment_result> parse_result(const std::string& text);

/// @return A plain-text table for terminals, one line per series.
std::string format_result_table(const experiment_result& result);

}  // namespace ibis::load
