/// Delays of one attempt at a leaf: when an unanswered request is hedged, and when its
/// connection is suspected to be dead.
#pragma once

#include <string>  // for string

#include "ibis/policy/block.hpp"  // for block_table

namespace ibis::policy {

/// Returns how long to wait for an answer before a request is hedged. The delay is the
/// latency quantile at which the share of attempts still unanswered equals the planned
/// share of the service's hedge budget.
base::duration hedge_delay(const block_table& table, const config::service& service);

/// Returns how long an attempt may stay unanswered before its connection is tested: a
/// multiple of the service's 99th latency percentile, within the bounds of
/// `block_tuning`.
base::duration silence_timeout(const block_table& table, const std::string& service);

}  // namespace ibis::policy
