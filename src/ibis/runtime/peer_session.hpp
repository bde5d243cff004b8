/// One connection between two processes. Used only by peer_transport.
#pragma once

#include <array>            // for array
#include <asio/ip/tcp.hpp>  // for tcp
#include <cstdint>          // for uint8_t
#include <deque>            // for deque
#include <functional>       // for function
#include <memory>           // for enable_shared_from_this
#include <optional>         // for optional
#include <string>           // for string
#include <vector>           // for vector

#include "ibis/base/error.hpp"            // for error
#include "ibis/runtime/steady_timer.hpp"  // for steady_timer
#include "ibis/wire/codec.hpp"            // for header_size
#include "ibis/wire/messages.hpp"         // for message

namespace ibis::runtime {

/// Reads and writes the frames of one connection. Pending operations share its
/// ownership, so it must be owned by a `std::shared_ptr`.
class peer_session : public std::enable_shared_from_this<peer_session> {
 public:
  /// Callbacks by which a session reports to its owner.
  struct hooks {
    /// A message arrived; a hello is one too.
    std::function<void(peer_session&, wire::message)> on_message;
    /// The session was closed; called at most once. `unsent` are the queued messages of
    /// which no part was written to the socket.
    std::function<void(peer_session&, const base::error&,
                       std::vector<wire::message> unsent)>
        on_closed;
  };

  peer_session(asio::ip::tcp::socket socket, hooks callbacks);

  /// Opens the connection, then starts to read and write.
  void connect(const asio::ip::tcp::endpoint& endpoint, base::milliseconds timeout);
  /// Starts to read and write on an accepted socket.
  void accept();
  /// Queues a message; it is written once the connection is open.
  void send(wire::message body);
  /// Closes the connection and calls `on_closed`.
  void close(const base::error& reason);
  /// Closes the connection without calling `on_closed`.
  void close_silently();

  /// Closes the session if no hello arrives within the timeout.
  void expect_hello(base::milliseconds timeout);

  /// The peer, as described by its hello or set by the side that connects.
  std::optional<wire::hello> peer;
  wire::channel channel = wire::channel::data;
  std::string address;  ///< Of the other end, "ip:port".
  bool hello_received = false;

  /// Makes the next close a reset, so that the peer does not get messages that are
  /// still in the kernel's buffers.
  void discard_unsent();

  /// @return The size of all messages that are not yet written completely.
  [[nodiscard]] std::size_t queued_bytes() const { return queued_bytes_; }
  /// @return The number of bytes sent so far, including frame headers.
  [[nodiscard]] std::uint64_t sent_bytes() const { return sent_bytes_; }
  /// @return The number of bytes received so far, including frame headers.
  [[nodiscard]] std::uint64_t received_bytes() const { return received_bytes_; }

 private:
  struct outgoing {
    wire::message body;
    std::string bytes;
  };
  void start();
  void wait_for_data();
  void read_available();
  /// Delivers the messages that have arrived completely.
  void deliver_frames();
  void write_next();

  asio::ip::tcp::socket socket_;
  steady_timer timer_;
  hooks hooks_;
  std::vector<std::uint8_t> input_;  ///< Bytes received but not decoded yet.
  std::deque<outgoing> queue_;
  std::size_t queued_bytes_ = 0;
  std::uint64_t sent_bytes_ = 0;
  std::uint64_t received_bytes_ = 0;
  bool open_ = false;
  bool writing_ = false;
  bool closed_ = false;
};

}  // namespace ibis::runtime
