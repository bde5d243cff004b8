#include "ibis/http/serialize.hpp"

#include <ostream>  // for ostream, which Boost.Beast needs

#include <boost/beast/http/status.hpp>  // for obsolete_reason

namespace ibis::http {
namespace {

void append_fields(std::string& out, const header_fields& fields) {
  for (const header_field& field : fields) {
    out += field.name;
    out += ": ";
    out += field.value;
    out += "\r\n";
  }
}

void append_length(std::string& out, std::size_t length) {
  out += "Content-Length: ";
  out += std::to_string(length);
  out += "\r\n";
}

/// Whether responses with this status never have a body (RFC 9110).
bool status_forbids_body(unsigned status) {
  return status / 100 == 1 || status == 204 || status == 304;
}

}  // namespace

std::string_view reason_phrase(unsigned status) {
  const auto phrase =
      boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
  return {phrase.data(), phrase.size()};
}

void append_request(std::string& out, const request& message) {
  out += message.method;
  out += ' ';
  out += message.target;
  out += " HTTP/1.1\r\n";
  append_fields(out, message.fields);
  const bool may_lack_body = message.method == "GET" || message.method == "HEAD";
  if (!message.body.empty() || !may_lack_body) {
    append_length(out, message.body.size());
  }
  out += "\r\n";
  out += message.body;
}

void append_response(std::string& out, const response& message, bool for_head_request) {
  out += "HTTP/1.1 ";
  out += std::to_string(message.status);
  out += ' ';
  out += message.reason.empty() ? reason_phrase(message.status) : message.reason;
  out += "\r\n";
  append_fields(out, message.fields);
  if (!message.keep_alive) {
    out += "Connection: close\r\n";
  }
  const bool length_unknown = for_head_request && message.body.empty();
  if (!status_forbids_body(message.status) && !length_unknown) {
    append_length(out, message.body.size());
  }
  out += "\r\n";
  if (!for_head_request && !status_forbids_body(message.status)) {
    out += message.body;
  }
}

}  // namespace ibis::http
