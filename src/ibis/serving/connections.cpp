#include "ibis/serving/connections.hpp"

#include <algorithm>  // for all_of, any_of, count_if, find, find_if, min
#include <limits>     // for numeric_limits
#include <utility>    // for move

#include "ibis/serving/connection_quota.hpp"  // for connection_quota_of
#include "ibis/serving/evacuations.hpp"       // for knows_evacuations
#include "ibis/serving/request_cost.hpp"      // for make_running, note_free_slot

namespace ibis::serving {
namespace {

constexpr std::size_t max_warm_opens_per_round = 16;  ///< Per round of maintenance.
/// Random part of the cost when choosing a leaf to connect to ahead of need, in units
/// of the cost of a typical request.
constexpr double warm_jitter = 0.5;

void remove_idle(leaf_state& leaf, base::connection_id id) {
  const auto found = std::find(leaf.idle.begin(), leaf.idle.end(), id);
  if (found != leaf.idle.end()) {
    leaf.idle.erase(found);
  }
}

void remove_running(leaf_state& leaf, base::connection_id id, base::time_point now) {
  const auto found = std::find_if(
      leaf.running.begin(), leaf.running.end(),
      [id](const running_request& value) { return value.connection == id; });
  if (found != leaf.running.end()) {
    leaf.running.erase(found);
  }
  note_free_slot(leaf, now);
}

/// Whether the leaf is about to close an idle connection.
bool is_about_to_expire(const connection_state& connection, base::duration idle_for,
                        const leaf_settings& settings) {
  return connection.idle_timeout.count() > 0 &&
         idle_for + settings.idle_margin > connection.idle_timeout;
}

/// Whether a leaf's last connection is surplus, since more leafs of its service are
/// connected than needed.
bool exceeds_warm_target(const leaf_state& leaf, std::size_t warm_leafs,
                         const node_state& node) {
  const auto service = node.services.find(leaf.record.service);
  if (service == node.services.end()) {
    return false;
  }
  const auto connected = static_cast<std::size_t>(
      std::count_if(service->second.leafs.begin(), service->second.leafs.end(),
                    [](const leaf_ptr& other) { return other->open > 0; }));
  return connected > warm_leafs;
}

void retire_idle(leaf_state& leaf, context& ctx) {
  if (leaf.idle.empty()) {
    return;
  }
  const std::size_t warm_leafs =
      connection_quota_of(ctx.node, leaf.record.service, ctx.now).warm_leafs;
  const base::milliseconds surplus_limit =
      warm_leafs == 0 ? ctx.node.settings.holders.own_idle_limit
                      : ctx.node.settings.leafs.surplus_idle_limit;
  const std::vector<base::connection_id> idle = leaf.idle;
  for (const base::connection_id id : idle) {
    const connection_state& connection = ctx.node.connections.at(id);
    const bool surplus =
        leaf.open > 1 || exceeds_warm_target(leaf, warm_leafs, ctx.node);
    const base::duration idle_for = ctx.now - connection.since;
    if ((surplus && idle_for > surplus_limit) ||
        is_about_to_expire(connection, idle_for, ctx.node.settings.leafs)) {
      close(id, ctx);
    }
  }
}

std::size_t count_connections(const service_state& service) {
  std::size_t count = 0;
  for (const leaf_ptr& leaf : service.leafs) {
    count += leaf->open + leaf->opening;
  }
  return count;
}

bool is_connected(const leaf_state& leaf) {
  return leaf.open + leaf.opening > 0;
}

/// @return How many more leafs of a service should be connected ahead of need.
std::size_t missing_warm_leafs(const node_state& node, const std::string& name,
                               const service_state& service, base::time_point now) {
  const std::size_t wanted = connection_quota_of(node, name, now).warm_leafs;
  const auto usable = static_cast<std::size_t>(
      std::count_if(service.leafs.begin(), service.leafs.end(),
                    [](const leaf_ptr& leaf) { return takes_new_work(*leaf); }));
  const auto connected = static_cast<std::size_t>(std::count_if(
      service.leafs.begin(), service.leafs.end(), [](const leaf_ptr& leaf) {
        return takes_new_work(*leaf) && is_connected(*leaf);
      }));
  const std::size_t target = std::min(wanted, usable);
  return target > connected ? target - connected : 0;
}

/// @return The leaf with the lowest cost that has no connection, or nullptr. A
/// random part of the cost makes the nodes spread over the leafs.
leaf_ptr choose_leaf_to_warm(const service_state& service, context& ctx) {
  leaf_ptr best;
  double lowest_cost = std::numeric_limits<double>::max();
  for (const leaf_ptr& leaf : service.leafs) {
    if (is_connected(*leaf) || !takes_new_work(*leaf) ||
        !can_open_connection(ctx.node, *leaf, ctx.now)) {
      continue;
    }
    const bool same_zone =
        leaf->record.availability_zone == ctx.node.settings.availability_zone;
    const double cost =
        expected_cost(*leaf, same_zone, ctx.now, ctx.node.settings.leafs) +
        warm_jitter * random_fraction(ctx.node);
    if (cost < lowest_cost) {
      lowest_cost = cost;
      best = leaf;
    }
  }
  return best;
}

/// Whether other nodes that started with this one may not have been counted yet. The
/// quota is too high until then, so no connection is opened ahead of need.
bool is_waiting_for_count(const node_state& node, base::time_point now) {
  return node.settings.first_start && now - node.started_at < second_count_delay;
}

}  // namespace

bool can_open_connection(const node_state& node, const leaf_state& leaf,
                         base::time_point now) {
  if (now < leaf.next_connect_at) {
    return false;
  }
  const connection_quota quota = connection_quota_of(node, leaf.record.service, now);
  if (leaf.open + leaf.opening >= quota.to_leaf) {
    return false;
  }
  const auto service = node.services.find(leaf.record.service);
  return service != node.services.end() &&
         count_connections(service->second) < quota.to_service;
}

base::connection_id open_connection_to(const leaf_ptr& leaf, base::caller_id caller,
                                       std::size_t shard, context& ctx) {
  const base::connection_id id{ctx.next_id()};
  connection_state connection;
  connection.leaf = leaf;
  connection.caller = caller;
  connection.shard = shard;
  connection.since = ctx.now;
  ctx.node.connections.emplace(id, std::move(connection));
  ++leaf->opening;
  ++ctx.node.count.connections_opened;
  ctx.out.emplace_back(open_connection{id, leaf->record.address});
  ctx.add_timer(ctx.now + ctx.node.settings.leafs.connect_timeout,
                timer_kind::connect_deadline, id.value);
  return id;
}

std::optional<base::connection_id> find_idle(const node_state& node,
                                             const leaf_state& leaf,
                                             std::uint64_t key) {
  const auto found = std::find_if(leaf.idle.rbegin(), leaf.idle.rend(),
                                  [&node, key](base::connection_id id) {
                                    return !has_carried(node.connections.at(id), key);
                                  });
  return found == leaf.idle.rend() ? std::nullopt : std::optional(*found);
}

bool can_send_now(const node_state& node, const leaf_state& leaf, std::uint64_t key,
                  base::time_point now) {
  return find_idle(node, leaf, key) || can_open_connection(node, leaf, now) ||
         (!leaf.idle.empty() && now >= leaf.next_connect_at);
}

bool may_send_later(const node_state& node, const leaf_state& leaf, std::uint64_t key,
                    base::time_point now) {
  if (leaf.open == 0) {
    return false;
  }
  return can_send_now(node, leaf, key, now) ||
         std::any_of(leaf.running.begin(), leaf.running.end(),
                     [&node, key](const running_request& request) {
                       return !has_carried(node.connections.at(request.connection),
                                           key);
                     });
}

void make_room_for_connection(leaf_state& leaf, context& ctx) {
  if (!leaf.idle.empty() && !can_open_connection(ctx.node, leaf, ctx.now)) {
    close(leaf.idle.front(), ctx);
  }
}

void mark_busy(base::connection_id id, const connection_use& use, context& ctx) {
  connection_state& connection = ctx.node.connections.at(id);
  leaf_state& leaf = *connection.leaf;
  remove_idle(leaf, id);
  connection.phase = connection_phase::busy;
  connection.caller = use.caller;
  connection.shard = use.shard;
  connection.since = ctx.now;
  connection.typical_latency = use.typical_latency;
  ++connection.serial;
  std::erase_if(connection.carried, [&ctx](const carried_request& request) {
    return request.expires <= ctx.now;
  });
  connection.carried.push_back({use.key, use.send_until});
  leaf.running.push_back(
      make_running(leaf, id, use.late_after, {use.cost_class, use.expected}, ctx.now));
}

void mark_idle(base::connection_id id, context& ctx) {
  connection_state& connection = ctx.node.connections.at(id);
  leaf_state& leaf = *connection.leaf;
  if (connection.phase == connection_phase::opening) {
    --leaf.opening;
    ++leaf.open;
    connection.opened_at = ctx.now;
  }
  remove_running(leaf, id, ctx.now);
  connection.phase = connection_phase::idle;
  connection.caller = {};
  connection.since = ctx.now;
  ++connection.serial;
  leaf.idle.push_back(id);
}

std::optional<connection_state> remove_connection(base::connection_id id,
                                                  context& ctx) {
  const auto found = ctx.node.connections.find(id);
  if (found == ctx.node.connections.end()) {
    return std::nullopt;
  }
  connection_state connection = std::move(found->second);
  ctx.node.connections.erase(found);
  leaf_state& leaf = *connection.leaf;
  if (connection.phase == connection_phase::opening) {
    --leaf.opening;
  } else {
    --leaf.open;
  }
  remove_idle(leaf, id);
  remove_running(leaf, id, ctx.now);
  return connection;
}

void close(base::connection_id id, context& ctx) {
  if (remove_connection(id, ctx)) {
    ctx.out.emplace_back(close_connection{id});
  }
}

void close_idle(leaf_state& leaf, context& ctx) {
  const std::vector<base::connection_id> idle = leaf.idle;
  for (const base::connection_id id : idle) {
    close(id, ctx);
  }
}

void maintain_connections(context& ctx) {
  for (const auto& [id, leaf] : ctx.node.leafs) {
    retire_idle(*leaf, ctx);
  }
  if (is_waiting_for_count(ctx.node, ctx.now) || !knows_evacuations(ctx.node)) {
    return;
  }
  std::size_t opened = 0;
  for (auto& [name, service] : ctx.node.services) {
    std::size_t wanted = missing_warm_leafs(ctx.node, name, service, ctx.now);
    while (wanted > 0 && opened < max_warm_opens_per_round) {
      const leaf_ptr leaf = choose_leaf_to_warm(service, ctx);
      if (!leaf) {
        break;
      }
      open_connection_to(leaf, {}, 0, ctx);
      ++opened;
      --wanted;
    }
  }
}

bool has_warm_connections(const node_state& node, base::time_point now) {
  return std::all_of(
      node.services.begin(), node.services.end(), [&node, now](const auto& entry) {
        const service_state& service = entry.second;
        const bool reachable = std::any_of(
            service.leafs.begin(), service.leafs.end(), [](const leaf_ptr& leaf) {
              return leaf->connect_failures == 0 && takes_new_work(*leaf);
            });
        return !reachable || missing_warm_leafs(node, entry.first, service, now) == 0;
      });
}

}  // namespace ibis::serving
