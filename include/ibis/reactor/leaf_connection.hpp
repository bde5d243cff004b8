/// A client connection to a leaf, which is an upstream server that holds a shard.
#pragma once

#include <array>                // for array
#include <asio/io_context.hpp>  // for io_context
#include <asio/ip/tcp.hpp>      // for tcp
#include <functional>           // for function
#include <memory>               // for enable_shared_from_this
#include <optional>             // for optional
#include <string>               // for string

#include "ibis/http/parser.hpp"       // for response_parser
#include "ibis/reactor/protocol.hpp"  // for protocol, leaf_response
#include "ibis/serving/event.hpp"     // for event

namespace ibis::reactor {

/// Receives events for the reducer, such as the result of a connection attempt.
using event_callback = std::function<void(serving::event)>;

/// A TCP connection that carries one HTTP request at a time. A response that states the
/// id of another request is discarded. One that states none, on a connection whose
/// earlier responses did, ends the connection: it may be a late copy of any of them.
class leaf_connection : public std::enable_shared_from_this<leaf_connection> {
 public:
  /// @param platform_protocol Must outlive the connection.
  /// @param on_event Receives `connection_opened`, `connection_failed`,
  /// `connection_lost` and `leaf_answered`.
  leaf_connection(asio::io_context& io, base::connection_id id,
                  const protocol& platform_protocol, event_callback on_event);

  /// Starts to connect. `connection_opened` or `connection_failed` reports the result.
  void open(const asio::ip::tcp::endpoint& peer);
  /// Sends a request; `leaf_answered` or `connection_lost` reports how it ended. Call
  /// it only while no other request is in flight. Does nothing on a closed connection.
  void send(const serving::send_to_leaf& effect);
  /// Closes the connection immediately. No event is reported afterwards.
  void close();

 private:
  static constexpr std::size_t read_buffer_bytes = 8192;

  void on_connected(const asio::error_code& ec);
  void read();
  void on_read(const asio::error_code& ec, std::size_t size);
  void on_read_error(const asio::error_code& ec);
  void parse();
  /// Reports the response if it belongs to the current request.
  /// @return Whether it did.
  bool deliver_response(http::response&& value);
  /// Whether the response states no request although this leaf's responses do.
  [[nodiscard]] bool lacks_id(const leaf_response& decoded) const;
  void write();
  void on_writable(const asio::error_code& ec);
  void close_and_report_lost(const std::string& detail);
  /// Whether the current response broke off after a head that says that the leaf
  /// leaves.
  [[nodiscard]] bool broken_response_says_leaving();

  asio::ip::tcp::socket socket_;
  base::connection_id id_;
  const protocol& protocol_;  // NOLINT(*-avoid-const-or-ref-data-members)
  event_callback on_event_;
  std::array<char, read_buffer_bytes> read_buffer_{};
  std::string input_;   ///< Bytes received but not parsed yet.
  std::string output_;  ///< The serialized request.
  std::size_t bytes_written_ = 0;
  std::size_t received_bytes_ = 0;  ///< Since the current request was sent.
  bool closed_ = false;
  bool awaiting_response_ = false;
  bool for_head_request_ = false;
  bool states_ids_ = false;  ///< An earlier response stated its request's id.
  std::string request_id_;
  std::optional<http::response_parser> parser_;
};

}  // namespace ibis::reactor
