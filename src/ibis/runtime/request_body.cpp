#include "ibis/runtime/request_body.hpp"

#include <algorithm>          // for find
#include <cctype>             // for isalnum
#include <charconv>           // for from_chars
#include <memory>             // for to_address
#include <nlohmann/json.hpp>  // for json
#include <utility>            // for move

namespace ibis::runtime {
namespace {

using nlohmann::json;

constexpr int bad_request = 400;
constexpr int unprocessable = 422;
constexpr std::size_t max_name_size = 64;
constexpr std::size_t max_shard_key_size = 256;
constexpr std::int64_t max_timeout_ms = 300'000;
const std::string default_tenant = "anonymous";

/// The values of the headers that queries and submits have in common.
struct common_fields {
  std::string tenant = default_tenant;
  wire::priority priority = wire::priority::normal;
  std::optional<base::milliseconds> timeout;
};

bool is_valid_tenant(const std::string& text) {
  if (text.empty() || text.size() > max_name_size) {
    return false;
  }
  for (const char character : text) {
    const bool is_valid = std::isalnum(static_cast<unsigned char>(character)) != 0 ||
                          character == '-' || character == '_' || character == '.';
    if (!is_valid) {
      return false;
    }
  }
  return true;
}

std::optional<std::int64_t> parse_integer(const std::string& text) {
  std::int64_t value = 0;
  const char* const last = std::to_address(text.end());
  const auto [end, failure] = std::from_chars(text.data(), last, value);
  if (failure != std::errc() || end != last) {
    return std::nullopt;
  }
  return value;
}

std::optional<request_error> read_timeout(const std::string& text,
                                          common_fields& fields) {
  const auto value = parse_integer(text);
  if (!value || *value < 1 || *value > max_timeout_ms) {
    return request_error{
        bad_request, "Ibis-Timeout-Ms",
        "a whole number from 1 to " + std::to_string(max_timeout_ms) + " is allowed"};
  }
  fields.timeout = base::milliseconds(*value);
  return std::nullopt;
}

std::optional<request_error> read_priority(const std::string& text,
                                           common_fields& fields) {
  for (const auto value :
       {wire::priority::batch, wire::priority::normal, wire::priority::interactive}) {
    if (wire::to_string(value) == text) {
      fields.priority = value;
      return std::nullopt;
    }
  }
  return request_error{bad_request, "Ibis-Class",
                       "one of interactive, normal, batch is allowed"};
}

std::optional<request_error> read_headers(const request_headers& headers,
                                          common_fields& fields) {
  if (headers.tenant) {
    if (!is_valid_tenant(*headers.tenant)) {
      return request_error{bad_request, "Ibis-Tenant",
                           "1 to 64 letters, digits, '-', '_' or '.' are allowed"};
    }
    fields.tenant = *headers.tenant;
  }
  if (headers.priority) {
    if (auto error = read_priority(*headers.priority, fields)) {
      return error;
    }
  }
  if (headers.timeout_ms) {
    return read_timeout(*headers.timeout_ms, fields);
  }
  return std::nullopt;
}

/// Parses a body, which must be a JSON object without members other than the allowed
/// ones.
/// @param root Receives the object.
/// @return What is wrong with the body, or nothing.
std::optional<request_error> read_object(const std::string& body,
                                         const std::vector<std::string>& allowed,
                                         json& root) {
  root = json::parse(body, nullptr, false);
  if (root.is_discarded()) {
    return request_error{bad_request, "body", "not valid JSON"};
  }
  if (!root.is_object()) {
    return request_error{bad_request, "body", "a JSON object is required"};
  }
  for (const auto& [name, value] : root.items()) {
    if (std::find(allowed.begin(), allowed.end(), name) == allowed.end()) {
      return request_error{unprocessable, name.substr(0, max_name_size),
                           "no such field is known"};
    }
  }
  return std::nullopt;
}

bool is_nonempty_string(const json& root, const char* name, std::size_t max_size) {
  return root.contains(name) && root[name].is_string() &&
         !root[name].get_ref<const std::string&>().empty() &&
         root[name].get_ref<const std::string&>().size() <= max_size;
}

json write_missing(const policy::answer& value) {
  json missing = json::array();
  for (const wire::missing_shard& shard : value.missing) {
    missing.push_back(
        {{"shard", shard.shard}, {"reason", wire::to_string(shard.reason)}});
  }
  return missing;
}

json write_hits(const policy::answer& value) {
  json hits = json::array();
  for (const wire::hit& hit : value.hits) {
    hits.push_back({{"id", hit.id},
                    {"score", hit.score},
                    {"shard", hit.shard},
                    {"record", json::parse(hit.body, nullptr, false)}});
  }
  return hits;
}

int status_of_rejection(policy::rejection reason) {
  constexpr int not_found = 404;
  switch (reason) {
    case policy::rejection::not_found:
      return not_found;
    case policy::rejection::unprocessable:
      return unprocessable;
    case policy::rejection::none:
    case policy::rejection::bad_request:
      break;
  }
  return bad_request;
}

}  // namespace

parsed_query parse_query(const std::string& service, const request_headers& headers,
                         const std::string& body) {
  common_fields fields;
  if (auto error = read_headers(headers, fields)) {
    return *error;
  }
  json root;
  if (auto error = read_object(body, {"query", "limit"}, root)) {
    return *error;
  }
  if (!is_nonempty_string(root, "query", max_query_size)) {
    return request_error{
        unprocessable, "query",
        "a text of 1 to " + std::to_string(max_query_size) + " bytes is required"};
  }
  policy::query_received event;
  event.service = service;
  event.text = root["query"];
  event.tenant = fields.tenant;
  event.priority = fields.priority;
  event.timeout = fields.timeout;
  if (!root.contains("limit")) {
    return event;
  }
  const json& limit = root["limit"];
  const bool is_valid = limit.is_number_unsigned() && limit.get<std::uint64_t>() >= 1 &&
                        limit.get<std::uint64_t>() <= max_limit;
  if (!is_valid) {
    return request_error{
        unprocessable, "limit",
        "a whole number from 1 to " + std::to_string(max_limit) + " is allowed"};
  }
  event.limit = limit.get<std::uint32_t>();
  return event;
}

parsed_submit parse_submit(const std::string& service, const request_headers& headers,
                           const std::string& body) {
  common_fields fields;
  if (auto error = read_headers(headers, fields)) {
    return *error;
  }
  if (!headers.idempotency_key) {
    return request_error{bad_request, "Idempotency-Key", "this header is required"};
  }
  json root;
  if (auto error = read_object(body, {"shard_key", "document"}, root)) {
    return *error;
  }
  if (!is_nonempty_string(root, "shard_key", max_shard_key_size)) {
    return request_error{
        unprocessable, "shard_key",
        "a text of 1 to " + std::to_string(max_shard_key_size) + " bytes is required"};
  }
  if (!root.contains("document") || !root["document"].is_object()) {
    return request_error{unprocessable, "document", "a JSON object is required"};
  }
  policy::submit_received event;
  event.service = service;
  event.idempotency_key = *headers.idempotency_key;
  event.shard_key = root["shard_key"];
  event.document =
      root["document"].dump(-1, ' ', false, json::error_handler_t::replace);
  event.tenant = fields.tenant;
  event.priority = fields.priority;
  event.timeout = fields.timeout;
  event.received_at = base::unix_now();
  return event;
}

std::string write_answer(const policy::answer& value) {
  json root = {{"request_id", std::to_string(value.request.value)},
               {"outcome", policy::to_string(value.outcome)},
               {"index_version", value.index_version},
               {"coverage",
                {{"total", value.total},
                 {"covered", value.covered},
                 {"missing", write_missing(value)}}},
               {"hits", write_hits(value)}};
  if (!value.reason.empty()) {
    root["reason"] = value.reason;
  }
  if (!value.result.empty()) {
    root["result"] = json::parse(value.result, nullptr, false);
  }
  return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

int status_of(const policy::answer& value) {
  constexpr int ok = 200;
  constexpr int service_unavailable = 503;
  constexpr int gateway_timeout = 504;
  switch (value.outcome) {
    case policy::outcome::complete:
    case policy::outcome::partial:
      return ok;
    case policy::outcome::not_run:
      return service_unavailable;
    case policy::outcome::rejected:
      return status_of_rejection(value.rejection);
    case policy::outcome::unknown:
      break;
  }
  return gateway_timeout;
}

std::string write_problem(const request_error& value) {
  const json root = {
      {"type", "about:blank"},  {"title", "the request is wrong; it did not run"},
      {"status", value.status}, {"field", value.field},
      {"detail", value.detail}, {"outcome", "not_run"}};
  return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace ibis::runtime
