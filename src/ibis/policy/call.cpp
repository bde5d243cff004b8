#include "ibis/policy/call.hpp"

#include <algorithm>  // for find, sort
#include <utility>    // for move

namespace ibis::policy {

std::optional<std::string> choose_holder(const call_table& table,
                                         const std::string& key,
                                         const std::vector<std::string>& excluded,
                                         context& ctx) {
  std::optional<std::string> last_resort;
  for (const std::string& node : holder_candidates(ctx.shared.nodes, key)) {
    if (std::find(excluded.begin(), excluded.end(), node) != excluded.end()) {
      continue;
    }
    const auto health = table.peers.find(node);
    if (health == table.peers.end() || health->second.avoid_until <= ctx.now) {
      return node;
    }
    if (!last_resort) {
      last_resort = node;
    }
  }
  return last_resort;
}

base::block_call_id start_call(call_table& table, const std::string& node,
                               wire::block_request request, base::request_id owner,
                               std::size_t block, context& ctx) {
  const base::block_call_id id{ctx.next_id()};
  request.call = id;
  table.calls[id] = {owner, block, node, ctx.now, request.kind};
  ++ctx.shared.count.block_calls;
  ctx.send(node, std::move(request));
  return id;
}

std::optional<call_state> end_call(call_table& table, base::block_call_id id) {
  const auto found = table.calls.find(id);
  if (found == table.calls.end()) {
    return std::nullopt;
  }
  call_state ended = std::move(found->second);
  table.calls.erase(found);
  return ended;
}

void cancel_call(call_table& table, base::block_call_id id, context& ctx) {
  if (const auto ended = end_call(table, id)) {
    ctx.send(ended->node, wire::block_cancel{id});
  }
}

void record_response(call_table& table, const std::string& node) {
  const auto found = table.peers.find(node);
  if (found != table.peers.end()) {
    table.peers.erase(found);
  }
}

void record_unanswered_call(call_table& table, const std::string& node, context& ctx) {
  peer_health& health = table.peers[node];
  ++health.consecutive_unanswered;
  if (health.consecutive_unanswered < table.tuning.unresponsive_threshold) {
    return;
  }
  health.avoid_until = ctx.now + table.tuning.avoid_duration;
  if (health.consecutive_unanswered % table.tuning.reset_threshold == 0) {
    ctx.out.emplace_back(reset_peer_connections{node, channel::data});
  }
}

std::vector<base::block_call_id> calls_to(const call_table& table,
                                          const std::string& node) {
  std::vector<base::block_call_id> calls;
  for (const auto& [id, call] : table.calls) {
    if (call.node == node) {
      calls.push_back(id);
    }
  }
  std::sort(calls.begin(), calls.end());
  return calls;
}

}  // namespace ibis::policy
