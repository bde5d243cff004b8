/// Runs an experiment against a tier, open loop.
#pragma once

#include <string>  // for string
#include <vector>  // for vector

#include "ibis/load/experiment.hpp"  // for experiment
#include "ibis/load/result.hpp"      // for experiment_result

namespace ibis::programs {

struct load_targets {
  std::vector<std::string> entries;  ///< "ip:port"; taken in turn.
  std::vector<std::string> leafs;  ///< "ip:port" of stand-in leafs, for their counters.
  bool progress = true;
  /// Asks another entry when one gives no answer at all.
  bool retry_elsewhere = false;
  /// Leaves out entries that are not ready, as a balancer does.
  bool balance = false;
};

load::experiment_result run_experiment(const load::experiment& experiment,
                                       const load_targets& targets);

}  // namespace ibis::programs
