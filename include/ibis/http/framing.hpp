/// How the header fields of a message delimit its body (RFC 9112, section 6).
#pragma once

#include <cstdint>  // for uint8_t

#include "ibis/http/message.hpp"  // for header_fields

namespace ibis::http {

/// What the header fields say about where the body ends.
enum class body_framing : std::uint8_t {
  unstated,  ///< Neither a length nor a transfer coding is stated.
  length,
  chunked,
  /// The fields contradict each other or are invalid, so that receivers may disagree on
  /// where the message ends.
  invalid,
  /// The body is chunked, and encoded in another way that is not supported.
  unsupported_coding,
};

/// Determines the framing of a message from its Content-Length and Transfer-Encoding
/// fields. Stricter than the RFC, it takes repeated equal lengths, and a length beside
/// a transfer coding in a response, for invalid.
/// @param http_1_0 Whether the message's version is HTTP/1.0, which has no codings.
body_framing determine_framing(const header_fields& fields, bool http_1_0);

}  // namespace ibis::http
