#include "ibis/policy/block_reply.hpp"

#include <algorithm>  // for any_of
#include <utility>    // for move

#include "ibis/policy/hit_order.hpp"  // for keep_top_hits

namespace ibis::policy {
namespace {

using wire::missing_reason;
using wire::request_kind;

void add_versions(const block_table& table, const block_state& block,
                  wire::block_reply& reply) {
  for (const group_task& task : block.tasks) {
    const auto pool = table.pools.groups.find(group_key_of(block, task));
    if (pool == table.pools.groups.end()) {
      continue;
    }
    if (const auto range = group_versions(table.pools, pool->second)) {
      reply.versions.push_back(*range);
    }
  }
}

std::vector<wire::shard_index> shards_of(const config::replica_group& group) {
  std::vector<wire::shard_index> shards;
  for (wire::shard_index shard = group.first_shard; shard <= group.last_shard;
       ++shard) {
    shards.push_back(shard);
  }
  return shards;
}

}  // namespace

std::string group_key_of(const block_state& block, const group_task& task) {
  return group_key(block.service->name, task.group);
}

block_state make_block(const std::string& peer, const wire::block_request& request,
                       std::shared_ptr<const config::service> service,
                       base::time_point now) {
  block_state block;
  block.peer = peer;
  block.request = request;
  block.service = std::move(service);
  block.started = now;
  block.deadline = now + request.budget;
  block.reply.call = request.call;
  block.reply.index_version = request.index_version;
  for (const std::uint32_t group : request.groups) {
    group_task task;
    task.group = group;
    task.pending = request.kind == request_kind::submit
                       ? std::vector<wire::shard_index>{request.shard}
                       : shards_of(block.service->groups[group]);
    block.tasks.push_back(std::move(task));
  }
  block.unfinished_tasks = block.tasks.size();
  return block;
}

wire::block_reply current_reply(const block_table& table, const block_state& block,
                                bool final) {
  wire::block_reply reply = block.reply;
  reply.final = final;
  for (const group_task& task : block.tasks) {
    for (const wire::shard_index shard : task.pending) {
      reply.missing.push_back({shard, task.reason});
    }
    reply.may_have_run += static_cast<std::uint32_t>(task.live_attempts.size());
  }
  keep_top_hits(reply.hits, block.request.limit);
  add_versions(table, block, reply);
  return reply;
}

wire::block_reply make_versions_reply(const block_table& table,
                                      const block_state& block) {
  wire::block_reply reply = block.reply;
  add_versions(table, block, reply);
  for (const group_task& task : block.tasks) {
    const auto is_of_task = [&](const wire::version_range& range) {
      return range.group == task.group;
    };
    if (std::any_of(reply.versions.begin(), reply.versions.end(), is_of_task)) {
      continue;
    }
    for (const wire::shard_index shard : task.pending) {
      reply.missing.push_back({shard, missing_reason::lost});
    }
  }
  return reply;
}

wire::block_reply make_refusal(const wire::block_request& request,
                               const config::service* service, missing_reason reason) {
  wire::block_reply reply;
  reply.call = request.call;
  reply.index_version = request.index_version;
  for (const std::uint32_t group : request.groups) {
    if (service == nullptr || group >= service->groups.size()) {
      continue;
    }
    for (const wire::shard_index shard : shards_of(service->groups[group])) {
      reply.missing.push_back({shard, reason});
    }
  }
  return reply;
}

bool groups_exist(const wire::block_request& request, const config::service& service) {
  for (const std::uint32_t group : request.groups) {
    if (group >= service.groups.size()) {
      return false;
    }
  }
  return !request.groups.empty();
}

}  // namespace ibis::policy
