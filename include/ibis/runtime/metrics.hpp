/// The metrics and the status of a process, as served to operators.
#pragma once

#include <map>      // for map
#include <string>   // for string
#include <utility>  // for pair

#include "ibis/policy/effect.hpp"           // for answer
#include "ibis/policy/node.hpp"             // for node_state
#include "ibis/runtime/histogram.hpp"       // for latency_histogram
#include "ibis/runtime/peer_transport.hpp"  // for peer_traffic

namespace ibis::runtime {

/// Metrics of the answers to callers. To be used on the strand only.
struct answer_metrics {
  /// By tenant and priority class.
  std::map<std::pair<std::string, std::string>, latency_histogram> latencies;
  std::map<std::string, std::uint64_t> outcomes;  ///< Number of answers by outcome.
  std::uint64_t shards_covered = 0;               ///< Sum over all answers.
  std::uint64_t shards_total = 0;  ///< Sum over all answers, covered or not.
};

/// Once there are this many histograms (one for each tenant and class), further tenants
/// are counted together as the tenant "other".
inline constexpr std::size_t max_tenant_series = 200;

/// Adds an answer to the metrics.
void record_answer(answer_metrics& metrics, const policy::answer& value);

/// @return All metrics in the Prometheus text exposition format.
std::string write_metrics(const answer_metrics& answers,
                          const policy::node_state& state, const peer_traffic& traffic);

/// @return The node's view of itself, the other members and its leafs, as JSON text.
std::string write_status(const policy::node_state& state, const peer_traffic& traffic);

}  // namespace ibis::runtime
