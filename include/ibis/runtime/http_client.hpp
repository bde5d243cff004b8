/// An asynchronous HTTP client over one keep-alive connection.
#pragma once

#include <array>                // for array
#include <asio/io_context.hpp>  // for io_context
#include <asio/ip/tcp.hpp>      // for tcp
#include <cstddef>              // for size_t
#include <cstdint>              // for uint8_t
#include <functional>           // for function
#include <memory>               // for enable_shared_from_this
#include <optional>             // for optional
#include <string>               // for string

#include "ibis/base/error.hpp"   // for result
#include "ibis/http/parser.hpp"  // for response_parser

namespace ibis::runtime {

/// Makes HTTP calls, one at a time, over a connection that is kept open between calls
/// and opened again when needed. Calls have no time limit. Not thread-safe. Must
/// be owned by a `std::shared_ptr`.
///
/// Example:
///
///     auto client = std::make_shared<http_client>(io, peer);
///     client->call(request, http_client::retry_mode::never,
///                  [](base::result<http::response> response) { ... });
class http_client : public std::enable_shared_from_this<http_client> {
 public:
  /// Gets the response, or an error: `refused` if no connection could be opened, so
  /// that nothing was sent; `unavailable` if the connection was lost; `protocol` if
  /// the peer sent something that is not an HTTP response.
  using completion_handler = std::function<void(base::result<http::response>)>;

  /// Limit of all bytes of a response, with its framing, unless another one is given.
  static constexpr std::size_t default_response_bytes = 64UL * 1024 * 1024;

  /// The connection is opened by the first call.
  /// @param max_response_bytes A longer response ends its connection with a `protocol`
  /// error.
  http_client(asio::io_context& io, const asio::ip::tcp::endpoint& peer,
              std::size_t max_response_bytes = default_response_bytes);

  /// Whether a call is sent again over a new connection, without an error, if the
  /// reused connection was closed before any part of the response arrived.
  enum class retry_mode : std::uint8_t { never, on_closed_connection };

  /// Starts a call. A call that is still in progress is cancelled, and its `done` is
  /// never called.
  void call(const http::request& request, retry_mode mode, completion_handler done);
  /// Cancels the call in progress without calling its `done`, and closes the
  /// connection.
  void cancel();

 private:
  static constexpr std::size_t read_size = 16384;  // bytes

  void connect();
  void send();
  void read(std::uint64_t serial);
  void on_read(const asio::error_code& ec, std::size_t size, std::uint64_t serial);
  void on_connection_closed(const asio::error_code& ec);
  void fail(const char* detail);
  void finish(base::result<http::response> value);
  void close();

  asio::io_context& io_;  // NOLINT(*-avoid-const-or-ref-data-members)
  asio::ip::tcp::endpoint peer_;
  std::size_t max_response_bytes_;
  std::size_t received_bytes_ = 0;  ///< Of the current response.
  std::optional<asio::ip::tcp::socket> socket_;
  std::array<char, read_size> read_buffer_{};
  std::string input_;
  std::string output_;
  std::optional<http::response_parser> parser_;
  completion_handler done_;
  std::uint64_t connection_serial_ = 0;  ///< Identifies callbacks of old connections.
  bool may_retry_ = false;               ///< For a call over a reused connection.
  bool sent_ = false;     ///< A connection may have carried part of the request.
  bool writing_ = false;  ///< The request is still being written.
};

}  // namespace ibis::runtime
