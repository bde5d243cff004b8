/// HTTP/1.1 requests and responses as plain data, independent of sockets and parsers.
#pragma once

#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

namespace ibis::http {

/// One header field of a request or a response, with its name as received.
struct header_field {
  std::string name;
  std::string value;
};

/// Header fields in the order of the message. A name may occur more than once.
using header_fields = std::vector<header_field>;

/// A complete HTTP request.
struct request {
  std::string method;
  std::string target;  ///< Path and query, as received.
  header_fields fields;
  std::string body;        ///< Decoded: any chunked transfer coding is removed.
  bool keep_alive = true;  ///< Whether the connection may carry another request.
};

/// A complete HTTP response.
struct response {
  unsigned status = 0;
  std::string reason;  ///< If empty, the usual phrase of the status is written.
  header_fields fields;
  std::string body;        ///< Decoded: any chunked transfer coding is removed.
  bool keep_alive = true;  ///< Whether the connection may carry another request.
};

/// Compares two header field names, ignoring the case of ASCII letters.
bool field_names_equal(std::string_view left, std::string_view right);

/// Finds a header field by its name, ignoring case.
/// @return The value of the first match, or nothing. It refers to memory of `fields`.
std::optional<std::string_view> find_field(const header_fields& fields,
                                           std::string_view name);

/// Reads a header field as a decimal number.
/// @return The number, or nothing if the field is absent or its whole value is not a
/// number.
std::optional<double> find_numeric_field(const header_fields& fields,
                                         std::string_view name);

/// Selects the fields that a proxy forwards. Left out are fields that concern a single
/// connection (hop-by-hop fields, and any that a Connection field names), fields that
/// frame the body, and the names in `excluded`.
header_fields end_to_end_fields(const header_fields& fields,
                                const std::vector<std::string_view>& excluded);

}  // namespace ibis::http
