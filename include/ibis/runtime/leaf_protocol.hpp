/// Encoding and decoding of the upstreams' HTTP interface, which is documented in
/// docs/upstream-interface.md.
#pragma once

#include <string>  // for string

#include "ibis/base/error.hpp"     // for result
#include "ibis/policy/effect.hpp"  // for send_leaf_request
#include "ibis/policy/event.hpp"   // for leaf_replied, leaf_status

namespace ibis::runtime {

inline constexpr const char* leaf_status_path = "/v1/leaf/status";
inline constexpr const char* leaf_search_path = "/v1/leaf/search";
inline constexpr const char* leaf_submit_path = "/v1/leaf/submit";
inline constexpr const char* leaf_cancel_path = "/v1/leaf/cancel";

/// @return The JSON body of a search or submit request.
std::string write_leaf_request(const policy::send_leaf_request& request);

/// @return The JSON body of a request to cancel an attempt.
std::string write_cancel(base::attempt_id attempt);

/// Decodes a leaf's status.
/// @param body The body of the response to a status request.
/// @return The status, or `protocol` if the body is not valid JSON for it.
base::result<policy::leaf_status> read_leaf_status(const std::string& body);

/// Decodes the response to a search or submit, including a refusal by the leaf.
/// @param status The HTTP status of the response.
/// @return The reply, or `protocol` if the response violates the interface or belongs
/// to another attempt.
base::result<policy::leaf_replied> read_leaf_reply(base::attempt_id attempt, int status,
                                                   const std::string& body);

}  // namespace ibis::runtime
