/// Parsing and formatting of addresses of the form "ip:port".
#pragma once

#include <asio/ip/tcp.hpp>  // for tcp
#include <string>           // for string

#include "ibis/base/error.hpp"  // for result

namespace ibis::runtime {

/// An IP address and a port.
struct ip_port {
  std::string ip;
  std::uint16_t port = 0;
};

/// Splits "ip:port" at its last colon. The IP address itself is not checked.
/// @return The two parts, or `invalid_input` if there is no IP address or no valid
/// port.
base::result<ip_port> parse_address(const std::string& text);

/// Parses "ip:port" into an endpoint, without a DNS lookup.
/// @return The endpoint, or `invalid_input` if the text is not a numeric IP address
/// with a port.
base::result<asio::ip::tcp::endpoint> to_endpoint(const std::string& text);

/// @return The endpoint as "ip:port".
std::string to_text(const asio::ip::tcp::endpoint& endpoint);

}  // namespace ibis::runtime
