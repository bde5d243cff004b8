/// Serializes HTTP/1.1 messages. Bodies are written with a Content-Length field, never
/// chunked.
#pragma once

#include <string>  // for string

#include "ibis/http/message.hpp"  // for request, response

namespace ibis::http {

/// Appends a serialized request to `out`. The fields must not include Content-Length or
/// Transfer-Encoding, since the length is added here.
void append_request(std::string& out, const request& message);

/// Appends a serialized response to `out`. The fields must not include Content-Length
/// or Transfer-Encoding, since the length is added here.
/// @param for_head_request Whether the request was HEAD: a body that is set is not
/// written, only its length.
void append_response(std::string& out, const response& message, bool for_head_request);

/// Returns the usual reason phrase of a status code, such as "Not Found" for 404.
std::string_view reason_phrase(unsigned status);

}  // namespace ibis::http
