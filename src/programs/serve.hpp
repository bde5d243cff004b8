/// The shared main program of `ibis_entry` and `ibis_relay`.
#pragma once

#include "ibis/policy/node.hpp"  // for node_role

namespace ibis::programs {

/// Parses the command line, loads the settings and runs an entry or a relay until it is
/// stopped.
/// @return The exit code: 0 after a graceful stop, 1 if the stop aborted requests, 2
/// for invalid settings, 3 if an address cannot be bound.
int serve(int argc, char** argv, policy::node_role role);

}  // namespace ibis::programs
