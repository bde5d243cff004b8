/// The context that every part of the reducer gets in addition to its own state: the
/// time, the node's shared state and the list of effects.
#pragma once

#include <cstdint>  // for uint64_t
#include <random>   // for mt19937_64
#include <string>   // for string
#include <utility>  // for move

#include "ibis/base/time.hpp"             // for time_point
#include "ibis/policy/effect.hpp"         // for effects
#include "ibis/policy/routing_table.hpp"  // for routing_table
#include "ibis/policy/timer_queue.hpp"    // for timer_queue

namespace ibis::policy {

/// Event counts since the process started.
struct counters {
  std::uint64_t queries = 0;
  std::uint64_t submits = 0;
  std::uint64_t restarts = 0;  ///< Of queries; all replies so far are discarded.
  std::uint64_t block_calls = 0;
  std::uint64_t block_hedges = 0;
  std::uint64_t block_retries = 0;
  std::uint64_t late_block_replies = 0;
  std::uint64_t version_mismatches = 0;
  std::uint64_t first_attempts = 0;
  std::uint64_t leaf_hedges = 0;
  std::uint64_t leaf_retries = 0;
  std::uint64_t late_leaf_replies = 0;
  std::uint64_t leaf_sheds = 0;
  std::uint64_t queue_refusals = 0;
  std::uint64_t cancels = 0;
  std::uint64_t connections_opened = 0;
  std::uint64_t connections_failed = 0;
  std::uint64_t connections_retired = 0;
  std::uint64_t ejections = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t control_messages_sent = 0;
  std::uint64_t platform_calls = 0;
  std::uint64_t probes_sent = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t deaths = 0;
  std::uint64_t refutations = 0;
  std::uint64_t generations_applied = 0;
  std::uint64_t stale_generations_ignored = 0;
  std::uint64_t claims_created = 0;
  std::uint64_t claims_replayed = 0;
};

/// State of one node that all parts of the reducer use.
struct shared_state {
  routing_table nodes;
  timer_queue timers;
  std::mt19937_64 random;
  std::uint64_t last_id = 0;  ///< Starts from the incarnation, so ids never repeat.
  counters count;
};

/// The environment of one call of the reducer.
struct context {
  base::time_point now;
  shared_state& shared;
  effects& out;

  /// Returns an id that this node has never used before.
  std::uint64_t next_id() { return ++shared.last_id; }
  /// Schedules a timer; `subject` and `detail` are as documented at `timer_kind`.
  void add_timer(base::duration delay, timer_kind kind, std::uint64_t subject = 0,
                 std::uint64_t detail = 0) {
    shared.timers.add(now + delay, kind, subject, detail);
  }
  /// Sends a request's message, on the data channel.
  void send(const std::string& node, wire::message body) {
    ++shared.count.messages_sent;
    out.emplace_back(send_message{node, channel::data, address_of(shared.nodes, node),
                                  std::move(body)});
  }
  /// Sends a message of membership or configuration, on the control channel.
  void send_control(const std::string& node, const std::string& address,
                    wire::message body) {
    ++shared.count.control_messages_sent;
    out.emplace_back(send_message{node, channel::control, address, std::move(body)});
  }
};

}  // namespace ibis::policy
