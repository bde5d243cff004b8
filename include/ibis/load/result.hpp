/// What an experiment saw: by series, and over time.
#pragma once

#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <string>   // for string
#include <vector>   // for vector

#include "ibis/base/error.hpp"  // for result
#include "ibis/base/time.hpp"   // for duration

namespace ibis::load {

/// One request as its caller saw it.
struct observation {
  std::string series;          ///< "service/tenant/class".
  std::string outcome;         ///< Of the answer, or "no_answer" if none came.
  base::duration intended{0};  ///< When it should have started, after the warm-up.
  base::duration latency{0};   ///< From the intended start.
  std::size_t covered = 0;
  std::size_t total = 0;
  bool wrong = false;  ///< The answer does not agree with the data.
};

struct latency_summary {
  double p50_ms = 0;
  double p90_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  double max_ms = 0;
};

struct series_summary {
  std::uint64_t requests = 0;
  std::uint64_t wrong = 0;
  std::map<std::string, std::uint64_t> outcomes;
  latency_summary latency;
  double coverage = 0;           ///< Share of the shards of answers that came.
  std::vector<double> curve_ms;  ///< Latencies at 0, 1, ... 100 hundredths.
};

/// A slice of time.
struct slice {
  double start_s = 0;
  std::uint64_t requests = 0;
  std::uint64_t failed = 0;  ///< Neither complete nor partial.
  double p50_ms = 0;
  double p99_ms = 0;
  double coverage = 0;
};

struct experiment_result {
  std::string name;
  std::map<std::string, series_summary> series;  ///< "all" among them.
  std::vector<slice> slices;
  double extra_load = 0;          ///< Leaf requests beyond those needed, as a share.
  std::uint64_t repeated = 0;     ///< Submits that ran more than once.
  std::uint64_t ran_not_run = 0;  ///< Submits that ran and were called not run.
  std::map<std::string, std::string> marks;  ///< Events by second, for the plots.
};

inline constexpr base::milliseconds slice_length{500};

/// Sums observations up.
experiment_result summarize(const std::string& name,
                            const std::vector<observation>& observations);

std::string write_result(const experiment_result& value);
base::result<experiment_result> read_result(const std::string& text);

/// @return A table to be read in a terminal.
std::string write_table(const experiment_result& value);

}  // namespace ibis::load
