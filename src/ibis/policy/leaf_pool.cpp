#include "ibis/policy/leaf_pool.hpp"

#include <algorithm>  // for max, min, find
#include <cmath>      // for exp2
#include <set>        // for set

namespace ibis::policy {
namespace {

double to_us(base::duration value) {
  return std::chrono::duration<double, std::micro>(value).count();
}

bool is_leaving(const routing_table& nodes, const std::string& leaf) {
  return nodes.leaving_now.count(leaf) != 0;
}

/// Returns whether requests may be sent to or queued for the leaf. A draining or
/// leaving leaf would refuse them, and a leaf that cannot be reached is not waited for.
bool is_usable(const leaf_state& leaf) {
  if (leaf.draining || leaf.leaving) {
    return false;
  }
  return leaf.open > 0 || leaf.open_failures == 0;
}

bool has_version(const leaf_state& leaf, std::uint64_t version) {
  if (version == 0 || !leaf.status) {
    return true;
  }
  return leaf.status->oldest_version <= version &&
         version <= leaf.status->newest_version;
}

bool has_capacity(const leaf_state& leaf) {
  return !leaf.idle.empty() &&
         static_cast<double>(leaf.in_flight) + 1.0 <= leaf.concurrency_limit;
}

/// Returns a leaf's latency, with the excess over its baseline decayed by the time
/// since the last sample, so that a slow leaf is tried again.
double expected_latency_us(const leaf_pools& pools, const leaf_state& leaf,
                           base::time_point now) {
  const double floor_us = std::max(leaf.baseline_us, 1.0);
  if (leaf.latency_us <= floor_us) {
    return floor_us;
  }
  const double half_lives =
      to_us(now - leaf.sampled_at) / to_us(pools.tuning.latency_half_life);
  return floor_us + (leaf.latency_us - floor_us) * std::exp2(-half_lives);
}

std::size_t ejected_count(const leaf_pools& pools, const group_pool& group,
                          base::time_point now) {
  std::size_t count = 0;
  for (const std::string& name : group.leafs) {
    const auto found = pools.leafs.find(name);
    if (found != pools.leafs.end() && found->second.ejected_until > now) {
      ++count;
    }
  }
  return count;
}

void add_or_update_group(leaf_pools& pools,
                         const std::shared_ptr<const config::service>& service,
                         std::size_t index, const routing_table& nodes) {
  const std::string key = group_key(service->name, index);
  group_pool& pool = pools.groups[key];
  pool.service = service;
  pool.group = index;
  pool.released_at.reset();
  for (const std::string& name : pool.leafs) {
    const auto previous = pools.leafs.find(name);
    if (previous != pools.leafs.end() && previous->second.group_key == key) {
      previous->second.group_key.clear();
    }
  }
  pool.leafs.clear();
  for (const config::leaf_declaration& declared : service->groups[index].leafs) {
    leaf_state& leaf = pools.leafs[declared.name];
    leaf.declared = declared;
    leaf.group_key = key;
    leaf.leaving = is_leaving(nodes, declared.name);
    pool.leafs.push_back(declared.name);
  }
}

void add_or_update_service(leaf_pools& pools,
                           const std::shared_ptr<const config::service>& service,
                           const routing_table& nodes,
                           std::set<std::string>& held_groups) {
  service_stats& stats = pools.services[service->name];
  stats.hedges.share = service->policy.hedge_budget;
  stats.retries.share = service->policy.retry_budget;
  for (std::size_t block = 0; block < config::block_count(*service); ++block) {
    if (!holds_block(nodes, config::block_key(service->name, block))) {
      continue;
    }
    const std::size_t first = block * config::groups_per_block;
    const std::size_t last =
        std::min(first + config::groups_per_block, service->groups.size());
    for (std::size_t index = first; index < last; ++index) {
      add_or_update_group(pools, service, index, nodes);
      held_groups.insert(group_key(service->name, index));
    }
  }
}

void start_opening(leaf_pools& pools, const std::string& name, leaf_state& leaf,
                   context& ctx) {
  const base::connection_id id{ctx.next_id()};
  pools.connections[id] = {name, connection_phase::opening, {}, ctx.now};
  ++leaf.opening;
  ++ctx.shared.count.connections_opened;
  ctx.out.emplace_back(open_connection{id, name, leaf.declared.address});
}

/// Returns how many connections to keep open: one more than are busy, so that no
/// request waits for one to open, at least the leaf's slots, and at most the allowance.
std::size_t target_connection_count(const leaf_state& leaf, std::size_t allowance) {
  const std::size_t needed =
      std::max<std::size_t>(leaf.declared.slots, leaf.in_flight + 1);
  return std::min(needed, allowance);
}

void poll_leaf(const leaf_pools& pools, const std::string& name, leaf_state& leaf,
               context& ctx) {
  if (ctx.now >= leaf.next_poll) {
    leaf.next_poll = ctx.now + pools.tuning.poll_period;
    ctx.out.emplace_back(poll_status{name, leaf.declared.address});
  }
}

void open_if_needed(leaf_pools& pools, const std::string& name, leaf_state& leaf,
                    context& ctx) {
  if (pools.stopping || leaf.opening > 0 || ctx.now < leaf.next_open || leaf.draining ||
      leaf.leaving) {
    return;
  }
  const std::size_t allowance = connection_allowance(pools, ctx.shared.nodes, leaf);
  if (leaf.open < target_connection_count(leaf, allowance)) {
    start_opening(pools, name, leaf, ctx);
  }
}

void close_idle(leaf_pools& pools, leaf_state& leaf, context& ctx) {
  const std::vector<base::connection_id> idle = leaf.idle;
  for (const base::connection_id id : idle) {
    drop_connection(pools, id, true, ctx);
  }
}

bool release_leaf(leaf_pools& pools, const std::string& name, context& ctx) {
  const auto found = pools.leafs.find(name);
  if (found == pools.leafs.end()) {
    return true;
  }
  close_idle(pools, found->second, ctx);
  if (found->second.open > 0 || found->second.opening > 0) {
    return false;
  }
  ctx.out.emplace_back(close_control_connection{name});
  pools.leafs.erase(found);
  return true;
}

void release_groups(leaf_pools& pools, context& ctx) {
  std::vector<std::string> released_keys;
  for (auto& [key, group] : pools.groups) {
    if (!group.released_at ||
        ctx.now < *group.released_at + pools.tuning.release_after) {
      continue;
    }
    bool released = true;
    for (const std::string& name : group.leafs) {
      const auto leaf = pools.leafs.find(name);
      const bool moved = leaf != pools.leafs.end() && leaf->second.group_key != key;
      released = (moved || release_leaf(pools, name, ctx)) && released;
    }
    if (released) {
      released_keys.push_back(key);
    }
  }
  for (const std::string& key : released_keys) {
    pools.groups.erase(key);
  }
}

/// Removes leafs that are no longer declared.
void release_undeclared(leaf_pools& pools, context& ctx) {
  std::vector<std::string> undeclared;
  for (const auto& [name, leaf] : pools.leafs) {
    if (leaf.group_key.empty()) {
      undeclared.push_back(name);
    }
  }
  for (const std::string& name : undeclared) {
    release_leaf(pools, name, ctx);
  }
}

std::vector<base::connection_id> silent_connections(const leaf_pools& pools,
                                                    const std::string& name,
                                                    base::time_point since) {
  std::vector<base::connection_id> silent;
  for (const auto& [id, connection] : pools.connections) {
    if (connection.leaf == name && connection.phase != connection_phase::opening &&
        connection.opened_at <= since) {
      silent.push_back(id);
    }
  }
  return silent;
}

}  // namespace

std::string group_key(const std::string& service, std::size_t group) {
  return service + '#' + std::to_string(group);
}

void sync_pools(leaf_pools& pools, context& ctx) {
  const routing_table& nodes = ctx.shared.nodes;
  std::set<std::string> held_groups;
  for (const auto& [name, service] : nodes.configuration->services) {
    add_or_update_service(pools, service, nodes, held_groups);
  }
  for (auto& [key, group] : pools.groups) {
    if (held_groups.count(key) == 0 && !group.released_at) {
      group.released_at = ctx.now;
    }
  }
  for (auto& [name, leaf] : pools.leafs) {
    leaf.leaving = is_leaving(nodes, name);
  }
}

std::size_t connection_allowance(const leaf_pools& pools, const routing_table& nodes,
                                 const leaf_state& leaf) {
  const double usable = pools.tuning.connection_share * leaf.declared.connections;
  const auto relay_share = static_cast<std::size_t>(usable) / total_holder_count(nodes);
  // One of them is the control connection to the leaf.
  return relay_share > 2 ? relay_share - 1 : 1;
}

void maintain_pools(leaf_pools& pools, context& ctx) {
  for (auto& [name, leaf] : pools.leafs) {
    const auto group = pools.groups.find(leaf.group_key);
    if (group != pools.groups.end() && !group->second.released_at) {
      poll_leaf(pools, name, leaf, ctx);
      open_if_needed(pools, name, leaf, ctx);
    }
  }
  release_groups(pools, ctx);
  release_undeclared(pools, ctx);
}

void open_next_connection(leaf_pools& pools, const std::string& name, context& ctx) {
  const auto leaf = pools.leafs.find(name);
  if (leaf == pools.leafs.end()) {
    return;
  }
  const auto group = pools.groups.find(leaf->second.group_key);
  if (group != pools.groups.end() && !group->second.released_at) {
    open_if_needed(pools, name, leaf->second, ctx);
  }
}

pick_result pick_leaf(const leaf_pools& pools, const group_pool& group,
                      std::uint64_t version, const std::vector<std::string>& excluded,
                      base::time_point now) {
  pick_result best{"", pick_failure::lost};
  double best_wait = 0;
  const bool is_round_robin =
      group.service->policy.replica_choice == config::replica_choice::round_robin;
  const std::size_t offset =
      is_round_robin ? group.attempt_count % group.leafs.size() : 0;
  for (std::size_t i = 0; i < group.leafs.size(); ++i) {
    const std::string& name = group.leafs[(i + offset) % group.leafs.size()];
    const auto found = pools.leafs.find(name);
    const bool is_excluded =
        std::find(excluded.begin(), excluded.end(), name) != excluded.end();
    if (is_excluded || found == pools.leafs.end()) {
      continue;
    }
    const leaf_state& leaf = found->second;
    if (!is_usable(leaf)) {
      if (best.failure == pick_failure::lost && (leaf.draining || leaf.leaving)) {
        best.failure = pick_failure::draining;
      }
      continue;
    }
    if (!has_version(leaf, version)) {
      if (best.failure == pick_failure::lost ||
          best.failure == pick_failure::draining) {
        best.failure = pick_failure::version_gone;
      }
      continue;
    }
    if (!has_capacity(leaf) || leaf.ejected_until > now) {
      if (best.failure != pick_failure::none) {
        best.failure = pick_failure::busy;
      }
      continue;
    }
    const double wait = expected_latency_us(pools, leaf, now) *
                        (static_cast<double>(leaf.in_flight) + 1.0);
    if (best.leaf.empty() || (wait < best_wait && !is_round_robin)) {
      best = {name, pick_failure::none};
      best_wait = wait;
    }
  }
  return best;
}

base::connection_id acquire_connection(leaf_pools& pools, leaf_state& leaf,
                                       base::attempt_id attempt) {
  const base::connection_id id = leaf.idle.back();
  leaf.idle.pop_back();
  connection_state& connection = pools.connections.at(id);
  connection.phase = connection_phase::busy;
  connection.attempt = attempt;
  ++leaf.in_flight;
  return id;
}

void release_connection(leaf_pools& pools, base::connection_id connection) {
  const auto found = pools.connections.find(connection);
  if (found == pools.connections.end() ||
      found->second.phase != connection_phase::busy) {
    return;
  }
  found->second.phase = connection_phase::idle;
  found->second.attempt = {};
  leaf_state& leaf = pools.leafs.at(found->second.leaf);
  leaf.idle.push_back(connection);
  --leaf.in_flight;
}

void drop_connection(leaf_pools& pools, base::connection_id connection,
                     bool close_socket, context& ctx) {
  const auto found = pools.connections.find(connection);
  if (found == pools.connections.end()) {
    return;
  }
  leaf_state& leaf = pools.leafs.at(found->second.leaf);
  if (found->second.phase == connection_phase::opening) {
    --leaf.opening;
  } else {
    --leaf.open;
  }
  if (found->second.phase == connection_phase::busy) {
    --leaf.in_flight;
  }
  const auto idle = std::find(leaf.idle.begin(), leaf.idle.end(), connection);
  if (idle != leaf.idle.end()) {
    leaf.idle.erase(idle);
  }
  pools.connections.erase(found);
  if (close_socket) {
    ctx.out.emplace_back(close_connection{connection});
  }
}

std::vector<base::attempt_id> on_open_succeeded(leaf_pools& pools,
                                                const connection_opened& event,
                                                context& ctx) {
  const auto found = pools.connections.find(event.connection);
  if (found == pools.connections.end()) {
    ctx.out.emplace_back(close_connection{event.connection});
    return {};
  }
  const std::string name = found->second.leaf;
  leaf_state& leaf = pools.leafs.at(name);
  found->second.phase = connection_phase::idle;
  found->second.opened_at = ctx.now;
  --leaf.opening;
  ++leaf.open;
  leaf.open_failures = 0;
  leaf.idle.push_back(event.connection);
  record_status(leaf, event.status);
  if (!leaf.probing) {
    return {};
  }
  leaf.probing = false;
  std::vector<base::attempt_id> silent;
  for (const base::connection_id id :
       silent_connections(pools, name, leaf.unanswered_since)) {
    const base::attempt_id attempt = pools.connections.at(id).attempt;
    if (attempt) {
      silent.push_back(attempt);
    }
    ++ctx.shared.count.connections_retired;
    drop_connection(pools, id, true, ctx);
  }
  return silent;
}

void on_open_failed(leaf_pools& pools, const connection_failed& event, context& ctx) {
  const auto found = pools.connections.find(event.connection);
  if (found == pools.connections.end()) {
    return;
  }
  leaf_state& leaf = pools.leafs.at(found->second.leaf);
  ++ctx.shared.count.connections_failed;
  ++leaf.open_failures;
  leaf.probing = false;
  constexpr std::uint32_t max_doublings = 6;
  const auto factor = 1U << std::min(leaf.open_failures - 1, max_doublings);
  leaf.next_open =
      ctx.now + std::min<base::duration>(pools.tuning.open_backoff * factor,
                                         pools.tuning.open_backoff_limit);
  if (leaf.open == 0) {
    leaf.concurrency_limit = 1.0;
    leaf.slow_start = true;
    leaf.status.reset();
  }
  drop_connection(pools, event.connection, false, ctx);
}

void record_status(leaf_state& leaf, const leaf_status& status) {
  leaf.draining = status.draining;
  if (status.newest_version != 0) {
    leaf.status = status;
  }
}

void record_success(leaf_pools& pools, leaf_state& leaf, base::duration latency,
                    bool was_at_limit, std::size_t allowance, base::time_point now) {
  const pool_tuning& tuning = pools.tuning;
  const double sample = to_us(latency);
  leaf.failures = 0;
  leaf.ejections = 0;
  leaf.sampled_at = now;
  leaf.latency_us =
      leaf.latency_us == 0
          ? sample
          : leaf.latency_us + tuning.smoothing * (sample - leaf.latency_us);
  constexpr double baseline_growth = 1.001;
  leaf.baseline_us = leaf.baseline_us == 0
                         ? sample
                         : std::min(leaf.baseline_us * baseline_growth, sample);
  const bool slow = leaf.latency_us > tuning.latency_inflation * leaf.baseline_us;
  const auto slots = static_cast<double>(leaf.declared.slots);
  if (slow && leaf.concurrency_limit > slots &&
      now >= leaf.decreased_at + tuning.decrease_pause) {
    leaf.concurrency_limit =
        std::max(slots, leaf.concurrency_limit * tuning.decrease_on_latency);
    leaf.decreased_at = now;
    return;
  }
  if (leaf.slow_start) {
    leaf.concurrency_limit += 1.0;
    leaf.slow_start = leaf.concurrency_limit < slots;
  } else if (was_at_limit && !slow) {
    leaf.concurrency_limit += 1.0 / leaf.concurrency_limit;
  }
  leaf.concurrency_limit =
      std::min(leaf.concurrency_limit, static_cast<double>(allowance));
}

void record_shed(leaf_pools& pools, leaf_state& leaf, base::time_point now) {
  if (now < leaf.decreased_at + pools.tuning.decrease_pause) {
    return;
  }
  leaf.concurrency_limit =
      std::max(1.0, leaf.concurrency_limit * pools.tuning.decrease_on_shed);
  leaf.decreased_at = now;
}

void record_failure(leaf_pools& pools, leaf_state& leaf, context& ctx) {
  ++leaf.failures;
  if (leaf.failures < pools.tuning.ejection_failures) {
    return;
  }
  const auto group = pools.groups.find(leaf.group_key);
  if (group == pools.groups.end()) {
    return;
  }
  // Never eject more than half of a group's replicas.
  const std::size_t ejected = ejected_count(pools, group->second, ctx.now);
  if ((ejected + 1) * 2 > group->second.leafs.size()) {
    return;
  }
  constexpr std::uint32_t max_doublings = 5;
  const auto factor = 1U << std::min(leaf.ejections, max_doublings);
  leaf.ejected_until =
      ctx.now + std::min<base::duration>(pools.tuning.ejection_time * factor,
                                         pools.tuning.ejection_time_limit);
  ++leaf.ejections;
  leaf.failures = 0;
  leaf.concurrency_limit = 1.0;
  leaf.slow_start = true;
  ++ctx.shared.count.ejections;
}

void probe_silent_leaf(leaf_pools& pools, leaf_state& leaf, base::time_point since,
                       context& ctx) {
  if (leaf.probing) {
    return;
  }
  leaf.probing = true;
  leaf.unanswered_since = since;
  if (leaf.opening == 0) {
    start_opening(pools, leaf.declared.name, leaf, ctx);
  }
}

std::optional<wire::version_range> group_versions(const leaf_pools& pools,
                                                  const group_pool& group) {
  std::optional<wire::version_range> held_by_all;
  std::optional<wire::version_range> held_by_any;
  for (const std::string& name : group.leafs) {
    const auto found = pools.leafs.find(name);
    if (found == pools.leafs.end() || !found->second.status ||
        !is_usable(found->second)) {
      continue;
    }
    const leaf_status& status = *found->second.status;
    if (!held_by_all) {
      held_by_all = wire::version_range{static_cast<std::uint32_t>(group.group),
                                        status.oldest_version, status.newest_version};
      held_by_any = held_by_all;
      continue;
    }
    held_by_all->oldest = std::max(held_by_all->oldest, status.oldest_version);
    held_by_all->newest = std::min(held_by_all->newest, status.newest_version);
    held_by_any->oldest = std::min(held_by_any->oldest, status.oldest_version);
    held_by_any->newest = std::max(held_by_any->newest, status.newest_version);
  }
  return held_by_all && held_by_all->oldest <= held_by_all->newest ? held_by_all
                                                                   : held_by_any;
}

}  // namespace ibis::policy
