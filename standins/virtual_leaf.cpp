#include "virtual_leaf.hpp"

namespace ibis::standins {

using policy::leaf_outcome;

std::optional<leaf_outcome> find_refusal(const virtual_leaf& leaf,
                                         const policy::send_leaf_request& request) {
  if (leaf.draining) {
    return leaf_outcome::draining;
  }
  const bool search = request.kind == wire::request_kind::search;
  const bool has_version = request.index_version >= leaf.oldest_version &&
                           request.index_version <= leaf.newest_version;
  if (search && !has_version) {
    return leaf_outcome::version_gone;
  }
  std::size_t present_shards = 0;
  for (const wire::shard_index shard : request.shards) {
    present_shards += leaf.moved.count(shard) == 0 ? 1 : 0;
  }
  if (present_shards == 0) {
    return leaf_outcome::moved;
  }
  if (leaf.busy >= leaf.slots && leaf.waiting.size() >= leaf.queue_limit) {
    return leaf_outcome::shed;
  }
  return std::nullopt;
}

policy::leaf_replied make_reply(virtual_leaf& leaf,
                                const policy::send_leaf_request& request) {
  policy::leaf_replied reply;
  reply.attempt = request.attempt;
  reply.index_version = request.index_version;
  reply.status = status_of(leaf);
  for (const wire::shard_index shard : request.shards) {
    if (leaf.moved.count(shard) != 0) {
      continue;
    }
    reply.covered.push_back(shard);
    if (request.kind == wire::request_kind::search) {
      reply.hits.push_back({expected_hit(shard, request.index_version, request.query),
                            1.0, shard, "{}"});
    }
  }
  if (request.kind == wire::request_kind::submit) {
    reply.result = "{\"stored\":\"" + request.idempotency_key + "\"}";
  }
  return reply;
}

policy::leaf_status status_of(const virtual_leaf& leaf) {
  return {leaf.oldest_version, leaf.newest_version, leaf.draining};
}

std::string expected_hit(wire::shard_index shard, std::uint64_t version,
                         const std::string& query) {
  return std::to_string(shard) + '@' + std::to_string(version) + ':' + query;
}

}  // namespace ibis::standins
