/// Runs load experiments against a tier.
#pragma once

#include <string>  // for string
#include <vector>  // for vector

#include "ibis/load/experiment.hpp"  // for experiment
#include "ibis/load/result.hpp"      // for experiment_result

namespace ibis::programs {

/// Where an experiment sends its requests, and how it chooses an entry for each.
struct load_targets {
  std::vector<std::string> entries;  ///< "ip:port"; used in round-robin order.
  /// "ip:port" of the stand-in leafs whose counters are read before and after the run.
  std::vector<std::string> leafs;
  bool print_progress = true;  ///< To standard error.
  /// Retries once at the next entry when an entry gives no answer at all.
  bool retry_other_entry = false;
  /// Skips entries that are not ready, as a load balancer does.
  bool skip_unready_entries = false;
};

/// Runs an experiment to its end. The load is open-loop: requests start as scheduled,
/// however long earlier ones take, unless all workers are busy. Latencies count from
/// the scheduled start.
load::experiment_result run_experiment(const load::experiment& experiment,
                                       const load_targets& targets);

}  // namespace ibis::programs
