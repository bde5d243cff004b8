#include "ibis/policy/membership.hpp"

#include <algorithm>  // for shuffle, sort, find
#include <cmath>      // for log2, ceil
#include <tuple>      // for tuple
#include <utility>    // for move

#include "ibis/base/hash.hpp"  // for hash64

namespace ibis::policy {
namespace {

using wire::member;
using wire::member_status;

bool is_live(const member& record) {
  return record.status != member_status::dead;
}

/// Returns whether an update replaces the known record.
bool supersedes(const member& update, const member& known) {
  if (update.incarnation != known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return update.status > known.status;
}

std::uint32_t transmission_limit(const membership_state& membership) {
  const double members = static_cast<double>(membership.members.size()) + 2.0;
  return static_cast<std::uint32_t>(
      std::ceil(membership.tuning.retransmit_multiplier * std::log2(members)));
}

void queue_gossip(membership_state& membership, const std::string& node,
                  base::time_point now) {
  member_state& state = membership.members.at(node);
  state.changed_at = now;
  state.transmissions = 0;
  membership.pending_gossip.insert(node);
}

void start_suspicion(const membership_state& membership, const member_state& state,
                     context& ctx) {
  ++ctx.shared.count.suspicions;
  ctx.add_timer(membership.tuning.suspicion_timeout, timer_kind::suspicion_timeout,
                base::hash64(state.record.node), state.record.incarnation);
}

void send_probe(membership_state& membership, const std::string& target,
                std::uint64_t sequence, context& ctx);

std::vector<std::string> random_alive_members(const membership_state& membership,
                                              std::size_t count,
                                              const std::string& excluded,
                                              const std::string& zone, context& ctx);

/// Probes a few random members at once, so that updates spread faster than by the
/// periodic probes.
void gossip(membership_state& membership, std::size_t fanout, const std::string& zone,
            context& ctx) {
  for (const std::string& node :
       random_alive_members(membership, fanout, membership.self.node, zone, ctx)) {
    send_probe(membership, node, ctx.next_id(), ctx);
  }
}

/// Handles an update about this node itself. A wrong status is refuted by raising the
/// incarnation; `leaving`, however, is accepted as an instruction to leave.
void on_update_about_self(membership_state& membership, const member& update,
                          context& ctx) {
  if (update.status == member_status::leaving &&
      update.incarnation >= membership.self.incarnation &&
      membership.self.status != member_status::leaving) {
    membership.self.status = member_status::leaving;
    membership.changed = true;
    return;
  }
  const bool needs_no_refutation = update.status == member_status::alive ||
                                   update.status == membership.self.status ||
                                   update.incarnation < membership.self.incarnation;
  if (needs_no_refutation) {
    return;
  }
  membership.self.incarnation = update.incarnation + 1;
  ++ctx.shared.count.refutations;
  gossip(membership, membership.tuning.gossip_fanout, "", ctx);
}

/// Starts the gossip timer unless it is running, so that changes which arrive shortly
/// after each other are gossiped together.
void schedule_gossip(membership_state& membership, context& ctx) {
  if (membership.gossip_scheduled) {
    return;
  }
  membership.gossip_scheduled = true;
  ctx.add_timer(membership.tuning.gossip_delay, timer_kind::gossip);
}

void on_gossip_timer(membership_state& membership, context& ctx) {
  membership.gossip_scheduled = false;
  gossip(membership, membership.tuning.urgent_gossip_fanout, "", ctx);
}

/// Returns whether an update must spread at once. This holds for a failure, and for the
/// refutation of one, which has to arrive before others declare the member dead.
bool is_urgent(const member_state& known, const member& update) {
  return update.status == member_status::suspect ||
         update.status == member_status::dead ||
         known.record.status == member_status::suspect ||
         known.record.status == member_status::dead;
}

/// Merges an update into the known members unless it is outdated.
void apply_update(membership_state& membership, const member& update, context& ctx) {
  if (update.node.empty()) {
    return;
  }
  if (update.node == membership.self.node) {
    on_update_about_self(membership, update, ctx);
    return;
  }
  const auto known = membership.members.find(update.node);
  if (known == membership.members.end()) {
    membership.members[update.node].record = update;
    membership.probes.add(membership.self.node, update.node);
  } else if (supersedes(update, known->second.record)) {
    if (is_urgent(known->second, update)) {
      schedule_gossip(membership, ctx);
    }
    known->second.record = update;
  } else {
    return;
  }
  membership.changed = true;
  queue_gossip(membership, update.node, ctx.now);
  member_state& state = membership.members.at(update.node);
  if (update.status == member_status::suspect) {
    start_suspicion(membership, state, ctx);
  }
  if (update.status == member_status::dead) {
    ++ctx.shared.count.deaths;
  }
}

/// Picks the records to send to a member: this node's own, the receiver's if it is not
/// seen as alive (so that it can refute), then failures, then other updates, the least
/// often gossiped ones first.
std::vector<member> pick_updates(membership_state& membership,
                                 const std::string& receiver) {
  std::vector<member> updates{membership.self};
  const auto known = membership.members.find(receiver);
  if (known != membership.members.end() &&
      known->second.record.status != member_status::alive) {
    updates.push_back(known->second.record);
  }
  // Failures come first: after a common start, updates about members that joined fill
  // many messages.
  std::vector<std::tuple<bool, std::uint32_t, std::string>> candidates;
  candidates.reserve(membership.pending_gossip.size());
  for (const std::string& node : membership.pending_gossip) {
    const member_state& state = membership.members.at(node);
    const bool joined = state.record.status == member_status::alive;
    candidates.emplace_back(joined, state.transmissions, node);
  }
  const std::size_t sorted_count =
      std::min(candidates.size(), membership.tuning.updates_per_message);
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(sorted_count),
                    candidates.end());
  const std::uint32_t limit = transmission_limit(membership);
  for (const auto& [joined, transmissions, node] : candidates) {
    if (updates.size() >= membership.tuning.updates_per_message) {
      break;
    }
    member_state& state = membership.members.at(node);
    if (node != receiver) {
      updates.push_back(state.record);
    }
    if (++state.transmissions >= limit) {
      membership.pending_gossip.erase(node);
    }
  }
  return updates;
}

void send_probe(membership_state& membership, const std::string& target,
                std::uint64_t sequence, context& ctx) {
  ++ctx.shared.count.probes_sent;
  wire::probe message{sequence, membership.self.node, ctx.shared.nodes.generation,
                      pick_updates(membership, target)};
  ctx.send_control(target, membership.members.at(target).record.address,
                   std::move(message));
}

/// Returns the next live member to probe.
std::optional<std::string> next_probe_target(membership_state& membership,
                                             context& ctx) {
  for (std::size_t attempt = 0; attempt <= membership.probes.size(); ++attempt) {
    std::optional<std::string> node = membership.probes.next(ctx.shared.random);
    if (!node) {
      return std::nullopt;
    }
    const auto found = membership.members.find(*node);
    if (found != membership.members.end() && is_live(found->second.record)) {
      return node;
    }
  }
  return std::nullopt;
}

std::vector<std::string> random_alive_members(const membership_state& membership,
                                              std::size_t count,
                                              const std::string& excluded,
                                              const std::string& zone, context& ctx) {
  std::vector<std::string> alive;
  for (const auto& [node, state] : membership.members) {
    const bool zone_matches = zone.empty() || state.record.zone == zone;
    if (zone_matches && node != excluded &&
        state.record.status == member_status::alive) {
      alive.push_back(node);
    }
  }
  std::shuffle(alive.begin(), alive.end(), ctx.shared.random);
  alive.resize(std::min(alive.size(), count));
  return alive;
}

void probe_member(membership_state& membership, const std::string& target,
                  context& ctx) {
  const std::uint64_t sequence = ctx.next_id();
  membership.pending_probes[sequence] = {target, false, "", 0};
  send_probe(membership, target, sequence, ctx);
  ctx.add_timer(membership.tuning.direct_timeout, timer_kind::probe_timeout, sequence);
}

/// Probes a random dead member, so that a network partition that has healed is noticed.
void probe_random_dead_member(membership_state& membership, context& ctx) {
  std::vector<std::string> dead;
  for (const auto& [node, state] : membership.members) {
    if (!is_live(state.record)) {
      dead.push_back(node);
    }
  }
  if (dead.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> random_index(0, dead.size() - 1);
  send_probe(membership, dead[random_index(ctx.shared.random)], ctx.next_id(), ctx);
}

void remove_expired_members(membership_state& membership, base::time_point now) {
  std::vector<std::string> expired;
  for (const auto& [node, state] : membership.members) {
    if (!is_live(state.record) &&
        now > state.changed_at + membership.tuning.dead_retention) {
      expired.push_back(node);
    }
  }
  for (const std::string& node : expired) {
    membership.members.erase(node);
    membership.pending_gossip.erase(node);
    membership.probes.remove(node);
  }
}

void on_probe_timer(membership_state& membership, context& ctx) {
  ctx.add_timer(membership.tuning.probe_interval, timer_kind::membership_probe);
  if (const auto target = next_probe_target(membership, ctx)) {
    probe_member(membership, *target, ctx);
  }
  probe_random_dead_member(membership, ctx);
  remove_expired_members(membership, ctx.now);
}

void suspect_member(membership_state& membership, const std::string& node,
                    context& ctx) {
  const auto found = membership.members.find(node);
  if (found == membership.members.end() ||
      found->second.record.status != member_status::alive) {
    return;
  }
  member update = found->second.record;
  update.status = member_status::suspect;
  apply_update(membership, update, ctx);
  // Tell the suspected member first, so that it can refute the suspicion in time.
  send_probe(membership, node, ctx.next_id(), ctx);
  gossip(membership, membership.tuning.gossip_fanout, "", ctx);
}

/// Declares a member that no longer answers dead, unless its status has changed from
/// `status` in the meantime.
void declare_dead(membership_state& membership, const std::string& node,
                  member_status status, context& ctx) {
  const auto found = membership.members.find(node);
  if (found == membership.members.end() || found->second.record.status != status) {
    return;
  }
  member update = found->second.record;
  update.status = member_status::dead;
  apply_update(membership, update, ctx);
}

void on_probe_timeout(membership_state& membership, std::uint64_t sequence,
                      context& ctx) {
  const auto found = membership.pending_probes.find(sequence);
  if (found == membership.pending_probes.end()) {
    return;
  }
  pending_probe& pending = found->second;
  if (pending.final_check) {
    const std::string target = pending.target;
    membership.pending_probes.erase(found);
    declare_dead(membership, target, member_status::suspect, ctx);
    return;
  }
  if (!pending.requester.empty() || pending.indirect) {
    const std::string target = pending.target;
    const bool own_probe = pending.requester.empty();
    membership.pending_probes.erase(found);
    if (own_probe) {
      suspect_member(membership, target, ctx);
      declare_dead(membership, target, member_status::leaving, ctx);
    }
    return;
  }
  pending.indirect = true;
  // The existing connection may be stalled although a new one would work.
  ctx.out.emplace_back(reset_peer_connections{pending.target, channel::control});
  const std::string target = pending.target;
  for (const std::string& proxy : random_alive_members(
           membership, membership.tuning.indirect_probes, target, "", ctx)) {
    ctx.send_control(proxy, membership.members.at(proxy).record.address,
                     wire::probe_request{sequence, membership.self.node, target});
  }
  ctx.add_timer(membership.tuning.indirect_timeout, timer_kind::probe_timeout,
                sequence);
}

/// Probes a suspected member once more before it is declared dead, because its
/// refutation may have been lost.
void check_suspect(membership_state& membership, const std::string& node,
                   context& ctx) {
  const std::uint64_t sequence = ctx.next_id();
  pending_probe check{node, true, "", 0};
  check.final_check = true;
  membership.pending_probes[sequence] = std::move(check);
  send_probe(membership, node, sequence, ctx);
  ctx.add_timer(membership.tuning.direct_timeout, timer_kind::probe_timeout, sequence);
}

void on_suspicion_timeout(membership_state& membership, const timer& due,
                          context& ctx) {
  for (const auto& [node, state] : membership.members) {
    const bool matches = base::hash64(node) == due.subject &&
                         state.record.incarnation == due.detail &&
                         state.record.status == member_status::suspect;
    if (!matches) {
      continue;
    }
    check_suspect(membership, node, ctx);
    return;
  }
}

}  // namespace

void start_membership(context& ctx) {
  ctx.add_timer(base::duration::zero(), timer_kind::membership_probe);
}

void add_member(membership_state& membership, const member& proposed, context& ctx) {
  if (membership.members.count(proposed.node) == 0) {
    apply_update(membership, proposed, ctx);
  }
}

void mark_vm_leaving(membership_state& membership, const std::string& vm,
                     context& ctx) {
  std::vector<member> updated;
  for (const auto& [node, state] : membership.members) {
    if (state.record.vm == vm && state.record.status < member_status::leaving) {
      updated.push_back(state.record);
    }
  }
  if (membership.self.vm == vm && membership.self.status < member_status::leaving) {
    updated.push_back(membership.self);
  }
  for (member& record : updated) {
    record.status = member_status::leaving;
    apply_update(membership, record, ctx);
  }
}

void record_generation(membership_state& membership, const std::string& node,
                       std::uint64_t generation) {
  const auto found = membership.members.find(node);
  if (found != membership.members.end()) {
    found->second.generation = std::max(found->second.generation, generation);
  }
}

void on_probe(membership_state& membership, const wire::probe& message, context& ctx) {
  for (const member& update : message.updates) {
    apply_update(membership, update, ctx);
  }
  record_generation(membership, message.node, message.generation);
  const auto sender = membership.members.find(message.node);
  if (sender == membership.members.end()) {
    return;
  }
  wire::probe_ack ack{message.sequence, membership.self.node,
                      ctx.shared.nodes.generation,
                      pick_updates(membership, message.node)};
  ctx.send_control(message.node, sender->second.record.address, std::move(ack));
}

void on_probe_ack(membership_state& membership, const wire::probe_ack& message,
                  context& ctx) {
  for (const member& update : message.updates) {
    apply_update(membership, update, ctx);
  }
  record_generation(membership, message.node, message.generation);
  const auto found = membership.pending_probes.find(message.sequence);
  if (found == membership.pending_probes.end()) {
    return;
  }
  const pending_probe pending = found->second;
  membership.pending_probes.erase(found);
  const auto requester = membership.members.find(pending.requester);
  if (requester != membership.members.end()) {
    ctx.send_control(pending.requester, requester->second.record.address,
                     wire::probe_ack{pending.requester_sequence, pending.target,
                                     message.generation, message.updates});
  }
}

void on_probe_request(membership_state& membership, const wire::probe_request& message,
                      context& ctx) {
  const auto target = membership.members.find(message.target);
  if (target == membership.members.end()) {
    return;
  }
  const std::uint64_t sequence = ctx.next_id();
  membership.pending_probes[sequence] = {message.target, true, message.node,
                                         message.sequence};
  send_probe(membership, message.target, sequence, ctx);
  ctx.add_timer(membership.tuning.indirect_timeout, timer_kind::probe_timeout,
                sequence);
}

void probe_disconnected_peer(membership_state& membership, const std::string& node,
                             context& ctx) {
  const auto found = membership.members.find(node);
  if (found != membership.members.end() && is_live(found->second.record)) {
    probe_member(membership, node, ctx);
  }
}

void on_membership_timer(membership_state& membership, const timer& due, context& ctx) {
  switch (due.kind) {
    case timer_kind::membership_probe:
      on_probe_timer(membership, ctx);
      return;
    case timer_kind::probe_timeout:
      on_probe_timeout(membership, due.subject, ctx);
      return;
    case timer_kind::suspicion_timeout:
      on_suspicion_timeout(membership, due, ctx);
      return;
    case timer_kind::gossip:
      on_gossip_timer(membership, ctx);
      return;
    default:
      return;
  }
}

void gossip_generation(membership_state& membership, context& ctx) {
  gossip(membership, membership.tuning.gossip_fanout, membership.self.zone, ctx);
  for (const std::string& node :
       random_alive_members(membership, 1, membership.self.node, "", ctx)) {
    send_probe(membership, node, ctx.next_id(), ctx);
  }
}

void announce_leaving(membership_state& membership, context& ctx) {
  membership.self.status = member_status::leaving;
  membership.changed = true;
  for (const auto& [node, state] : membership.members) {
    if (is_live(state.record) && state.record.zone == membership.self.zone) {
      send_probe(membership, node, ctx.next_id(), ctx);
    }
  }
  gossip(membership, membership.tuning.gossip_fanout, "", ctx);
}

std::map<std::string, std::vector<std::string>> live_relays(
    const membership_state& membership, const std::set<std::string>& leaving_vms) {
  std::map<std::string, std::vector<std::string>> relays;
  const auto add = [&](const member& record) {
    const bool alive_or_suspect = record.status == member_status::alive ||
                                  record.status == member_status::suspect;
    const bool vm_is_leaving = leaving_vms.count(record.vm) != 0;
    if (record.role == "relay" && alive_or_suspect && !vm_is_leaving) {
      relays[record.zone].push_back(record.node);
    }
  };
  add(membership.self);
  for (const auto& [node, state] : membership.members) {
    add(state.record);
  }
  return relays;
}

std::unordered_map<std::string, std::string> member_addresses(
    const membership_state& membership) {
  std::unordered_map<std::string, std::string> addresses;
  addresses[membership.self.node] = membership.self.address;
  for (const auto& [node, state] : membership.members) {
    if (is_live(state.record)) {
      addresses[node] = state.record.address;
    }
  }
  return addresses;
}

std::vector<std::string> live_members(const membership_state& membership,
                                      const std::string& zone,
                                      const std::string& role) {
  std::vector<std::string> live;
  const auto add = [&](const member& record) {
    const bool alive_or_suspect = record.status == member_status::alive ||
                                  record.status == member_status::suspect;
    if (record.zone == zone && record.role == role && alive_or_suspect) {
      live.push_back(record.node);
    }
  };
  add(membership.self);
  for (const auto& [node, state] : membership.members) {
    add(state.record);
  }
  return live;
}

std::uint64_t highest_generation(const membership_state& membership) {
  std::uint64_t highest = 0;
  for (const auto& [node, state] : membership.members) {
    highest = std::max(highest, state.generation);
  }
  return highest;
}

}  // namespace ibis::policy
