#include "ibis/serving/evacuations.hpp"

#include <algorithm>  // for all_of
#include <set>        // for set
#include <utility>    // for move

#include "ibis/serving/connections.hpp"    // for close_idle
#include "ibis/serving/leaf_events.hpp"    // for abandon_opening_connections
#include "ibis/serving/waiting_tasks.hpp"  // for dispatch_waiting_tasks

namespace ibis::serving {
namespace {

void apply(const zone_change& change, std::set<std::string>& zones) {
  if (change.evacuated) {
    zones.insert(change.zone);
  } else {
    zones.erase(change.zone);
  }
}

void log_zone(const char* name, const std::string& zone, context& ctx) {
  std::size_t leafs = 0;
  for (const auto& [id, leaf] : ctx.node.leafs) {
    leafs += leaf->record.availability_zone == zone ? 1 : 0;
  }
  ctx.log(name, {{"availability_zone", zone}, {"leafs", std::to_string(leafs)}});
}

void log_differences(const std::set<std::string>& before, context& ctx) {
  for (const std::string& zone : ctx.node.evacuated_zones) {
    if (!before.contains(zone)) {
      log_zone("zone_evacuated", zone, ctx);
    }
  }
  for (const std::string& zone : before) {
    if (!ctx.node.evacuated_zones.contains(zone)) {
      log_zone("zone_returned", zone, ctx);
    }
  }
}

/// Marks the leafs whose zones were evacuated or returned.
/// @return Their services.
std::set<std::string> mark_leafs(context& ctx) {
  std::set<std::string> services;
  for (const auto& [id, leaf] : ctx.node.leafs) {
    const bool evacuated = is_evacuated(ctx.node, leaf->record.availability_zone);
    if (leaf->evacuated == evacuated) {
      continue;
    }
    leaf->evacuated = evacuated;
    services.insert(leaf->record.service);
    if (evacuated) {
      close_idle(*leaf, ctx);
    }
  }
  return services;
}

void replace_zones(std::set<std::string> zones, context& ctx) {
  if (zones == ctx.node.evacuated_zones) {
    return;
  }
  const std::set<std::string> before = std::move(ctx.node.evacuated_zones);
  ctx.node.evacuated_zones = std::move(zones);
  log_differences(before, ctx);
  ctx.node.holders_outdated = true;
  // All leafs are marked before any task is sent again, so that none goes to a leaf
  // that is marked next.
  const std::set<std::string> services = mark_leafs(ctx);
  abandon_opening_connections(ctx);
  for (const std::string& service : services) {
    dispatch_waiting_tasks(service, ctx);
  }
}

}  // namespace

void apply_zone_listing(const std::vector<zone_change>& listed, context& ctx) {
  std::set<std::string> zones;
  for (const zone_change& change : listed) {
    apply(change, zones);
  }
  replace_zones(std::move(zones), ctx);
}

void apply_zone_changes(const std::vector<zone_change>& changes, context& ctx) {
  std::set<std::string> zones = ctx.node.evacuated_zones;
  for (const zone_change& change : changes) {
    apply(change, zones);
  }
  replace_zones(std::move(zones), ctx);
}

bool matches_zone_listing(const node_state& node,
                          const std::vector<zone_change>& listed) {
  std::set<std::string> zones;
  for (const zone_change& change : listed) {
    apply(change, zones);
  }
  return zones == node.evacuated_zones;
}

bool is_evacuated(const node_state& node, const std::string& zone) {
  return node.evacuated_zones.contains(zone);
}

bool knows_evacuations(const node_state& node) {
  return !node.settings.store.follow_evacuations ||
         node.topics[static_cast<std::size_t>(store_topic::evacuations)].listed;
}

bool has_only_evacuated_leafs(const node_state& node, const std::string& service) {
  const auto found = node.services.find(service);
  if (found == node.services.end() || found->second.leafs.empty()) {
    return false;
  }
  return std::all_of(found->second.leafs.begin(), found->second.leafs.end(),
                     [](const leaf_ptr& leaf) { return leaf->evacuated; });
}

}  // namespace ibis::serving
