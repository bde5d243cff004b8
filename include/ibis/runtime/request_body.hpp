/// Parses and validates callers' requests, and formats the answers to them.
#pragma once

#include <cstddef>   // for size_t
#include <optional>  // for optional
#include <string>    // for string
#include <variant>   // for variant

#include "ibis/policy/effect.hpp"  // for answer
#include "ibis/policy/event.hpp"   // for query_received, submit_received

namespace ibis::runtime {

/// The largest body that a caller may send, in bytes.
inline constexpr std::size_t max_request_size = 256U * 1024;
/// The most hits that a query may ask for.
inline constexpr std::uint32_t max_limit = 1000;
/// The longest query, in bytes.
inline constexpr std::size_t max_query_size = 4096;

/// The values of the headers that are evaluated; nothing for an absent header.
struct request_headers {
  std::optional<std::string> timeout_ms;       ///< Ibis-Timeout-Ms
  std::optional<std::string> tenant;           ///< Ibis-Tenant
  std::optional<std::string> priority;         ///< Ibis-Class
  std::optional<std::string> idempotency_key;  ///< Idempotency-Key
};

/// Why a request is invalid.
struct request_error {
  int status = 400;    ///< The HTTP status of the response.
  std::string field;   ///< What is at fault: a header, a field, or "body".
  std::string detail;  ///< One phrase for the caller.
};

/// A valid query, or why it is invalid.
using parsed_query = std::variant<policy::query_received, request_error>;
/// A valid submit, or why it is invalid.
using parsed_submit = std::variant<policy::submit_received, request_error>;

/// Parses a query with the body `{"query": "...", "limit": n}`; the limit is optional.
parsed_query parse_query(const std::string& service, const request_headers& headers,
                         const std::string& body);

/// Parses a submit with the body `{"shard_key": "...", "document": {...}}`. The header
/// Idempotency-Key is required.
parsed_submit parse_submit(const std::string& service, const request_headers& headers,
                           const std::string& body);

/// @return The response body for an answer, as JSON text. Not for rejected requests,
/// which get the body of `write_problem`.
std::string write_answer(const policy::answer& value);

/// @return The HTTP status for an answer.
int status_of(const policy::answer& value);

/// @return The response body for an invalid request, of type
/// `application/problem+json`.
std::string write_problem(const request_error& value);

}  // namespace ibis::runtime
