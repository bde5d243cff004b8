/// The server side of one HTTP connection. Complete requests are passed to a handler
/// one at a time, so responses are written in the order of pipelined requests.
#pragma once

#include <array>            // for array
#include <asio/ip/tcp.hpp>  // for tcp
#include <functional>       // for function
#include <memory>           // for enable_shared_from_this
#include <optional>         // for optional
#include <string>           // for string

#include "ibis/base/time.hpp"        // for time_point
#include "ibis/http/parser.hpp"      // for request_parser
#include "ibis/serving/catalog.hpp"  // for client_limits

namespace ibis::reactor {

class server_session;

/// The callbacks of a server, shared by its sessions. All must be set.
struct session_hooks {
  /// A complete request arrived. The callback responds with `server_session::answer`,
  /// immediately or later.
  std::function<void(const std::shared_ptr<server_session>&, http::request&&)>
      on_request;
  /// The connection ended while a request was being handled. Called after `on_closed`.
  std::function<void(server_session&)> on_client_disconnected;
  /// The session closed its socket. The server drops its reference to the session here.
  std::function<void(server_session&)> on_closed;
  /// Returns the size limits and timeouts that are in force.
  std::function<serving::client_limits()> limits;
};

/// Reads requests from an accepted connection and writes the responses.
class server_session : public std::enable_shared_from_this<server_session> {
 public:
  /// @param hooks Must outlive the session.
  server_session(asio::ip::tcp::socket socket, const session_hooks& hooks);

  /// Starts to read requests.
  void start();
  /// Sends the response to the request that is being handled. Ignored if there is none,
  /// for example because the client disconnected.
  void answer(http::response value);
  /// Closes the connection gracefully if no request is being read or handled and no
  /// response is being written.
  void close_if_idle();
  /// Closes the connection, or answers 408, if the client exceeded a timeout. Call it
  /// periodically.
  void enforce_timeouts(base::time_point now);
  /// Closes the socket immediately and calls `on_closed`, unless it is closed already.
  void close();
  /// Returns how many complete requests arrived on this connection.
  [[nodiscard]] std::size_t request_count() const { return request_count_; }

 private:
  static constexpr std::size_t read_buffer_bytes = 4096;

  enum class phase : std::uint8_t {
    idle,
    reading,           ///< Part of a request was received.
    handling_request,  ///< A complete request is being handled.
    closing,  ///< The last response was sent; waits for the client to close its side.
    closed,
  };

  void read();
  void on_read(const asio::error_code& ec, std::size_t size);
  void on_disconnect();
  void parse();
  void dispatch_request();
  void reject(unsigned status);
  void write();
  void begin_graceful_close();
  void enter_phase(phase next);
  /// Whether the request that is being read takes too long: its head as a whole, or the
  /// next bytes of its body.
  [[nodiscard]] bool is_overdue(base::time_point now,
                                const serving::client_limits& limits) const;

  asio::ip::tcp::socket socket_;
  const session_hooks& hooks_;  // NOLINT(*-avoid-const-or-ref-data-members)
  std::array<char, read_buffer_bytes> read_buffer_{};
  std::string input_;
  std::size_t request_count_ = 0;
  std::string output_;
  std::size_t bytes_written_ = 0;
  bool writing_ = false;
  bool reading_ = false;
  bool close_after_write_ = false;
  bool for_head_request_ = false;
  bool client_keep_alive_ = true;
  bool continue_sent_ = false;
  phase phase_ = phase::idle;
  base::time_point phase_started_at_{};
  base::time_point last_received_at_{};
  std::optional<http::request_parser> parser_;
};

}  // namespace ibis::reactor
