/// Timers of the reducer. They are plain data: the runtime only asks when the next one
/// is due, and reports the passing of time.
#pragma once

#include <cstdint>  // for uint8_t

#include "ibis/base/timer_queue.hpp"  // for basic_timer_queue

namespace ibis::policy {

/// What a timer is for. Where a kind has a subject, a timer whose subject no longer
/// exists is ignored when it fires.
enum class timer_kind : std::uint8_t {
  query_deadline,     ///< subject: request
  query_answer_by,    ///< subject: request
  call_hedge,         ///< subject: block call
  block_deadline,     ///< subject: block
  block_early_reply,  ///< subject: block
  attempt_hedge,      ///< subject: block, detail: index of its group
  attempt_timeout,    ///< subject: attempt
  pool_maintenance,
  membership_probe,
  gossip,
  probe_timeout,      ///< subject: probe sequence
  suspicion_timeout,  ///< subject: hash of the node's name, detail: its incarnation
  configuration_poll,
  platform_retry,  ///< subject: request of the submit
  claim_deadline,  ///< subject: request, detail: stage
  claim_sweep,
  stop_phase,
};

/// A timer of the reducer.
using timer = base::basic_timer<timer_kind>;
/// The pending timers of the reducer.
using timer_queue = base::basic_timer_queue<timer_kind>;

}  // namespace ibis::policy
