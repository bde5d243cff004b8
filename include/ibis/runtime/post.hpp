/// How other threads pass events to the strand that runs the reducer.
#pragma once

#include <functional>  // for function

#include "ibis/policy/event.hpp"  // for event

namespace ibis::runtime {

/// Queues an event for the reducer. May be called from any thread.
using post_event = std::function<void(policy::event)>;

}  // namespace ibis::runtime
