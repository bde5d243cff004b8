#include "ibis/serving/holders.hpp"

#include <algorithm>  // for find, find_if, max, min, sort
#include <map>        // for map
#include <set>        // for set

#include "ibis/base/hash.hpp"                 // for hash64
#include "ibis/base/rendezvous.hpp"           // for rendezvous_owners
#include "ibis/serving/connection_quota.hpp"  // for own_connections
#include "ibis/serving/state.hpp"             // for node_state, context

namespace ibis::serving {
namespace {

using nodes_by_zone = std::map<std::string, std::vector<peer>>;

/// Groups all nodes, this one included, by availability zone.
nodes_by_zone group_nodes(const node_state& node) {
  nodes_by_zone zones;
  const std::string& own_zone = node.settings.availability_zone;
  zones[own_zone].push_back({node.settings.node, "", own_zone});
  for (const peer& other : node.peers) {
    zones[other.availability_zone].push_back(other);
  }
  return zones;
}

/// @return The availability zones with most leafs of the block, without those that are
/// evacuated. One with fewer than
/// half as many as the first is left out: its holders would connect to other zones.
std::set<std::string> find_leaf_zones(const node_state& node,
                                      const std::vector<std::string>& shards) {
  std::map<std::string, std::size_t> counts;
  std::size_t most = 0;
  for (const std::string& shard : shards) {
    const auto found = node.services.find(shard);
    if (found == node.services.end()) {
      continue;
    }
    for (const leaf_ptr& leaf : found->second.leafs) {
      if (leaf->evacuated) {
        continue;
      }
      most = std::max(most, ++counts[leaf->record.availability_zone]);
    }
  }
  std::set<std::string> zones;
  for (const auto& [zone, count] : counts) {
    if (count * 2 >= most) {
      zones.insert(zone);
    }
  }
  return zones;
}

/// @return The first nodes by rendezvous hashing, best first.
std::vector<peer> rank_nodes(const std::vector<peer>& nodes, const std::string& block,
                             std::size_t count) {
  std::vector<std::string> names;
  names.reserve(nodes.size());
  for (const peer& node : nodes) {
    names.push_back(node.node);
  }
  std::vector<peer> best;
  for (const std::string& name : base::rendezvous_owners(block, names, count)) {
    best.push_back(*std::find_if(nodes.begin(), nodes.end(), [&name](const peer& node) {
      return node.node == name;
    }));
  }
  return best;
}

/// Orders the zones for this node: its own first, then the others by a hash, so that
/// zones without leafs spread over those that have some.
std::vector<std::string> order_zones(const std::set<std::string>& zones,
                                     const std::string& own, const std::string& block) {
  std::vector<std::string> ordered(zones.begin(), zones.end());
  const auto weight = [&](const std::string& zone) {
    return zone == own ? 0 : base::hash64(own + ' ' + block + ' ' + zone) | 1U;
  };
  std::sort(ordered.begin(), ordered.end(),
            [&](const std::string& first, const std::string& second) {
              return weight(first) < weight(second);
            });
  return ordered;
}

/// Sets the holders of a block.
void assign_holders(const node_state& node, const nodes_by_zone& zones,
                    shard_block& block) {
  const std::string& self = node.settings.node;
  const std::string& key = block.shards.front();
  const std::size_t per_zone = node.settings.holders.per_zone;
  const std::set<std::string> leaf_zones = find_leaf_zones(node, block.shards);
  for (const std::string& zone :
       order_zones(leaf_zones, node.settings.availability_zone, key)) {
    const auto found = zones.find(zone);
    if (found == zones.end()) {
      continue;
    }
    for (const peer& holder : rank_nodes(found->second, key, per_zone)) {
      block.held_here = block.held_here || holder.node == self;
      ++block.holder_count;
      block.holders.push_back(holder);
    }
  }
}

bool needs_holders(const node_state& node, const std::string& shard) {
  return own_connections(node, shard) < node.settings.holders.min_own_connections;
}

/// Splits a route's shards into blocks of nearly equal size and adds them.
void add_blocks(const node_state& node, const route& fan_out,
                const nodes_by_zone& zones, holder_table& table) {
  std::vector<std::string> shards;
  for (const std::string& shard : fan_out.shards) {
    if (!table.block_of.contains(shard) && needs_holders(node, shard)) {
      shards.push_back(shard);
    }
  }
  const std::size_t limit =
      std::max<std::size_t>(1, node.settings.holders.block_shards);
  const std::size_t count = (shards.size() + limit - 1) / limit;
  for (std::size_t i = 0; i < count; ++i) {
    const auto first = static_cast<std::ptrdiff_t>(i * shards.size() / count);
    const auto last = static_cast<std::ptrdiff_t>((i + 1) * shards.size() / count);
    shard_block block;
    block.shards.assign(shards.begin() + first, shards.begin() + last);
    assign_holders(node, zones, block);
    for (const std::string& shard : block.shards) {
      table.block_of[shard] = table.blocks.size();
    }
    table.blocks.push_back(std::move(block));
  }
}

}  // namespace

holder_table make_holder_table(const node_state& node) {
  holder_table table;
  if (!node.configuration || node.settings.node.empty() || node.peers.empty()) {
    return table;
  }
  const nodes_by_zone zones = group_nodes(node);
  for (const route& candidate : node.configuration->routes) {
    if (candidate.shape == route_shape::fan_out) {
      add_blocks(node, candidate, zones, table);
    }
  }
  return table;
}

void update_holders(context& ctx) {
  ctx.node.holders = make_holder_table(ctx.node);
}

const shard_block* find_block(const node_state& node, const std::string& service) {
  const auto found = node.holders.block_of.find(service);
  return found == node.holders.block_of.end() ? nullptr
                                              : &node.holders.blocks[found->second];
}

bool holds_for_others(const node_state& node, const std::string& service,
                      base::time_point now) {
  const shard_block* block = find_block(node, service);
  if (block != nullptr && block->held_here) {
    return true;
  }
  const auto found = node.services.find(service);
  return found != node.services.end() && now < found->second.held_until;
}

const peer* choose_holder(const node_state& node, const shard_block& block,
                          const std::vector<std::string>& asked, base::time_point now) {
  for (const peer& holder : block.holders) {
    const auto health = node.holder_health.find(holder.node);
    const bool avoided =
        health != node.holder_health.end() && now < health->second.avoid_until;
    const bool was_asked =
        std::find(asked.begin(), asked.end(), holder.node) != asked.end();
    if (!avoided && !was_asked) {
      return &holder;
    }
  }
  return nullptr;
}

void avoid_holder(const std::string& name, base::milliseconds at_least, context& ctx) {
  constexpr std::size_t max_doublings = 6;
  const holder_settings& settings = ctx.node.settings.holders;
  holder_health& health = ctx.node.holder_health[name];
  const std::size_t doublings = std::min(health.failures, max_doublings);
  ++health.failures;
  const base::milliseconds backoff =
      std::min(settings.backoff * (1U << doublings), settings.backoff_limit);
  health.avoid_until =
      std::max(health.avoid_until, ctx.now + std::max(at_least, backoff));
}

void mark_holder_healthy(const std::string& name, context& ctx) {
  ctx.node.holder_health.erase(name);
}

void connect_holders(context& ctx) {
  constexpr std::size_t connected_per_block = 2;
  std::set<std::string> connected;
  for (const shard_block& block : ctx.node.holders.blocks) {
    std::size_t wanted = connected_per_block;
    for (const peer& holder : block.holders) {
      if (wanted == 0) {
        break;
      }
      const auto health = ctx.node.holder_health.find(holder.node);
      const bool avoided = health != ctx.node.holder_health.end() &&
                           ctx.now < health->second.avoid_until;
      if (avoided) {
        continue;
      }
      --wanted;
      const bool is_self = holder.node == ctx.node.settings.node;
      if (!is_self && connected.insert(holder.node).second) {
        ctx.out.emplace_back(connect_peer{holder});
      }
    }
  }
}

}  // namespace ibis::serving
