/// A fake leaf on virtual time, for tests and measurements of the reducer.
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

/// Draws a service time.
using service_time_hook = std::function<base::duration(std::mt19937_64&)>;

struct virtual_leaf {
  std::string name;
  std::size_t slots = 2;
  std::size_t queue = 16;  ///< Requests that wait before it sheds.
  std::size_t connection_limit = 25;
  base::duration connection_setup = std::chrono::milliseconds(6);
  service_time_hook service_time;
  std::uint64_t oldest_version = 1;
  std::uint64_t newest_version = 3;
  bool dead = false;
  bool draining = false;
  bool mute = false;  ///< Takes requests and never answers.
  std::set<wire::shard_index> moved;
  std::set<base::connection_id> silent;  ///< Connections that never answer again.

  // What it saw.
  std::map<base::connection_id, std::string> connections;  ///< To the node.
  std::size_t most_connections = 0;
  std::size_t busy = 0;
  std::uint64_t taken = 0;  ///< Requests that it began to run.
  std::uint64_t shed = 0;
  std::map<std::string, int> runs;         ///< By idempotency key.
  std::map<std::string, int> ran_queries;  ///< By text.
  base::time_point last_taken{};

  struct waiting_request {
    std::string node;
    policy::send_leaf_request request;
  };
  std::deque<waiting_request> waiting;
  std::map<base::attempt_id, std::string> running;  ///< To the node.
};

/// @return Why a request is refused before it runs, or nothing.
std::optional<policy::leaf_outcome> refusal_of(
    const virtual_leaf& leaf, const policy::send_leaf_request& request);

/// @return The answer to a request that ran.
policy::leaf_replied answer_of(virtual_leaf& leaf,
                               const policy::send_leaf_request& request);

/// @return What the leaf says of itself.
policy::leaf_status status_of(const virtual_leaf& leaf);

/// @return The id of the only hit that a shard gives to a query at a version.
std::string expected_hit(wire::shard_index shard, std::uint64_t version,
                         const std::string& query);

}  // namespace ibis::standins
