/// HTTP connections from a relay to its leafs. Results are reported as events.
#pragma once

#include <asio/io_context.hpp>  // for io_context
#include <memory>               // for unique_ptr
#include <string>               // for string

#include "ibis/base/time.hpp"      // for milliseconds
#include "ibis/policy/effect.hpp"  // for open_connection, send_leaf_request
#include "ibis/runtime/post.hpp"   // for post_event

namespace ibis::runtime {

/// Time limits of requests to leafs.
struct leaf_limits {
  base::milliseconds status_timeout{800};  ///< Includes the time to connect.
  /// How long after the end of an attempt's budget a reply is still awaited.
  base::milliseconds answer_grace{200};
};

/// All connections of a relay to its leafs. Each leaf has any number of connections for
/// requests, and one control connection on which status polls and cancellations do not
/// wait behind requests. Call its functions on the strand only.
class leaf_client {
 public:
  /// @param io The context that runs the strand.
  /// @param post Receives the results.
  leaf_client(asio::io_context& io, post_event post, leaf_limits limits = {});
  ~leaf_client();
  leaf_client(const leaf_client&) = delete;
  leaf_client& operator=(const leaf_client&) = delete;

  /// Opens a connection by requesting the leaf's status. Posts `connection_opened` or
  /// `connection_failed`.
  void open(const policy::open_connection& effect);
  /// Closes a connection. No results of its requests are posted any more.
  void close(base::connection_id connection);
  /// Sends a search or submit. Posts `leaf_replied`, or `attempt_lost` if there is no
  /// reply.
  void send(const policy::send_leaf_request& request);
  /// Tells a leaf to stop an attempt. The leaf's reply is ignored.
  void cancel(const policy::cancel_leaf_request& effect);
  /// Requests a leaf's status on its control connection. Posts `status_polled`.
  void poll(const policy::poll_status& effect);
  /// Closes the control connection of a leaf that is no longer used.
  void close_control(const std::string& leaf);
  /// Closes all connections. No results of pending requests are posted any more.
  void stop();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace ibis::runtime
