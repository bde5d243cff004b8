/// Percent-encoding of text in URLs (RFC 3986, section 2.1).
#pragma once

#include <string>       // for string
#include <string_view>  // for string_view

namespace ibis::http {

/// Encodes a text for use in a path segment or as a value in a query. All bytes but
/// letters, digits and "-._~" are encoded.
std::string percent_encode(std::string_view text);

/// Decodes an encoded text. An invalid escape sequence stays as it is.
std::string percent_decode(std::string_view text);

}  // namespace ibis::http
