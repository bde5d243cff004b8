/// Lifecycle of a client request: it is routed, split into tasks, hedged, and answered
/// before its deadline.
#pragma once

#include "ibis/serving/state.hpp"  // for context

namespace ibis::serving {

/// Routes a request and starts its tasks, or answers it at once if that is not
/// possible.
void on_request(const request_arrived& event, context& ctx);

/// Starts the tasks of a request whose route and deadlines are set, for a client or for
/// another node.
void start_request(pending_request&& pending, context& ctx);

/// Removes a request whose client disconnected, and schedules the closing of the
/// connections on which it is still in flight.
void on_caller_disconnected(base::caller_id caller, context& ctx);

/// Handles a due timer that belongs to a request or to a leaf connection. Timers of
/// other kinds are ignored.
void on_request_timer(const timer& due, context& ctx);

}  // namespace ibis::serving
