/// Binding of HTTP servers, shared by all programs.
#pragma once

#include <cstdint>  // for uint16_t
#include <string>   // for string

#include "ibis/base/error.hpp"  // for result

namespace httplib {
class Server;
}  // namespace httplib

namespace ibis::runtime {

/// Binds a server to an address and configures it for long-lived keep-alive
/// connections.
/// @param port 0 takes any free port.
/// @return The bound address, "ip:port"; `unavailable` if it cannot be bound.
base::result<std::string> bind_http(httplib::Server& server, const std::string& ip,
                                    std::uint16_t port);

}  // namespace ibis::runtime
