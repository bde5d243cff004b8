#include "ibis/policy/node.hpp"

#include <utility>  // for move

namespace ibis::policy {
namespace {

constexpr unsigned incarnation_shift = 24;

void refresh_routing(node_state& state, context& ctx) {
  set_relays(state.shared.nodes,
             live_relays(state.members, state.shared.nodes.leaving_now),
             member_addresses(state.members));
  if (state.role == node_role::relay) {
    sync_pools(state.blocks.pools, ctx);
  }
}

void fail_call(node_state& state, const call_state& call, base::block_call_id id,
               bool sent, context& ctx) {
  if (call.kind == wire::request_kind::submit) {
    on_submit_call_failed(state.claims, state.platform, state.calls,
                          state.queries.tuning, call, sent, ctx);
    return;
  }
  on_query_call_failed(state.queries, state.calls, call, id, sent, ctx);
}

/// Fails all calls to a node that is dead or disconnected, as they will not be
/// answered.
void fail_calls_to(node_state& state, const std::string& node, context& ctx) {
  for (const base::block_call_id id : calls_to(state.calls, node)) {
    if (const auto call = end_call(state.calls, id)) {
      fail_call(state, *call, id, true, ctx);
    }
  }
}

void fail_calls_to_dead_nodes(node_state& state, context& ctx) {
  std::vector<std::string> dead;
  for (const auto& [node, member] : state.members.members) {
    if (member.record.status == wire::member_status::dead) {
      dead.push_back(node);
    }
  }
  for (const std::string& node : dead) {
    fail_calls_to(state, node, ctx);
  }
}

std::size_t live_entries(const membership_state& members) {
  std::size_t count = 0;
  const auto add = [&](const wire::member& record) {
    const bool is_live = record.status != wire::member_status::dead;
    count += is_live && record.role == to_string(node_role::entry) ? 1 : 0;
  };
  add(members.self);
  for (const auto& [node, member] : members.members) {
    add(member.record);
  }
  return count;
}

/// Recomputes routing after a change of the members or the configuration.
void apply_pending_changes(node_state& state, context& ctx) {
  if (refresh_leaving(state.shared.nodes, state.unix_time)) {
    state.configuration.changed = true;
  }
  if (!state.members.changed && !state.configuration.changed) {
    return;
  }
  const bool members_changed = state.members.changed;
  state.members.changed = false;
  state.configuration.changed = false;
  refresh_routing(state, ctx);
  divide_claim_rate(state.platform.tuning, live_entries(state.members));
  if (members_changed && state.role == node_role::entry) {
    fail_calls_to_dead_nodes(state, ctx);
  }
}

void on_block_reply(node_state& state, const std::string& node,
                    const wire::block_reply& reply, context& ctx) {
  record_response(state.calls, node);
  const auto found = state.calls.calls.find(reply.call);
  if (found == state.calls.calls.end() || found->second.node != node) {
    ++ctx.shared.count.late_block_replies;
    return;
  }
  const call_state call = found->second;
  if (reply.final) {
    state.calls.calls.erase(found);
  }
  if (call.kind == wire::request_kind::submit) {
    on_submit_reply(state.claims, state.platform, state.calls, state.queries.tuning,
                    call, reply, ctx);
    return;
  }
  on_query_reply(state.queries, state.calls, call, reply, ctx);
  if (state.queries.peer_with_other_configuration) {
    const std::string peer =
        *std::exchange(state.queries.peer_with_other_configuration, std::nullopt);
    const auto member = state.members.members.find(peer);
    if (member != state.members.members.end()) {
      on_peer_generation(state.configuration, state.members, peer,
                         member->second.generation, ctx);
    }
  }
}

/// Dispatches each type of wire message to its handler.
struct message_visitor {
  node_state& state;        // NOLINT(*-avoid-const-or-ref-data-members)
  const std::string& node;  // NOLINT(*-avoid-const-or-ref-data-members)
  context& ctx;             // NOLINT(*-avoid-const-or-ref-data-members)

