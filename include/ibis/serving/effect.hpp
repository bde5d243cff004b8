/// The effects that a node's reducer returns, as plain data. The code around the
/// reducer carries them out.
#pragma once

#include <cstddef>   // for size_t
#include <cstdint>   // for uint64_t
#include <memory>    // for shared_ptr
#include <optional>  // for optional
#include <string>    // for string
#include <variant>   // for variant
#include <vector>    // for vector

#include "ibis/base/id.hpp"        // for caller_id, connection_id
#include "ibis/base/time.hpp"      // for duration
#include "ibis/serving/event.hpp"  // for leaf_answer, peer, store_topic
#include "ibis/wire/messages.hpp"  // for shards_request, shards_reply

namespace ibis::serving {

/// How a request ended, for metrics and logs.
enum class outcome : std::uint8_t {
  complete,
  partial,      ///< Merged without some of the shards.
  leaf_failed,  ///< A leaf's failure was forwarded.
  not_run,      ///< Refused; no leaf executed it.
  unknown,      ///< Failed; it may or may not have been executed.
  timed_out,    ///< Not answered before its deadline.
  rejected,     ///< The request is invalid or matches no route.
  abandoned,    ///< The client disconnected before the answer.
};
/// Number of enumerators of `outcome`.
inline constexpr std::size_t outcome_count = 8;

/// @return The outcome's name in snake case.
std::string_view to_string(outcome value);

/// The answer to a client's request.
struct caller_answer {
  unsigned status = 0;
  /// A single leaf's answer to forward unchanged; empty for any other answer.
  std::shared_ptr<leaf_answer> forwarded_answer;
  std::vector<std::string> signatures;  ///< Signatures of the merged shard answers.
  std::optional<std::size_t> missing_shards;  ///< Set only for a merged answer.
  std::optional<base::milliseconds> retry_after;
  std::string body;    ///< A merged answer, or the reason of a failure.
  bool close = false;  ///< Close the client's connection after the answer.
};

/// Sends an answer to a client.
struct answer_caller {
  base::caller_id caller;
  caller_answer answer;
};

/// Opens a connection to a leaf.
struct open_connection {
  base::connection_id connection;
  std::string address;  ///< "ip:port".
};

/// Closes a connection to a leaf.
struct close_connection {
  base::connection_id connection;
};

/// Sends a request on an idle connection to a leaf.
struct send_to_leaf {
  base::connection_id connection;
  inbound_request_ptr request;
  std::string leaf_id;  ///< Expected leaf; any other must refuse the request.
  base::milliseconds remaining{0};  ///< Remaining time until the request's deadline.
  std::string account{};  ///< Name of the client account; empty if there is none.
};

/// Lists a page of a topic.
struct list_topic {
  store_topic topic = store_topic::configuration;
  std::string after;  ///< Key after which the page begins; empty for the first page.
  /// Whether a copy that is seconds old is acceptable. It costs the store less.
  bool allow_stale = false;
};

/// Waits for changes of a topic after a revision.
struct watch_topic {
  store_topic topic = store_topic::configuration;
  store_revision revision;
  base::milliseconds wait{0};  ///< The store answers by then, even without changes.
};

/// Cancels the call in flight on a topic, if there is one.
struct cancel_store_call {
  store_topic topic = store_topic::configuration;
};

/// Queries a peer for changes after a revision. The peer replies at once if it has
/// some, otherwise when it learns of one or after a wait.
struct query_peer {
  peer to;
  store_topic topic = store_topic::configuration;
  std::uint64_t serial = 0;
  store_revision revision;
};

/// Replies to a peer's query.
struct reply_to_peer {
  std::string node;
  store_topic topic = store_topic::configuration;
  std::uint64_t serial = 0;
  peer_reply_status kind = peer_reply_status::changes;
  store_revision revision;
  /// The store's answers that contain the changes, unparsed.
  std::vector<std::shared_ptr<const std::string>> texts;
  /// How long ago this node's data was last known to match the store's.
  base::milliseconds age{0};
};

/// Closes the connection to a peer that has stopped responding.
struct reset_peer_connection {
  std::string node;
};

/// Opens a connection to a holder ahead of need, unless there is one.
struct connect_peer {
  peer to;
};

/// Asks a holder to query some shards.
struct request_shards {
  peer to;
  wire::shards_request request;
};

/// Replies to another node's request for shards.
struct reply_shards {
  std::string node;
  wire::shards_reply reply;
};

/// Tells a holder that the shards are no longer needed.
struct cancel_shards {
  std::string node;
  base::block_call_id call;
};

/// Asks a node for tokens of an account.
struct request_quota {
  peer to;  ///< Without an address, the connection on which the node asked is used.
  wire::quota_request request;
};

/// Answers another node's request for tokens.
struct grant_quota {
  std::string node;
  wire::quota_grant grant;
};

/// Closes the connection to a holder that has stopped responding. `peer_lost` follows.
struct reset_holder_connection {
  std::string node;
};

/// Writes this node's record to the store, so that other nodes count it.
/// `node_record_written` follows.
struct register_node {
  base::milliseconds limit{0};  ///< Timeout of the call.
};

/// Reads one page of the records of all nodes; it may be seconds old. `nodes_counted`
/// or `node_count_failed` follows.
struct count_nodes {
  std::string after;  ///< The last name of the page before; empty for the first page.
  base::milliseconds limit{0};  ///< Timeout of the call.
};

/// Makes a small call to the store, which shows whether it answers and its revision.
struct probe_store {
  base::milliseconds limit{0};  ///< Timeout of the call.
  base::time_point sent_at{};   ///< Returned in `store_probed`.
  /// Whether the call lists the evacuations, so that a watch of them needs no check of
  /// its own.
  bool list_evacuations = false;
};

/// Removes this node's record from the store.
struct unregister_node {};

/// Stops taking new requests: idle client connections are closed and no new connections
/// are accepted.
struct stop_accepting {};

/// A named value of a log line.
struct log_field {
  const char* name = "";
  std::string value;
};

/// Writes a structured log line.
struct log_line {
  const char* name = "";  ///< Event name in snake case.
  bool warning = false;
  std::vector<log_field> fields;
};

/// Records the end of a request in the metrics.
struct record_request_end {
  std::string route;  ///< Empty if the request was not routed.
  serving::outcome outcome = outcome::complete;
  base::duration latency{0};
};

/// Lets the process exit.
struct finish_process {
  std::size_t aborted_requests =
      0;  ///< Number of unanswered requests; 0 if all were answered.
};

/// Any effect.
using effect =
    std::variant<answer_caller, open_connection, close_connection, send_to_leaf,
                 list_topic, watch_topic, cancel_store_call, query_peer, reply_to_peer,
                 reset_peer_connection, connect_peer, request_shards, reply_shards,
                 cancel_shards, request_quota, grant_quota, reset_holder_connection,
                 register_node, count_nodes, unregister_node, probe_store,
                 stop_accepting, log_line, record_request_end, finish_process>;
/// Effects, in the order in which to carry them out.
using effects = std::vector<effect>;

}  // namespace ibis::serving
