/// The messages that processes of the tier exchange, as plain aggregates.
#pragma once

#include <cstdint>      // for uint32_t, uint64_t
#include <string>       // for string
#include <string_view>  // for string_view
#include <variant>      // for variant
#include <vector>       // for vector

#include "ibis/base/id.hpp"             // for block_call_id
#include "ibis/base/time.hpp"           // for microseconds
#include "ibis/config/declaration.hpp"  // for shard_index

namespace ibis::wire {

using config::shard_index;

/// Kind of a connection. Control messages (membership and configuration) and requests
/// use separate connections, so that neither kind waits behind the other.
enum class channel : std::uint8_t { control, data };

/// The first message that each end sends on a connection.
struct hello {
  std::string node;  ///< "vm/role".
  std::string vm;
  std::string zone;     ///< Availability zone.
  std::string role;     ///< "entry" or "relay".
  std::string address;  ///< Where the node accepts connections, "ip:port".
  wire::channel channel = wire::channel::data;
};

/// One record that matched a query.
struct hit {
  std::string id;
  double score = 0;
  shard_index shard = 0;
  std::string body;  ///< JSON text of the record.
  bool operator==(const hit&) const = default;
};

/// The range of index versions that a replica group can answer from.
struct version_range {
  std::uint32_t group = 0;
  std::uint64_t oldest = 0;
  std::uint64_t newest = 0;
  bool operator==(const version_range&) const = default;
};

/// Why a shard is missing from an answer.
enum class missing_reason : std::uint8_t {
  timeout,       ///< No answer in time.
  shed,          ///< Refused because of overload.
  version_gone,  ///< The index version is no longer available.
  moved,         ///< The shard is not where the request looked for it.
  lost,          ///< A process or connection was lost, or gave no usable answer.
  draining,      ///< The upstream takes no new work.
  no_holder,     ///< No relay that could be asked serves the shard.
};

/// Returns the reason's name as used on the wire, such as "version_gone".
std::string_view to_string(missing_reason reason);

/// A shard that an answer does not cover, and why.
struct missing_shard {
  shard_index shard = 0;
  missing_reason reason = missing_reason::timeout;
  bool operator==(const missing_shard&) const = default;
};

/// What a block request asks for.
enum class request_kind : std::uint8_t {
  list_versions,  ///< Only asks for the available index versions; no upstream is
                  ///< called.
  search,         ///< A query, which may run more than once.
  submit,         ///< A document to store; runs at most once.
};

/// Priority class of a request. Under overload, lower classes are refused first.
enum class priority : std::uint8_t { batch, normal, interactive };

/// Returns the name of a priority class, such as "batch".
std::string_view to_string(priority value);

/// From entry to relay: asks some replica groups of a service, all of one block.
struct block_request {
  base::block_call_id call;
  request_kind kind = request_kind::search;
  std::string service;
  std::uint64_t partition_epoch = 0;
  std::uint64_t index_version = 0;
  std::uint32_t block = 0;
  std::vector<std::uint32_t> groups;
  std::string query;  ///< The query's text, or the document of a submit.
  std::uint32_t limit = 0;
  wire::priority priority = wire::priority::normal;
  std::string tenant;
  base::microseconds budget{0};       ///< Time left until the deadline.
  base::microseconds early_reply{0};  ///< Delay before a partial reply; 0: none.
  std::string idempotency_key;        ///< Only for a submit.
  shard_index shard = 0;              ///< Only for a submit.
  bool operator==(const block_request&) const = default;
};

/// From relay to entry: the merged answers of a block's leafs.
struct block_reply {
  base::block_call_id call;
  bool final = true;  ///< False for a partial reply that a later reply replaces.
  std::uint64_t index_version = 0;
  std::vector<shard_index> covered;  ///< Shards that the reply covers.
  std::vector<missing_shard> missing;
  std::vector<hit> hits;
  std::vector<version_range> versions;
  std::uint32_t may_have_run = 0;  ///< Attempts sent and not refused by an upstream.
  std::uint32_t attempts = 0;
  std::uint32_t hedges = 0;
  std::uint32_t retries = 0;
  std::string result;  ///< The upstream's answer to a submit.
  bool operator==(const block_reply&) const = default;
};

/// From entry to relay: cancels a block request whose reply is no longer needed.
struct block_cancel {
  base::block_call_id call;
};

/// Liveness of a member, as gossiped. For the same incarnation, a later value overrides
/// an earlier one.
enum class member_status : std::uint8_t { alive, suspect, leaving, dead };

/// Returns the name of a status, such as "alive".
std::string_view to_string(member_status status);

/// What is known of a member. A record replaces those with a lower incarnation.
struct member {
  std::string node;
  std::string vm;
  std::string zone;
  std::string role;
  std::string address;  ///< Where it accepts frames, "ip:port".
  std::string http;     ///< Where it serves operators, "ip:port".
  std::uint64_t incarnation = 0;
  member_status status = member_status::alive;
  bool operator==(const member&) const = default;
};

/// Asks a member whether it is alive.
struct probe {
  std::uint64_t sequence = 0;
  std::string node;              ///< The sender.
  std::uint64_t generation = 0;  ///< The sender's active configuration generation.
  std::vector<member> updates;   ///< Gossiped member records.
};

/// Replies to a probe.
struct probe_ack {
  std::uint64_t sequence = 0;
  std::string node;  ///< The member that is alive.
  std::uint64_t generation = 0;
  std::vector<member> updates;
};

/// Asks a member to probe another one.
struct probe_request {
  std::uint64_t sequence = 0;
  std::string node;    ///< The sender.
  std::string target;  ///< The member to probe.
};

/// An object of the configuration.
struct part {
  std::string name;  ///< The manifest's key, or the content hash of a part.
  std::string bytes;
};

/// Asks a peer for objects of the configuration, by `part::name`.
struct part_request {
  std::vector<std::string> names;
};

/// Replies to a `part_request` with those of the objects that the sender has.
struct part_reply {
  std::vector<part> parts;
};

/// Tells the watchers of an availability zone which configuration generation a node has
/// active.
struct generation_ack {
  std::string node;
  std::string zone;
  std::uint64_t generation = 0;
};

/// Asks a peer for the changes of a topic of the platform's store after a revision.
struct topic_watch {
  std::uint64_t serial = 0;  ///< Identifies the call; repeated in the reply.
  std::uint8_t topic = 0;
  std::uint64_t revision = 0;
  std::uint64_t era = 0;  ///< Of the store, in which `revision` counts; 0 if unknown.
  bool operator==(const topic_watch&) const = default;
};

/// Replies to a `topic_watch`.
struct topic_news {
  std::uint64_t serial = 0;
  std::uint8_t topic = 0;
  std::uint8_t kind = 0;           ///< Kind of reply, defined by the sending module.
  std::uint64_t revision = 0;      ///< Revision that the changes extend to.
  std::vector<std::string> texts;  ///< The store's responses, unchanged.
  /// How long ago the sender's data was last known to match the store's.
  base::milliseconds age{0};
  std::uint64_t era = 0;  ///< As in `topic_watch`.
  bool operator==(const topic_news&) const = default;
};

/// Asks another node to query some shards of a fan-out request, since it holds the
/// connections to their leafs. The node replies with one `shards_reply` or more. A
/// `block_cancel` with the same call cancels it.
struct shards_request {
  base::block_call_id call;
  std::string route;   ///< Name of the matched route.
  std::string method;  ///< Of the client's request, as are the next five.
  std::string target;  ///< Path and query.
  std::string host;
  std::string request_id;  ///< Chosen by the client.
  std::string head;        ///< Request line and header fields for leafs, serialized.
  std::string body;
  std::vector<std::string> shards;  ///< Services to query, one leaf of each.
  std::uint32_t top = 0;            ///< Maximum number of records in a reply.
  double min_shard_share = 0;       ///< Share of the shards that the request needs.
  std::uint32_t max_leafs = 1;      ///< Different leafs that may get a shard's request.
  std::uint32_t priority = 0;       ///< 0 is the most urgent.
  base::microseconds objective{0};  ///< Target latency of the route.
  /// Delay after which the node replies with what it has, even if that is nothing.
  base::microseconds progress{0};
  /// Delay after which the node replies with what it has, and then with each further
  /// shard at once.
  base::microseconds reply{0};
  base::microseconds remaining{0};  ///< Time left until the request's deadline.
  /// Time since the machine of the node that has the client started, when it sent the
  /// request.
  base::microseconds sent_at{0};
  /// For each shard, `leaf_tag`s of the leafs that may get the request. None if the
  /// node that has the client knows no leaf of the shard: then any one leaf may.
  std::vector<std::vector<std::uint32_t>> allowed_leafs;
  /// How many other nodes may have sent this request to leafs before.
  std::uint32_t sent_before = 0;
  std::string account;  ///< Name of the client account; empty if there is none.
  bool operator==(const shards_request&) const = default;
};

/// A shard whose answer is in a `shards_reply`.
struct covered_shard {
  std::uint32_t index = 0;  ///< Index into `shards_request::shards`.
  std::string signature;    ///< The leaf's signature of its answer.
  bool operator==(const covered_shard&) const = default;
};

/// A shard that the node has given up.
struct failed_shard {
  std::uint32_t index = 0;  ///< Index into `shards_request::shards`.
  bool sent = false;        ///< Whether a leaf may have executed the request.
  bool operator==(const failed_shard&) const = default;
};

/// A leaf that has said that it leaves.
struct leaving_leaf {
  std::string leaf;                  ///< Its id.
  base::milliseconds started_at{0};  ///< Since the Unix epoch; identifies its start.
  bool operator==(const leaving_leaf&) const = default;
};

/// Replies to a `shards_request`. Each reply has only what the earlier ones had not.
struct shards_reply {
  base::block_call_id call;
  bool final = true;     ///< No other reply follows.
  bool leaving = false;  ///< The node is stopping and should not be asked again.
  std::vector<covered_shard> covered;
  std::vector<failed_shard> failed;
  std::string records;  ///< The greatest records of the covered shards, merged.
  /// All leafs of the requested shards that have told the sender that they leave.
  std::vector<leaving_leaf> leaving_leafs;
  bool operator==(const shards_reply&) const = default;
};

/// Asks another node for tokens of an account whose rate is limited, or tells it who
/// owns the account.
struct quota_request {
  std::string account;
  std::uint64_t serial = 0;    ///< Repeated in the grant.
  std::uint8_t kind = 0;       ///< Kind of request, defined by the sending module.
  std::uint32_t wanted = 0;    ///< Tokens.
  std::uint32_t urgent = 0;    ///< Of them, for requests that wait.
  std::uint32_t returned = 0;  ///< Unused tokens of an earlier grant.
  std::uint64_t returned_grant = 0;  ///< Serial of that grant.
  /// Requests that the sender admitted without a grant.
  std::uint32_t used_locally = 0;
  std::uint64_t version = 0;  ///< Of the sender's configuration.
  bool operator==(const quota_request&) const = default;
};

/// Answers a `quota_request`.
struct quota_grant {
  std::string account;
  std::uint64_t serial = 0;
  std::uint32_t tokens = 0;
  base::milliseconds validity{0};     ///< Of the tokens, from when they were asked for.
  base::milliseconds retry_after{0};  ///< When to ask again, if tokens lack.
  std::uint64_t version = 0;          ///< Of the sender's configuration.
  std::string owner;       ///< The node to ask instead; empty if the sender decided.
  bool released = false;   ///< The sender does not act as the account's owner any more.
  bool contended = false;  ///< Requests must wait for tokens for a while.
  bool operator==(const quota_grant&) const = default;
};

/// Any message.
using message =
    std::variant<hello, block_request, block_reply, block_cancel, probe, probe_ack,
                 probe_request, part_request, part_reply, generation_ack, topic_watch,
                 topic_news, shards_request, shards_reply, quota_request, quota_grant>;

}  // namespace ibis::wire