  void operator()(const wire::hello& /*unused*/) const {}
  // Used only between nodes of the serving module.
  void operator()(const wire::topic_watch& /*unused*/) const {}
  void operator()(const wire::topic_news& /*unused*/) const {}
  void operator()(const wire::shards_request& /*unused*/) const {}
  void operator()(const wire::shards_reply& /*unused*/) const {}
  void operator()(const wire::quota_request& /*unused*/) const {}
  void operator()(const wire::quota_grant& /*unused*/) const {}
  void operator()(const wire::block_request& message) const {
    if (state.role == node_role::relay) {
      on_block_request(state.blocks, node, message, ctx);
    }
  }
  void operator()(const wire::block_reply& message) const {
    on_block_reply(state, node, message, ctx);
  }
  void operator()(const wire::block_cancel& message) const {
    on_block_cancel(state.blocks, node, message.call, ctx);
  }
  void operator()(const wire::probe& message) const {
    on_probe(state.members, message, ctx);
    on_peer_generation(state.configuration, state.members, message.node,
                       message.generation, ctx);
  }
  void operator()(const wire::probe_ack& message) const {
    on_probe_ack(state.members, message, ctx);
    on_peer_generation(state.configuration, state.members, message.node,
                       message.generation, ctx);
  }
  void operator()(const wire::probe_request& message) const {
    on_probe_request(state.members, message, ctx);
  }
  void operator()(const wire::part_request& message) const {
    on_part_request(state.configuration, state.members, node, message, ctx);
  }
  void operator()(const wire::part_reply& message) const {
    on_part_reply(state.configuration, state.platform, state.members, node, message,
                  ctx);
  }
  void operator()(const wire::generation_ack& message) const {
    record_generation(state.members, message.node, message.generation);
  }
};

void on_undeliverable(node_state& state, const message_undeliverable& event,
                      context& ctx) {
  const auto* request = std::get_if<wire::block_request>(&event.body);
  if (request == nullptr) {
    return;
  }
  record_unanswered_call(state.calls, event.node, ctx);
  if (const auto call = end_call(state.calls, request->call)) {
    fail_call(state, *call, request->call, false, ctx);
  }
}

void on_platform_reply(node_state& state, const platform_replied& event, context& ctx) {
  const auto call = finish_platform_call(state.platform, event.call);
  if (!call) {
    return;
  }
  if (call->purpose >= platform_purpose::claim_create) {
    on_claim_platform_reply(state.claims, state.platform, state.calls,
                            state.queries.tuning, *call, event, ctx);
    return;
  }
  on_configuration_platform_reply(state.configuration, state.platform, state.members,
                                  *call, event, ctx);
}

void finish(node_state& state, context& ctx) {
  if (state.stop.finished) {
    return;
  }
  state.stop.finished = true;
  ctx.out.emplace_back(finish_process{work_in_flight(state)});
}

void on_stop_requested(node_state& state, context& ctx) {
  if (state.stop.requested) {
    finish(state, ctx);
    return;
  }
  state.stop.requested = true;
  state.stop.requested_at = ctx.now;
  announce_leaving(state.members, ctx);
  ctx.add_timer(state.stop.tuning.handover, timer_kind::stop_phase);
}

void on_stop_timer(node_state& state, context& ctx) {
  const bool idle = work_in_flight(state) == 0;
  const bool past_limit = ctx.now >= state.stop.requested_at + state.stop.tuning.limit;
  if (idle || past_limit) {
    finish(state, ctx);
    return;
  }
  ctx.add_timer(state.stop.tuning.check_period, timer_kind::stop_phase);
}

void on_pool_maintenance(node_state& state, context& ctx) {
  maintain_pools(state.blocks.pools, ctx);
  ctx.add_timer(state.blocks.pools.tuning.maintenance_period,
                timer_kind::pool_maintenance);
}

/// Removes expired claims. Only the first watcher of each zone does so.
void on_sweep_timer(node_state& state, context& ctx) {
  ctx.add_timer(state.claims.tuning.sweep_interval, timer_kind::claim_sweep);
  const auto watchers =
      zone_watchers(state.configuration, state.members, state.members.self.zone);
  if (!watchers.empty() && watchers.front() == state.members.self.node) {
    sweep_expired_claims(state.claims, state.platform, state.unix_time, ctx);
  }
}

void on_timer(node_state& state, const timer& due, context& ctx) {
  switch (due.kind) {
    case timer_kind::query_deadline:
    case timer_kind::query_answer_by:
    case timer_kind::call_hedge:
      on_query_timer(state.queries, state.calls, due, ctx);
      return;
    case timer_kind::block_deadline:
    case timer_kind::block_early_reply:
    case timer_kind::attempt_hedge:
    case timer_kind::attempt_timeout:
      on_block_timer(state.blocks, due, ctx);
      return;
    case timer_kind::pool_maintenance:
      on_pool_maintenance(state, ctx);
      return;
    case timer_kind::membership_probe:
    case timer_kind::gossip:
    case timer_kind::probe_timeout:
    case timer_kind::suspicion_timeout:
      on_membership_timer(state.members, due, ctx);
      return;
    case timer_kind::configuration_poll:
      on_configuration_timer(state.configuration, state.platform, state.members, ctx);
      return;
    case timer_kind::platform_retry:
    case timer_kind::claim_deadline:
      on_claim_timer(state.claims, state.platform, state.calls, due, ctx);
      return;
    case timer_kind::claim_sweep:
      on_sweep_timer(state, ctx);
      return;
    case timer_kind::stop_phase:
      on_stop_timer(state, ctx);
      return;
  }
}

void on_tick(node_state& state, const tick& event, context& ctx) {
  state.unix_time = event.unix_time;
  while (const auto due = state.shared.timers.pop_due(ctx.now)) {
    on_timer(state, *due, ctx);
    apply_pending_changes(state, ctx);
  }
}

/// Dispatches each type of event to its handler.
struct event_visitor {
  node_state& state;  // NOLINT(*-avoid-const-or-ref-data-members)
  context& ctx;       // NOLINT(*-avoid-const-or-ref-data-members)

