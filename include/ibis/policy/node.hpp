/// The decision logic of a node, which is one process of the tier: a single reducer
/// that handles all events and returns effects. It does no I/O and reads no clock. Each
/// part of the state, such as queries or membership, has its own functions in a
/// separate header.
#pragma once

#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "ibis/policy/block.hpp"               // for block_table
#include "ibis/policy/call.hpp"                // for call_table
#include "ibis/policy/claim.hpp"               // for claim_table
#include "ibis/policy/configuration_sync.hpp"  // for configuration_state
#include "ibis/policy/context.hpp"             // for shared_state
#include "ibis/policy/effect.hpp"              // for effects
#include "ibis/policy/event.hpp"               // for event
#include "ibis/policy/membership.hpp"          // for membership_state
#include "ibis/policy/platform_calls.hpp"      // for platform_call_table
#include "ibis/policy/query.hpp"               // for query_table

namespace ibis::policy {

/// What a node does: an entry serves callers, a relay serves entries.
enum class node_role : std::uint8_t { entry, relay };

/// @return "entry" or "relay".
std::string_view to_string(node_role role);

/// Timing of a graceful stop.
struct stop_tuning {
  /// How long new work is still accepted while other nodes learn of the stop.
  base::milliseconds handover{1500};
  base::milliseconds limit{30000};  ///< After this, requests in flight are aborted.
  base::milliseconds check_period{50};
};

/// The progress of a graceful stop.
struct stop_state {
  stop_tuning tuning;
  bool requested = false;
  base::time_point requested_at{};
  bool finished = false;
};

/// The complete state of a node.
struct node_state {
  node_role role = node_role::entry;
  shared_state shared;
  membership_state members;
  configuration_state configuration;
  platform_call_table platform;
  call_table calls;     ///< Used by an entry.
  query_table queries;  ///< Used by an entry.
  claim_table claims;   ///< Used by an entry.
  block_table blocks;   ///< Used by a relay.
  stop_state stop;
  base::milliseconds unix_time{0};  ///< Wall-clock time at the last tick.
};

/// What a node is started with: its identity, addresses and first contacts.
struct node_identity {
  node_role role = node_role::entry;
  std::string vm;
  std::string zone;               ///< Availability zone.
  std::string address;            ///< Listening address for nodes, "ip:port".
  std::string http;               ///< Listening address for operators, "ip:port".
  std::uint64_t incarnation = 1;  ///< Higher at each start of the process.
  std::uint64_t random_seed = 1;
  std::vector<wire::member> seeds;  ///< Members that are contacted first.
};

/// @return The name of a node, "vm/role".
std::string node_name(const std::string& vm, node_role role);

/// Makes the state of a node that was just started.
node_state make_node(const node_identity& identity);

/// Starts a node's timers. Must be called once, before the first event.
effects start(node_state& state, base::time_point now);

/// Handles one event.
///
/// @param state Changed in place, since copies would cost more than the decisions.
/// @param now The time of the event; must not be earlier than in the call before.
/// @return The effects to carry out, in order.
effects reduce(node_state& state, const event& value, base::time_point now);

/// Whether a load balancer should send requests to a node.
struct readiness {
  bool ready = false;
  std::string reason;  ///< Why it is not ready; empty if it is.
};

/// Returns whether a node is ready: it has a configuration, knows a live relay and is
/// not stopping.
readiness check_readiness(const node_state& state);

/// @return The number of queries, submits and blocks in flight in this process.
std::size_t work_in_flight(const node_state& state);

}  // namespace ibis::policy
