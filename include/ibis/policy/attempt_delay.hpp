/// When a leaf request that was not answered is hedged, and when its connection is
/// taken to be silent.
#pragma once

#include <string>  // for string

#include "ibis/policy/block.hpp"  // for block_part

namespace ibis::policy {

/// Just so late that the attempts still running are as many as the budget allows.
base::duration hedge_delay(const block_part& part, const config::service& service);

/// A multiple of the service's usual latencies, within bounds.
base::duration silent_delay(const block_part& part, const std::string& service);

}  // namespace ibis::policy
