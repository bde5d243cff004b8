/// A simulated leaf on virtual time, for tests and benchmarks of the reducer.
#pragma once

#include <deque>       // for deque
#include <functional>  // for function
#include <map>         // for map
#include <random>      // for mt19937_64
#include <set>         // for set
#include <string>      // for string

#include "ibis/policy/effect.hpp"  // for send_leaf_request
#include "ibis/policy/event.hpp"   // for leaf_replied

namespace ibis::standins {

/// Draws a random service time.
using service_time_function = std::function<base::duration(std::mt19937_64&)>;

/// The settings, faults and state of a simulated leaf; `virtual_tier` runs it.
struct virtual_leaf {
  std::string name;
  std::size_t slots = 2;         ///< Requests that run at once.
  std::size_t queue_limit = 16;  ///< Requests that wait for a slot before it sheds.
  std::size_t connection_limit = 25;
  base::duration connection_setup = std::chrono::milliseconds(6);
  service_time_function service_time;
  std::uint64_t oldest_version = 1;
  std::uint64_t newest_version = 3;
  bool dead = false;      ///< Refuses connections, and requests on open ones are lost.
  bool draining = false;  ///< Refuses all requests as draining.
  bool unresponsive = false;          ///< Accepts requests but never answers.
  std::set<wire::shard_index> moved;  ///< Shards that it no longer holds.
  /// Connections whose requests get no answer.
  std::set<base::connection_id> silent_connections;

  // The state of the leaf, and counts since its start.
  /// The name of the node at the other end of each connection.
  std::map<base::connection_id, std::string> connections;
  std::size_t peak_connections = 0;
  std::size_t busy = 0;                ///< Slots in use.
  std::uint64_t started_requests = 0;  ///< Requests that it began to run.
  std::uint64_t shed = 0;              ///< Requests that were refused as overload.
  std::map<std::string, int> runs;     ///< Of submits, by idempotency key.
  std::map<std::string, int> runs_by_query;  ///< Of searches, by query text.
  base::time_point last_started{};           ///< When a request last began to run.

  /// A request that waits for a slot.
  struct waiting_request {
    std::string node;
    policy::send_leaf_request request;
  };
  std::deque<waiting_request> waiting;
  /// The name of the node that sent each attempt that runs.
  std::map<base::attempt_id, std::string> running;
};

/// @return Why the leaf refuses a request without running it, or nothing.
std::optional<policy::leaf_outcome> find_refusal(
    const virtual_leaf& leaf, const policy::send_leaf_request& request);

/// @return The leaf's reply to a request that ran, with one hit for each shard that it
/// holds.
policy::leaf_replied make_reply(virtual_leaf& leaf,
                                const policy::send_leaf_request& request);

/// @return The status that the leaf reports about itself.
policy::leaf_status status_of(const virtual_leaf& leaf);

/// @return The id of the only hit that a shard returns for a query at an index version.
std::string expected_hit(wire::shard_index shard, std::uint64_t version,
                         const std::string& query);

}  // namespace ibis::standins
