/// Options of the TCP connections that the tier opens.
#pragma once

#include <asio/ip/tcp.hpp>  // for tcp
#include <chrono>           // for seconds

namespace ibis::runtime {

/// When the kernel closes a connection whose peer no longer responds.
struct keepalive_limits {
  std::chrono::seconds idle;    ///< Without traffic, before the first probe.
  std::chrono::seconds period;  ///< Between two probes.
  int probes = 2;               ///< Unanswered probes until the connection is closed.
};

/// Enables TCP keep-alive probes, limits how long sent data may stay unacknowledged,
/// and disables Nagle's algorithm so that small writes are sent at once. Options that
/// the kernel refuses are skipped, since requests have timeouts of their own.
void configure_socket(asio::ip::tcp::socket& socket, const keepalive_limits& limits);

}  // namespace ibis::runtime
