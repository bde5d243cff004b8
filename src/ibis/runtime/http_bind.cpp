#include "ibis/runtime/http_bind.hpp"

#include <httplib.h>  // for Server

namespace ibis::runtime {

base::result<std::string> bind_http(httplib::Server& server, const std::string& ip,
                                    std::uint16_t port) {
  constexpr std::size_t max_requests_per_connection = 1'000'000'000;
  server.set_keep_alive_max_count(max_requests_per_connection);
  server.set_tcp_nodelay(true);
  int bound = port;
  if (port == 0) {
    bound = server.bind_to_any_port(ip);
  } else if (!server.bind_to_port(ip, port)) {
    bound = -1;
  }
  if (bound <= 0) {
    return base::error{base::error_code::unavailable, "bind http",
                       ip + ':' + std::to_string(port), "cannot bind to the address"};
  }
  return ip + ':' + std::to_string(bound);
}

}  // namespace ibis::runtime
