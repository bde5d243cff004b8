#include "ibis/policy/query_answer.hpp"

#include <algorithm>  // for binary_search, sort
#include <utility>    // for move

#include "ibis/policy/hit_order.hpp"  // for keep_top_hits

namespace ibis::policy {
namespace {

using wire::missing_reason;

missing_reason reason_without_reply(const query_state& query,
                                    const query_block& block) {
  if (!block.live_calls.empty()) {
    return missing_reason::timeout;
  }
  // A holder that was asked for versions and knows none cannot reach any of its leafs.
  const bool asked_for_versions = query.phase != query_phase::searching && block.done;
  return asked_for_versions ? missing_reason::lost : missing_reason::no_holder;
}

missing_reason reason_in(const wire::block_reply& reply, config::shard_index shard,
                         missing_reason unlisted_reason) {
  for (const wire::missing_shard& missing : reply.missing) {
    if (missing.shard == shard) {
      return missing.reason;
    }
  }
  return unlisted_reason;
}

}  // namespace

void add_missing_of_block(const query_state& query, const query_block& block,
                          missing_reason reason, answer& value) {
  for (const std::uint32_t group : block.groups) {
    const config::replica_group& declared = query.service->groups[group];
    for (auto shard = declared.first_shard; shard <= declared.last_shard; ++shard) {
      value.missing.push_back({shard, reason});
    }
  }
}

answer empty_answer(const query_received& request, base::request_id id) {
  answer value;
  value.request = id;
  value.tenant = request.tenant;
  value.priority = request.priority;
  return value;
}

std::size_t covered_count(const query_state& query) {
  std::size_t covered = 0;
  for (const query_block& block : query.blocks) {
    covered += block.reply ? block.reply->covered.size() : 0;
  }
  return covered;
}

answer merge_replies(const query_state& query, base::request_id id,
                     base::time_point now) {
  answer value = empty_answer(query.request, id);
  value.index_version = query.version;
  value.total = config::shard_count(*query.service);
  value.covered = covered_count(query);
  value.latency = now - query.started;
  for (const query_block& block : query.blocks) {
    if (!block.reply) {
      add_missing_of_block(query, block, reason_without_reply(query, block), value);
      continue;
    }
    value.missing.insert(value.missing.end(), block.reply->missing.begin(),
                         block.reply->missing.end());
    value.hits.insert(value.hits.end(), block.reply->hits.begin(),
                      block.reply->hits.end());
  }
  keep_top_hits(value.hits, query.request.limit);
  return value;
}

bool any_may_have_run(const query_state& query) {
  if (query.may_have_run) {
    return true;
  }
  for (const query_block& block : query.blocks) {
    const bool reply_may_have_run = block.reply && block.reply->may_have_run > 0;
    if (reply_may_have_run ||
        (!block.live_calls.empty() && query.phase == query_phase::searching)) {
      return true;
    }
  }
  return false;
}

void set_outcome(answer& value, const query_state& query, const query_tuning& tuning) {
  if (value.covered == value.total) {
    value.outcome = outcome::complete;
    return;
  }
  if (value.covered > 0) {
    value.outcome = outcome::partial;
    value.reason = "some shards did not answer";
    return;
  }
  if (any_may_have_run(query)) {
    value.outcome = outcome::unknown;
    value.reason = "no shard answered in time";
    return;
  }
  value.outcome = outcome::not_run;
  value.reason = "no shard took the request";
  value.retry_after = tuning.retry_after;
}

bool has_missing_reason(const query_state& query, missing_reason reason) {
  for (const query_block& block : query.blocks) {
    if (!block.reply) {
      continue;
    }
    for (const wire::missing_shard& shard : block.reply->missing) {
      if (shard.reason == reason) {
        return true;
      }
    }
  }
  return false;
}

void normalize_shards(const query_state& query, const query_block& block,
                      missing_reason unlisted_reason, wire::block_reply& reply) {
  std::vector<config::shard_index> covered;
  std::vector<wire::missing_shard> missing;
  std::sort(reply.covered.begin(), reply.covered.end());
  for (const std::uint32_t group : block.groups) {
    const config::replica_group& declared = query.service->groups[group];
    for (auto shard = declared.first_shard; shard <= declared.last_shard; ++shard) {
      if (std::binary_search(reply.covered.begin(), reply.covered.end(), shard)) {
        covered.push_back(shard);
      } else {
        missing.push_back({shard, reason_in(reply, shard, unlisted_reason)});
      }
    }
  }
  reply.covered = std::move(covered);
  reply.missing = std::move(missing);
}

bool all_missing_with_reason(const wire::block_reply& reply, missing_reason reason) {
  for (const wire::missing_shard& shard : reply.missing) {
    if (shard.reason != reason) {
      return false;
    }
  }
  return reply.covered.empty() && !reply.missing.empty();
}

}  // namespace ibis::policy
