#include "ibis/runtime/leaf_protocol.hpp"

#include <nlohmann/json.hpp>  // for json
#include <optional>           // for optional
#include <utility>            // for move

namespace ibis::runtime {
namespace {

using nlohmann::json;

constexpr int http_ok = 200;

base::error protocol_error(std::string detail) {
  return {base::error_code::protocol, "read leaf reply", "", std::move(detail)};
}

/// Maps the name of a refusal to an outcome. The name alone decides, whatever the HTTP
/// status of the response is.
std::optional<policy::leaf_outcome> outcome_of(const std::string& name) {
  using policy::leaf_outcome;
  if (name == "shed") {
    return leaf_outcome::shed;
  }
  if (name == "draining") {
    return leaf_outcome::draining;
  }
  if (name == "version_gone") {
    return leaf_outcome::version_gone;
  }
  if (name == "moved") {
    return leaf_outcome::moved;
  }
  if (name == "cancelled") {
    return leaf_outcome::cancelled;
  }
  return std::nullopt;
}

policy::leaf_status status_of(const json& root) {
  policy::leaf_status status;
  status.oldest_version = root.value("oldest_version", std::uint64_t{0});
  status.newest_version = root.value("newest_version", std::uint64_t{0});
  status.draining = root.value("draining", false);
  return status;
}

void read_hits(const json& root, policy::leaf_replied& reply) {
  if (!root.contains("hits")) {
    return;
  }
  for (const json& item : root.at("hits")) {
    wire::hit hit;
    item.at("id").get_to(hit.id);
    item.at("score").get_to(hit.score);
    item.at("shard").get_to(hit.shard);
    hit.body = item.at("record").dump();
    reply.hits.push_back(std::move(hit));
  }
}

}  // namespace

std::string write_leaf_request(const policy::send_leaf_request& request) {
  json body = {{"attempt", request.attempt.value},
               {"service", request.service},
               {"partition_epoch", request.partition_epoch},
               {"shards", request.shards},
               {"deadline_ms", base::to_ms(request.budget)}};
  if (request.kind == wire::request_kind::submit) {
    body["idempotency_key"] = request.idempotency_key;
    body["document"] = json::parse(request.query, nullptr, false);
  } else {
    body["index_version"] = request.index_version;
    body["query"] = request.query;
    body["limit"] = request.limit;
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string write_cancel(base::attempt_id attempt) {
  return json{{"attempt", attempt.value}}.dump();
}

base::result<policy::leaf_status> read_leaf_status(const std::string& body) {
  try {
    return status_of(json::parse(body));
  } catch (const json::exception& failure) {
    return protocol_error(failure.what());
  }
}

base::result<policy::leaf_replied> read_leaf_reply(base::attempt_id attempt, int status,
                                                   const std::string& body) {
  try {
    const json root = json::parse(body);
    if (root.at("attempt").get<std::uint64_t>() != attempt.value) {
      return protocol_error("the reply belongs to another attempt");
    }
    policy::leaf_replied reply;
    reply.attempt = attempt;
    reply.status = status_of(root);
    if (status != http_ok) {
      const auto refusal = outcome_of(root.at("refused").get<std::string>());
      if (!refusal) {
        return protocol_error("unknown name of a refusal");
      }
      reply.outcome = *refusal;
      return reply;
    }
    reply.index_version = root.value("index_version", std::uint64_t{0});
    root.at("shards").get_to(reply.covered);
    read_hits(root, reply);
    if (root.contains("result")) {
      reply.result = root.at("result").dump();
    }
    return reply;
  } catch (const json::exception& failure) {
    return protocol_error(failure.what());
  }
}

}  // namespace ibis::runtime
