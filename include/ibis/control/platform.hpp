/// Interfaces through which operators' commands reach the platform. Tests supply fakes.
#pragma once

#include <functional>  // for function

#include "ibis/policy/effect.hpp"  // for call_platform
#include "ibis/policy/event.hpp"   // for platform_replied

namespace ibis::control {

/// Makes one call of the platform and waits for its reply.
using platform_transport =
    std::function<policy::platform_replied(const policy::call_platform&)>;

/// Waits before the next attempt of a call.
using pause_function = std::function<void(base::milliseconds)>;

}  // namespace ibis::control
