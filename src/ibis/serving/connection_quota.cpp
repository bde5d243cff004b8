#include "ibis/serving/connection_quota.hpp"

#include <algorithm>  // for clamp, max

#include "ibis/serving/holders.hpp"       // for find_block, holds_for_others
#include "ibis/serving/node_records.hpp"  // for nodes_sharing_budget, usable_slack
#include "ibis/serving/state.hpp"         // for node_state

namespace ibis::serving {
namespace {

/// Connections to a leaf whose service the configuration in force does not name yet.
constexpr std::size_t connections_to_unknown_service = 2;

std::size_t count_leafs(const node_state& node, const std::string& service) {
  const auto found = node.services.find(service);
  return found == node.services.end() ? 0 : found->second.leafs.size();
}

/// @return The connection limit of each leaf, or 0 if it is not known.
std::size_t leaf_limit(const node_state& node, const std::string& service) {
  if (!node.configuration) {
    return 0;
  }
  const auto found = node.configuration->services.find(service);
  return found == node.configuration->services.end() ? 0
                                                     : found->second.max_connections;
}

/// @return The number of nodes that hold connections to the service.
std::size_t count_holders(const node_state& node, const std::string& service) {
  const shard_block* block = find_block(node, service);
  const std::size_t assumed = node.settings.holders.per_zone * 2;
  return block == nullptr ? assumed : std::max<std::size_t>(1, block->holder_count);
}

connection_quota holder_quota(const node_state& node, const std::string& service) {
  const leaf_settings& settings = node.settings.leafs;
  const std::size_t leafs = count_leafs(node, service);
  const std::size_t limit = leaf_limit(node, service);
  connection_quota quota;
  quota.to_leaf = connections_to_unknown_service;
  if (limit > 0) {
    // Leaves room for one more holder, since nodes may disagree for a moment.
    const auto sharing = static_cast<double>(count_holders(node, service) + 1);
    const auto share = static_cast<std::size_t>(static_cast<double>(limit) *
                                                settings.connection_share / sharing);
    quota.to_leaf =
        std::clamp<std::size_t>(share, 1, settings.max_connections_per_leaf);
  }
  quota.to_service = quota.to_leaf * leafs;
  quota.warm_leafs = limit > 0 ? leafs : 0;
  return quota;
}

connection_quota shared_quota(const node_state& node, const std::string& service) {
  const std::size_t leafs = count_leafs(node, service);
  if (leafs == 0 || leaf_limit(node, service) == 0) {
    return {};
  }
  const std::size_t own = own_connections(node, service);
  connection_quota quota;
  quota.to_service = std::max<std::size_t>(1, own);
  quota.to_leaf = std::clamp<std::size_t>(own / leafs, 1,
                                          node.settings.leafs.max_connections_per_leaf);
  // The other half of the quota is kept for hedges and for replacing leafs that fail.
  quota.warm_leafs = std::clamp<std::size_t>(own / 2, 1, leafs);
  const bool scarce = own < node.settings.holders.min_own_connections;
  if (own == 0 || (scarce && !node.configuration->routed.contains(service))) {
    quota.warm_leafs = 0;
  }
  return quota;
}

}  // namespace

std::size_t own_connections(const node_state& node, const std::string& service) {
  const double all =
      static_cast<double>(count_leafs(node, service) * leaf_limit(node, service));
  // Leaves room for one more node, which may be about to start.
  return static_cast<std::size_t>(all * node.settings.leafs.connection_share /
                                  static_cast<double>(node.nodes + 1));
}

connection_quota connection_quota_of(const node_state& node, const std::string& service,
                                     base::time_point now) {
  if (holds_for_others(node, service, now)) {
    return holder_quota(node, service);
  }
  if (find_block(node, service) != nullptr) {
    return {1, 1, 0};
  }
  return shared_quota(node, service);
}

extra_budget_settings service_budget(const node_state& node, const std::string& service,
                                     base::time_point now) {
  // Leaves a margin, since others count the arrivals by their own clocks.
  constexpr double used_share = 0.95;
  constexpr double holders_share =
      0.8;  ///< Of the slack; the other nodes get the rest.
  extra_budget_settings own = node.settings.budget;
  own.ratio *= used_share;
  own.slack *= used_share * usable_slack(node, now);
  if (holds_for_others(node, service, now)) {
    own.slack *= holders_share / static_cast<double>(count_holders(node, service) + 1);
    return own;
  }
  own.slack *= find_block(node, service) != nullptr ? 1.0 - holders_share : 1.0;
  own.slack /= static_cast<double>(nodes_sharing_budget(node, now) + 1);
  return own;
}

}  // namespace ibis::serving
