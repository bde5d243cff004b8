#include "ibis/runtime/socket_options.hpp"

#include <netinet/tcp.h>  // for TCP_KEEPIDLE, TCP_USER_TIMEOUT

namespace ibis::runtime {
namespace {

template <int Name>
using tcp_integer_option = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

}  // namespace

void configure_socket(asio::ip::tcp::socket& socket, const keepalive_limits& limits) {
  asio::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(
      tcp_integer_option<TCP_KEEPIDLE>(static_cast<int>(limits.idle.count())), ignored);
  socket.set_option(
      tcp_integer_option<TCP_KEEPINTVL>(static_cast<int>(limits.period.count())),
      ignored);
  socket.set_option(tcp_integer_option<TCP_KEEPCNT>(limits.probes), ignored);
  const std::chrono::milliseconds max_unacknowledged =
      limits.idle + limits.probes * limits.period;
  socket.set_option(tcp_integer_option<TCP_USER_TIMEOUT>(
                        static_cast<int>(max_unacknowledged.count())),
                    ignored);
}

}  // namespace ibis::runtime
