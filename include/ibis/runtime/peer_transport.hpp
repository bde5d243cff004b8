/// Message transport between the processes of the tier: frames over TCP, with
/// standalone Asio. Runs on one strand; its functions must not be called from
/// elsewhere.
#pragma once

#include <asio/io_context.hpp>  // for io_context
#include <functional>           // for function
#include <memory>               // for shared_ptr
#include <string>               // for string

#include "ibis/base/error.hpp"     // for result
#include "ibis/base/time.hpp"      // for milliseconds
#include "ibis/wire/messages.hpp"  // for message, hello, channel

namespace ibis::runtime {

/// Callbacks by which the transport reports to its owner. A node is identified by the
/// name in its hello.
struct peer_hooks {
  /// A message arrived.
  std::function<void(const std::string& node, wire::message body)> on_message;
  /// A message was not sent, and no part of it was written to a socket.
  std::function<void(const std::string& node, wire::message body)> on_undeliverable;
  /// A connection of the data channel was closed or could not be opened. Messages that
  /// were sent on it may or may not have arrived.
  std::function<void(const std::string& node)> on_lost;
  /// An address was invalid, or a connection failed before its peer was known.
  std::function<void(const base::error& problem)> on_error;
};

/// Limits of the transport.
struct peer_limits {
  /// For each connection; while more is queued, messages are undeliverable.
  std::size_t max_queued_bytes = 32U * 1024 * 1024;
  base::milliseconds connect_timeout{400};
  base::milliseconds hello_timeout{2000};  ///< For the hello on accepted connections.
};

/// Numbers of bytes sent and received on each channel, including frame headers.
struct peer_traffic {
  std::uint64_t control_sent = 0;
  std::uint64_t control_received = 0;
  std::uint64_t data_sent = 0;
  std::uint64_t data_received = 0;
};

/// Sends and receives messages over connections to and from other processes. Each
/// node and channel has its own connection, on which both sides send; if both open one,
/// each side sends on the newest that it knows.
class peer_transport {
 public:
  /// @param self The hello that is sent first on each connection that this side opens.
  /// `listen` fills in its address, and its channel is set for each connection.
  peer_transport(asio::io_context& io, wire::hello self, peer_hooks hooks,
                 peer_limits limits = {});
  ~peer_transport();
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  /// Starts to accept connections.
  /// @param address "ip:port"; port 0 takes any free port.
  /// @return The bound address, "ip:port"; `unavailable` if it cannot be bound.
  base::result<std::string> listen(const std::string& address);

  /// Sends a message over the existing connection of the channel, or else over a new
  /// one. A message that cannot be sent is given to `on_undeliverable`.
  /// @param address "ip:port" for a new connection; if empty, none is opened.
  void send(const std::string& node, wire::channel channel, const std::string& address,
            wire::message body);

  /// Opens a connection of the channel ahead of need, unless there is one.
  /// @param address "ip:port".
  void connect(const std::string& node, wire::channel channel,
               const std::string& address);

  /// Closes all connections of a channel to a node, for example because it does not
  /// reply. Unsent messages are given to `on_undeliverable`.
  void reset(const std::string& node, wire::channel channel);

  /// Closes all connections and stops listening, without any callback.
  void close();

  /// @return The traffic of all connections, including those that are closed.
  [[nodiscard]] peer_traffic traffic() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace ibis::runtime
