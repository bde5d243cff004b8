#include "ibis/runtime/address.hpp"

#include <asio/ip/address.hpp>  // for make_address
#include <charconv>             // for from_chars
#include <memory>               // for to_address

namespace ibis::runtime {

base::result<ip_port> parse_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  const base::error invalid{base::error_code::invalid_input, "parse address", text,
                            "expected 'ip:port'"};
  if (colon == std::string::npos || colon == 0) {
    return invalid;
  }
  ip_port value;
  value.ip = text.substr(0, colon);
  const std::string port = text.substr(colon + 1);
  const char* const last = std::to_address(port.end());
  const auto [end, failure] = std::from_chars(port.data(), last, value.port);
  if (failure != std::errc() || end != last) {
    return invalid;
  }
  return value;
}

base::result<asio::ip::tcp::endpoint> to_endpoint(const std::string& text) {
  const auto parsed = parse_address(text);
  if (!parsed) {
    return parsed.error();
  }
  asio::error_code failure;
  const auto ip = asio::ip::make_address(parsed.value().ip, failure);
  if (failure) {
    return base::error{base::error_code::invalid_input, "parse address", text,
                       failure.message()};
  }
  return asio::ip::tcp::endpoint(ip, parsed.value().port);
}

std::string to_text(const asio::ip::tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

}  // namespace ibis::runtime
