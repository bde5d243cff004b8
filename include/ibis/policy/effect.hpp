/// Effects: everything that the reducer wants done, as plain data. The shell, which is
/// the code around the reducer that does the I/O, carries them out.
#pragma once

#include <cstdint>      // for uint8_t
#include <string>       // for string
#include <string_view>  // for string_view
#include <variant>      // for variant
#include <vector>       // for vector

#include "ibis/base/id.hpp"        // for caller_id
#include "ibis/base/time.hpp"      // for duration
#include "ibis/wire/messages.hpp"  // for message, hit

namespace ibis::policy {

/// How a request ended, as told to its caller.
enum class outcome : std::uint8_t {
  complete,
  partial,
  not_run,   ///< No leaf ran any part of the request.
  unknown,   ///< The request may or may not have run.
  rejected,  ///< The request is invalid and did not run.
};

/// @return The outcome's name in snake case.
std::string_view to_string(outcome value);

/// The kind of HTTP error to answer a `rejected` request with.
enum class rejection : std::uint8_t { none, bad_request, not_found, unprocessable };

/// The complete answer to one request of a caller.
struct answer {
  base::request_id request;
  policy::outcome outcome = policy::outcome::unknown;
  policy::rejection rejection = policy::rejection::none;
  std::string reason;  ///< One sentence for the caller; empty if complete.
  std::string field;   ///< The invalid field or header, for `rejected`.
  std::uint64_t index_version = 0;
  std::size_t total = 0;    ///< Shards of the service.
  std::size_t covered = 0;  ///< Shards that answered.
  std::vector<wire::missing_shard> missing;
  std::vector<wire::hit> hits;
  std::string result;  ///< JSON text of a submit's result.
  std::string tenant;
  wire::priority priority = wire::priority::normal;
  base::duration latency{0};
  base::milliseconds retry_after{0};
};

/// Sends the answer to a caller.
struct answer_caller {
  base::caller_id caller;
  policy::answer answer;
};

using wire::channel;

/// Closes the connections of one channel to a node that may no longer respond. The next
/// message opens a new connection.
struct reset_peer_connections {
  std::string node;
  policy::channel channel = channel::data;
};

/// Sends a message to another node.
struct send_message {
  std::string node;
  policy::channel channel = channel::data;
  std::string address;  ///< "ip:port".
  wire::message body;
};

/// Opens a connection to a leaf. Answered by `connection_opened` or
/// `connection_failed`.
struct open_connection {
  base::connection_id connection;
  std::string leaf;
  std::string address;
};

/// Closes a connection to a leaf.
struct close_connection {
  base::connection_id connection;
};

/// Sends one attempt to a leaf on an open connection.
struct send_leaf_request {
  base::connection_id connection;
  base::attempt_id attempt;
  wire::request_kind kind = wire::request_kind::search;
  std::string service;
  std::uint64_t index_version = 0;
  std::uint64_t partition_epoch = 0;
  std::vector<wire::shard_index> shards;
  std::string query;  ///< The query's text, or the document of a submit.
  std::uint32_t limit = 0;
  std::string idempotency_key;
  base::duration budget{0};  ///< Time left until the block's deadline.
};

/// Tells a leaf that the answer to an attempt is no longer needed.
struct cancel_leaf_request {
  std::string leaf;
  std::string address;
  base::attempt_id attempt;
};

/// Polls a leaf's status on its control connection. Answered by `status_polled`.
struct poll_status {
  std::string leaf;
  std::string address;
};

/// Closes a leaf's control connection.
struct close_control_connection {
  std::string leaf;
};

/// An operation of the platform's object API. `create` and `update` are conditional,
/// `put` is not.
enum class platform_verb : std::uint8_t {
  get,
  create,
  update,
  put,
  remove,
  list,
  watch
};

/// Calls the platform's object API. Answered by `platform_replied`.
struct call_platform {
  base::platform_call_id call;
  platform_verb verb = platform_verb::get;
  std::string key;  ///< A prefix for `list` and `watch`.
  std::string value;
  /// The version that the object must have, for `update` and `remove`; the version
  /// after which to watch, for `watch`.
  std::uint64_t expected_version = 0;
  base::duration timeout{0};
};

/// Reports that a configuration became active on this node.
struct configuration_applied {
  std::uint64_t generation = 0;
};

/// Severity of a log line.
enum class log_level : std::uint8_t { debug, info, warning };

/// A named value of a log line.
struct log_field {
  std::string name;
  std::string value;
};

/// Writes a structured log line.
struct log_line {
  log_level level = log_level::info;
  std::string message;
  std::vector<log_field> fields;
};

/// Reports that the process can exit.
struct finish_process {
  std::size_t aborted_requests = 0;  ///< By the exit; 0 for a graceful stop.
};

/// Any effect that `reduce` returns.
using effect =
    std::variant<answer_caller, send_message, reset_peer_connections, open_connection,
                 close_connection, send_leaf_request, cancel_leaf_request, poll_status,
                 close_control_connection, call_platform, configuration_applied,
                 log_line, finish_process>;
/// Effects, in the order in which they are to be carried out.
using effects = std::vector<effect>;

}  // namespace ibis::policy
