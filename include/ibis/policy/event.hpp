/// Events: the inputs of the reducer, as plain data. The shell, which is the code
/// around the reducer that does the I/O, makes them from sockets, threads and timers.
#pragma once

#include <cstdint>   // for uint64_t
#include <map>       // for map
#include <optional>  // for optional
#include <string>    // for string
#include <variant>   // for variant
#include <vector>    // for vector

#include "ibis/base/id.hpp"        // for caller_id
#include "ibis/base/time.hpp"      // for milliseconds
#include "ibis/wire/messages.hpp"  // for message, hit

namespace ibis::policy {

/// A caller sent a query to a service through the HTTP API.
struct query_received {
  base::caller_id caller;
  std::string service;
  std::string text;
  std::uint32_t limit = 10;
  std::string tenant;
  wire::priority priority = wire::priority::normal;
  std::optional<base::milliseconds> timeout;
};

/// A caller submitted a document that must be stored at most once.
struct submit_received {
  base::caller_id caller;
  std::string service;
  std::string idempotency_key;  ///< A UUID of version 7.
  std::string shard_key;
  std::string document;  ///< JSON text.
  std::string tenant;
  wire::priority priority = wire::priority::normal;
  std::optional<base::milliseconds> timeout;
  base::milliseconds received_at{0};  ///< Wall-clock time since the Unix epoch.
};

/// The caller closed its connection.
struct caller_disconnected {
  base::caller_id caller;
};

/// A message arrived from another node.
struct message_received {
  std::string node;
  wire::message body;
};

/// A message could not be sent; none of it was written to a socket.
struct message_undeliverable {
  std::string node;
  wire::message body;
};

/// The connection to a node broke. Messages sent on it may or may not have arrived.
struct peer_connection_lost {
  std::string node;
};

/// A leaf's report of its own state. It may be out of date, so it is only a hint.
struct leaf_status {
  std::uint64_t oldest_version = 0;
  std::uint64_t newest_version = 0;
  bool draining = false;
};

/// A connection to a leaf was opened.
struct connection_opened {
  base::connection_id connection;
  leaf_status status;
};

/// A connection to a leaf could not be opened.
struct connection_failed {
  base::connection_id connection;
  std::string detail;
};

/// A leaf closed an idle connection.
struct connection_closed {
  base::connection_id connection;
};

/// The poll of a leaf's status on its control connection ended.
struct status_polled {
  std::string leaf;
  std::optional<leaf_status> status;  ///< Empty if the leaf did not answer.
};

/// How a leaf answered one attempt.
enum class leaf_outcome : std::uint8_t {
  answered,      ///< The request ran.
  shed,          ///< Refused before it ran: the leaf is overloaded.
  draining,      ///< Refused before it ran: the leaf is shutting down.
  version_gone,  ///< Refused before it ran: the leaf lacks the index version.
  moved,         ///< Refused before it ran: the leaf does not hold the shards.
  cancelled,     ///< Stopped by a cancellation; the request may have run in part.
  invalid,       ///< The answer violates the leaf protocol.
};

/// A leaf answered an attempt.
struct leaf_replied {
  base::attempt_id attempt;
  leaf_outcome outcome = leaf_outcome::answered;
  std::uint64_t index_version = 0;
  leaf_status status;
  std::vector<wire::shard_index> covered;
  std::vector<wire::hit> hits;
  std::string result;  ///< For a submit.
};

/// An attempt ended without an answer.
struct attempt_lost {
  base::attempt_id attempt;
  bool may_have_reached_leaf = true;  ///< Whether any byte may have reached it.
};

/// How a call of the platform's object API ended.
enum class platform_outcome : std::uint8_t {
  ok,
  not_found,
  conflict,     ///< The condition did not hold; has the current value if known.
  unavailable,  ///< Down or timed out; a write may have taken effect.
  rejected,     ///< Not sent, as the call budget is used up.
};

/// An object stored on the platform.
struct platform_object {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
};

/// A call of the platform's object API ended.
struct platform_replied {
  base::platform_call_id call;
  platform_outcome outcome = platform_outcome::unavailable;
  std::vector<platform_object> objects;
};

/// An operator or the operating system asked the process to stop. A second request ends
/// it at once.
struct stop_requested {};

/// Time passed; timers that are due fire.
struct tick {
  base::milliseconds unix_time{0};  ///< Wall-clock time since the Unix epoch.
};

/// Any event that `reduce` accepts.
using event =
    std::variant<query_received, submit_received, caller_disconnected, message_received,
                 message_undeliverable, peer_connection_lost, connection_opened,
                 connection_failed, connection_closed, status_polled, leaf_replied,
                 attempt_lost, platform_replied, stop_requested, tick>;

}  // namespace ibis::policy
