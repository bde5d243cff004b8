/// The events that a node's reducer handles. The code around the reducer, which owns
/// the sockets and clocks, creates them.
#pragma once

#include <cstddef>   // for size_t
#include <cstdint>   // for uint64_t
#include <memory>    // for shared_ptr
#include <optional>  // for optional
#include <string>    // for string
#include <variant>   // for variant
#include <vector>    // for vector

#include "ibis/base/id.hpp"                  // for caller_id, connection_id
#include "ibis/base/time.hpp"                // for milliseconds
#include "ibis/cost/load_report.hpp"         // for load_report
#include "ibis/http/message.hpp"             // for header_fields
#include "ibis/serving/catalog.hpp"          // for catalog_ptr
#include "ibis/serving/inbound_request.hpp"  // for inbound_request_ptr
#include "ibis/serving/leaf_record.hpp"      // for leaf_record
#include "ibis/serving/settings.hpp"         // for node_settings
#include "ibis/serving/store_revision.hpp"   // for store_revision
#include "ibis/wire/messages.hpp"            // for shards_request, shards_reply

namespace ibis::serving {

/// A client sent a complete request. Each request has a `caller` id of its own.
struct request_arrived {
  base::caller_id caller;
  inbound_request_ptr request;
  bool first_on_connection = false;  ///< The client had to connect for it.
};

/// The client closed its connection before it got its answer.
struct caller_disconnected {
  base::caller_id caller;
};

/// A connection to a leaf was established.
struct connection_opened {
  base::connection_id connection;
};

/// A connection to a leaf could not be established; nothing was sent on it.
struct connection_failed {
  base::connection_id connection;
  std::string detail;
};

/// An established connection to a leaf ended, while idle or before an answer was
/// complete.
struct connection_lost {
  base::connection_id connection;
  std::string detail;
  /// The answer broke off, and its head says that the leaf leaves.
  bool leaf_leaving = false;
};

/// A leaf's answer to a request.
struct leaf_answer {
  unsigned status = 0;
  std::string signature;      ///< Set by the leaf on this answer; may be empty.
  bool not_executed = false;  ///< The leaf states that it did not execute the request.
  bool instance_mismatch = false;  ///< Another leaf uses the address now.
  bool leaf_leaving = false;       ///< The leaf says that it leaves.
  /// For how long the leaf wants no request from this node; nothing if not stated.
  std::optional<base::milliseconds> retry_after;
  bool retry_after_unreadable = false;      ///< It states a time that is none.
  std::optional<cost::load_report> load{};  ///< The leaf's load, if it states it.
  bool load_unreadable = false;             ///< It states a load with invalid values.
  http::header_fields fields;               ///< Fields to forward to the client.
  std::string body;
};

/// A leaf answered the request on a connection.
struct leaf_answered {
  base::connection_id connection;
  std::shared_ptr<leaf_answer> answer;
  bool reusable = true;  ///< Whether the connection can take another request.
  std::optional<base::milliseconds> idle_timeout;  ///< As announced by the leaf.
};

/// The parts of the store's data that a node follows.
enum class store_topic : std::uint8_t { configuration, leafs, evacuations };
/// Number of enumerators of `store_topic`.
inline constexpr std::size_t store_topic_count = 3;

/// A leaf's record in the registry was written or removed.
struct leaf_change {
  std::string id;
  std::optional<leaf_record> record;  ///< Empty if it was removed or cannot be parsed.
};

/// An availability zone was evacuated, or its evacuation ended.
struct zone_change {
  std::string zone;
  bool evacuated = false;
};

/// A page of a topic's complete listing.
struct topic_listed {
  store_topic topic = store_topic::configuration;
  store_revision revision;
  /// Key after which the next page begins; empty on the last page.
  std::string next_page_after;
  std::vector<leaf_change> leafs;
  catalog_ptr configuration;
  std::vector<zone_change> zones;
};

/// Changes after the revision that a watch started from; none if the wait timed out.
struct topic_changed {
  store_topic topic = store_topic::configuration;
  store_revision revision;
  std::vector<leaf_change> leafs;
  catalog_ptr configuration;
  /// The store's answer, unparsed, to forward to peers.
  std::shared_ptr<const std::string> text;
  std::vector<zone_change> zones;
};

/// Whether there are changes. There are none if the wait of a watch has ended.
bool has_changes(const topic_changed& update);

/// Why a call to the store failed.
enum class store_failure : std::uint8_t {
  unreachable,      ///< The connection failed, broke or timed out.
  busy,             ///< The store refused the call because of overload.
  history_dropped,  ///< The revision is too old to watch from.
  unreadable,       ///< The answer violates the protocol.
};

/// A listing or watch of a topic failed.
struct store_call_failed {
  store_topic topic = store_topic::configuration;
  store_failure failure = store_failure::unreachable;
  std::string detail;
};

/// Another node, which can be queried for store updates.
struct peer {
  std::string node;
  std::string address;  ///< "ip:port".
  std::string availability_zone;
};

/// One page of the nodes that have a record in the store. All nodes share the leafs'
/// connections.
struct nodes_counted {
  std::size_t count = 0;
  bool self = false;  ///< Whether this node's own record is included in `count`.
  std::vector<peer> peers;
  std::string next_page_after;  ///< Where the next page starts; empty on the last one.
};

/// A page of the nodes' records could not be read.
struct node_count_failed {};

/// A write of this node's record ended.
struct node_record_written {
  bool written = false;  ///< False if it failed; it may be written nevertheless.
};

/// A peer requests the changes of a topic after a revision.
struct peer_query_received {
  std::string node;
  store_topic topic = store_topic::configuration;
  std::uint64_t serial = 0;  ///< Returned in the reply.
  store_revision revision;
};

/// Whether a peer's reply has updates, and if not, why.
enum class peer_reply_status : std::uint8_t {
  changes,          ///< The reply has the changes; there may be none.
  not_following,    ///< The peer does not watch the store, or cannot reach it.
  history_dropped,  ///< The revision is older than the peer's history.
  unreachable,      ///< The query could not be sent.
};

/// A peer replied to a query.
struct peer_replied {
  std::string node;
  std::uint64_t serial = 0;
  peer_reply_status kind = peer_reply_status::changes;
  topic_changed update;
  /// How long ago the peer's data was last known to match the store's.
  base::milliseconds age{0};
};

/// Another node asks this one, as a holder, to query some shards.
struct shards_requested {
  std::string node;
  wire::shards_request request;
  /// How much longer the request took to be read than others of that node.
  base::microseconds delay{0};
};

/// A holder replied to a request for shards.
struct shards_replied {
  std::string node;
  wire::shards_reply reply;
};

/// Another node no longer needs the shards that it asked for.
struct shards_cancelled {
  std::string node;
  base::block_call_id call;
};

/// A request for shards was not sent, since the holder cannot be reached.
struct shards_undeliverable {
  std::string node;
  base::block_call_id call;
};

/// Another node asks for tokens of an account, or tells who owns it.
struct quota_requested {
  std::string node;
  wire::quota_request request;
};

/// Another node answered a request for tokens.
struct quota_granted {
  std::string node;
  wire::quota_grant grant;
};

/// A request for tokens was not sent, since the node cannot be reached.
struct quota_undeliverable {
  std::string node;
  wire::quota_request request;
};

/// A connection for shard requests to another node ended or could not be opened.
struct peer_lost {
  std::string node;
};

/// The settings file was reloaded. Addresses are not part of `node_settings`.
struct settings_changed {
  node_settings settings;
};

/// A probe of the store ended.
struct store_probed {
  bool answered = false;  ///< The store answered in time.
  base::time_point sent_at{};
  /// The store's revision; nothing if it refused the probe.
  std::optional<store_revision> revision;
  /// All evacuations; nothing if the probe did not list them on one page.
  std::optional<std::vector<zone_change>> zones{};
};

/// The process was asked to stop gracefully.
struct stop_requested {};

/// Time has passed: due timers fire. They do so only on this event, so that answers
/// which arrived while the process was not running are handled before their timeouts.
struct tick {};

/// Any event.
using event = std::variant<
    request_arrived, caller_disconnected, connection_opened, connection_failed,
    connection_lost, leaf_answered, topic_listed, topic_changed, store_call_failed,
    nodes_counted, node_count_failed, node_record_written, peer_query_received,
    peer_replied, shards_requested, shards_replied, shards_cancelled,
    shards_undeliverable, quota_requested, quota_granted, quota_undeliverable,
    peer_lost, settings_changed, store_probed, stop_requested, tick>;

/// @return The name of an event's type, for logs.
const char* event_name(const event& value);

}  // namespace ibis::serving
