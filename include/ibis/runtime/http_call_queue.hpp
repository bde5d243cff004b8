/// A queue of HTTP calls over one keep-alive connection.
#pragma once

#include <asio/io_context.hpp>    // for io_context
#include <asio/steady_timer.hpp>  // for steady_timer
#include <deque>                  // for deque
#include <memory>                 // for enable_shared_from_this

#include "ibis/base/time.hpp"            // for milliseconds
#include "ibis/runtime/http_client.hpp"  // for http_client

namespace ibis::runtime {

/// Makes HTTP calls one at a time over one keep-alive connection, each with a timeout.
/// Not thread-safe. Must be owned by a `std::shared_ptr`.
class http_call_queue : public std::enable_shared_from_this<http_call_queue> {
 public:
  /// The connection is opened by the first call.
  /// @param mode When a call is sent again.
  /// @param max_response_bytes See `http_client`.
  http_call_queue(asio::io_context& io, const asio::ip::tcp::endpoint& peer,
                  http_client::retry_mode mode = http_client::retry_mode::never,
                  std::size_t max_response_bytes = http_client::default_response_bytes);

  /// Queues a call.
  /// @param limit The time limit, counted from when the call is sent, not from when it
  /// is queued. When it expires, `done` gets a `timeout` error.
  /// @return False if the queue is full; `done` is not called then.
  bool add(http::request request, base::milliseconds limit,
           http_client::completion_handler done);
  /// Closes the connection and drops all calls without calling their `done`.
  void stop();

 private:
  struct queued_call {
    http::request request;
    base::milliseconds limit;
    http_client::completion_handler done;
  };

  void start_next();
  void finish(base::result<http::response> response);

  std::shared_ptr<http_client> client_;
  http_client::retry_mode mode_;
  asio::steady_timer timer_;
  std::deque<queued_call> calls_;  ///< The first one is in progress if `busy_`.
  bool busy_ = false;
  bool stopped_ = false;
};

}  // namespace ibis::runtime
