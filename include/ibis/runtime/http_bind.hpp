/// Binding of HTTP servers, the same for all programs.
#pragma once

#include <cstdint>  // for uint16_t
#include <string>   // for string

#include "ibis/base/error.hpp"  // for result

namespace httplib {
class Server;
}  // namespace httplib

namespace ibis::runtime {

/// Binds a server and sets it up for connections that are kept open.
/// @param port 0 takes any free one.
/// @return "ip:port".
base::result<std::string> bind_http(httplib::Server& server, const std::string& ip,
                                    std::uint16_t port);

}  // namespace ibis::runtime
