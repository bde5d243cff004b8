/// Periodic probes of the store. A probe shows whether the store answers this node, and
/// by its revision whether the watches have reported all changes.
#pragma once

#include "ibis/serving/event.hpp"  // for store_probed
#include "ibis/serving/state.hpp"  // for context

namespace ibis::serving {

/// Sends a probe if this node depends on the store, and schedules the next one.
void on_probe_due(context& ctx);

/// Handles the end of a probe. If the store did not answer, it may have dropped watches
/// without notice, so that they are cancelled. If it serves this node again, topics are
/// listed without further delay. A watch that is behind the store's revision is
/// checked.
void on_store_probed(const store_probed& event, context& ctx);

}  // namespace ibis::serving
