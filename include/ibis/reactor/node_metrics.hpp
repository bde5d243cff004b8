/// Counters and latency histograms of a node, and their export as text.
#pragma once

#include <array>    // for array
#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <string>   // for string

#include "ibis/reactor/turn_meter.hpp"  // for turn_meter
#include "ibis/runtime/histogram.hpp"   // for latency_histogram
#include "ibis/serving/effect.hpp"      // for record_request_end
#include "ibis/serving/state.hpp"       // for node_state

namespace ibis::reactor {

/// What the reactor records about the requests that ended.
struct node_metrics {
  /// By route name. Routes without a request have no entry.
  std::map<std::string, runtime::latency_histogram> latencies;
  /// Number of requests by `serving::outcome`.
  std::array<std::uint64_t, serving::outcome_count> outcomes{};
};

/// Adds a request that ended to the metrics. One that matched no route counts among the
/// outcomes only.
void record(node_metrics& metrics, const serving::record_request_end& request);

/// Formats the metrics, together with the node's own counters and gauges, the turns of
/// its event loop, and the CPU time and memory of the process.
/// @return The Prometheus text format.
std::string format_metrics(const node_metrics& metrics, const turn_meter& turns,
                           const serving::node_state& node, base::time_point now);

}  // namespace ibis::reactor