  void operator()(const query_received& event) const {
    on_query(state.queries, state.calls, event, ctx);
  }
  void operator()(const submit_received& event) const {
    on_submit(state.claims, state.platform, state.queries.tuning, event, ctx);
  }
  void operator()(const caller_disconnected& event) const {
    on_caller_disconnected(state.queries, state.calls, event.caller, ctx);
  }
  void operator()(const message_received& event) const {
    std::visit(message_visitor{state, event.node, ctx}, event.body);
  }
  void operator()(const message_undeliverable& event) const {
    on_undeliverable(state, event, ctx);
  }
  void operator()(const peer_connection_lost& event) const {
    probe_disconnected_peer(state.members, event.node, ctx);
    fail_calls_to(state, event.node, ctx);
    on_entry_lost(state.blocks, event.node, ctx);
  }
  void operator()(const connection_opened& event) const {
    on_connection_opened(state.blocks, event, ctx);
  }
  void operator()(const connection_failed& event) const {
    on_connection_failed(state.blocks, event, ctx);
  }
  void operator()(const connection_closed& event) const {
    drop_connection(state.blocks.pools, event.connection, false, ctx);
  }
  void operator()(const status_polled& event) const {
    on_status_polled(state.blocks, event, ctx);
  }
  void operator()(const leaf_replied& event) const {
    on_leaf_reply(state.blocks, event, ctx);
  }
  void operator()(const attempt_lost& event) const {
    on_attempt_lost(state.blocks, event, ctx);
  }
  void operator()(const platform_replied& event) const {
    on_platform_reply(state, event, ctx);
  }
  void operator()(const stop_requested& /*unused*/) const {
    on_stop_requested(state, ctx);
  }
  void operator()(const tick& event) const { on_tick(state, event, ctx); }
};

}  // namespace

std::string_view to_string(node_role role) {
  return role == node_role::entry ? "entry" : "relay";
}

std::string node_name(const std::string& vm, node_role role) {
  return vm + '/' + std::string(to_string(role));
}

node_state make_node(const node_identity& identity) {
  node_state state;
  state.role = identity.role;
  state.shared.random.seed(identity.random_seed);
  state.shared.last_id = identity.incarnation << incarnation_shift;
  state.shared.nodes.node = node_name(identity.vm, identity.role);
  state.shared.nodes.zone = identity.zone;
  state.members.self = {state.shared.nodes.node, identity.vm,
                        identity.zone,           std::string(to_string(identity.role)),
                        identity.address,        identity.http,
                        identity.incarnation,    wire::member_status::alive};
  effects ignored;
  context ctx{base::time_point{}, state.shared, ignored};
  for (const wire::member& seed : identity.seeds) {
    add_member(state.members, seed, ctx);
  }
  return state;
}

effects start(node_state& state, base::time_point now) {
  effects out;
  context ctx{now, state.shared, out};
  start_membership(ctx);
  start_configuration_sync(state.configuration, ctx);
  if (state.role == node_role::relay) {
    ctx.add_timer(base::duration::zero(), timer_kind::pool_maintenance);
  } else {
    ctx.add_timer(state.claims.tuning.sweep_interval, timer_kind::claim_sweep);
  }
  state.members.changed = true;
  apply_pending_changes(state, ctx);
  return out;
}

effects reduce(node_state& state, const event& value, base::time_point now) {
  effects out;
  context ctx{now, state.shared, out};
  std::visit(event_visitor{state, ctx}, value);
  apply_pending_changes(state, ctx);
  return out;
}

readiness check_readiness(const node_state& state) {
  if (state.stop.requested) {
    return {false, "the process is stopping"};
  }
  if (state.shared.nodes.generation == 0) {
    return {false, state.configuration.last_error};
  }
  if (state.shared.nodes.relays.empty()) {
    return {false, "no relay is known to live"};
  }
  return {true, ""};
}

std::size_t work_in_flight(const node_state& state) {
  return state.queries.queries.size() + state.claims.submits.size() +
         state.blocks.blocks.size();
}

}  // namespace ibis::policy
