/// Messages between nodes. A node that needs shards whose connections another node
/// holds asks it for them (`wire::shards_request`, `wire::shards_reply`). A node that
/// does not watch the store itself queries a peer for the store's changes
/// (`wire::topic_watch`), and the peer replies from what it has read
/// (`wire::topic_news`).
#pragma once

#include <asio/io_context.hpp>  // for io_context
#include <string>               // for string

#include "ibis/base/error.hpp"               // for result
#include "ibis/reactor/leaf_connection.hpp"  // for event_callback
#include "ibis/reactor/protocol.hpp"         // for protocol
#include "ibis/reactor/transit_delay.hpp"    // for transit_delay
#include "ibis/runtime/peer_transport.hpp"   // for peer_transport

namespace ibis::reactor {

/// Sends and receives this node's peer messages and reports them as events.
class peer_link {
 public:
  /// @param node This node's name.
  /// @param platform_protocol Must outlive the link.
  /// @param on_event Receives `peer_query_received`, `peer_replied`, `peer_lost` and
  /// the events of requests for shards.
  peer_link(asio::io_context& io, const std::string& node,
            const protocol& platform_protocol, event_callback on_event);

  /// Accepts connections of peers.
  /// @param address "ip:port".
  /// @return The bound address, or an error if it is invalid or cannot be bound.
  base::result<std::string> listen(const std::string& address);

  /// Queries a peer for changes after a revision. `peer_replied` reports its reply, or
  /// that the peer is unreachable.
  void send_query(const serving::query_peer& effect);
  /// Replies to a peer's query, which `peer_query_received` reported.
  void send_reply(const serving::reply_to_peer& effect);
  /// Closes the control connection to a peer.
  void reset_connection(const serving::reset_peer_connection& effect);

  /// Opens a connection for requests for shards, unless there is one.
  void connect(const serving::connect_peer& effect);
  /// Asks a holder for shards. `shards_replied` reports each reply,
  /// `shards_undeliverable` that nothing was sent, and `peer_lost` that no reply
  /// follows.
  void send_shards_request(const serving::request_shards& effect);
  /// Replies to a request for shards, which `shards_requested` reported.
  void send_shards_reply(const serving::reply_shards& effect);
  /// Tells a holder that a request for shards is no longer needed.
  void send_cancel(const serving::cancel_shards& effect);
  /// Asks a node for tokens of an account. `quota_granted` reports its answer, and
  /// `quota_undeliverable` that nothing was sent.
  void send_quota_request(const serving::request_quota& effect);
  /// Answers a request for tokens, which `quota_requested` reported.
  void send_quota_grant(const serving::grant_quota& effect);
  /// Closes the connection for requests for shards to a peer; `peer_lost` follows.
  void reset_connection(const serving::reset_holder_connection& effect);

 private:
  runtime::peer_hooks make_hooks();
  void on_message(const std::string& node, const wire::message& body);
  void on_reply(const std::string& node, const wire::topic_news& update);
  /// Reports a message about shards.
  /// @return False if the message is about something else.
  bool on_shards_message(const std::string& node, const wire::message& body);
  /// Reports a message about tokens.
  /// @return False if the message is about something else.
  bool on_quota_message(const std::string& node, const wire::message& body);
  void on_undeliverable(const std::string& node, const wire::message& body);

  const protocol& protocol_;  // NOLINT(*-avoid-const-or-ref-data-members)
  event_callback on_event_;
  transit_delay delay_;  ///< Of requests for shards.
  runtime::peer_transport transport_;
};

}  // namespace ibis::reactor
