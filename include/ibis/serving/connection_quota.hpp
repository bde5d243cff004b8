/// This node's share of what all nodes together may use of a service: connections to
/// its leafs, and extra requests.
#pragma once

#include <cstddef>  // for size_t
#include <string>   // for string

#include "ibis/base/time.hpp"             // for time_point
#include "ibis/serving/extra_budget.hpp"  // for extra_budget_settings

namespace ibis::serving {

struct node_state;

/// This node's quota of the connections to a service.
struct connection_quota {
  std::size_t to_service = 0;  ///< Connections to all leafs of the service together.
  std::size_t to_leaf = 0;     ///< Connections to any one leaf.
  std::size_t warm_leafs = 0;  ///< Leafs to keep connected before requests need them.
};

/// @return How many connections to a service this node may have if all nodes have the
/// same number; 0 if the configuration in force does not name the service or none of
/// its leafs is known yet.
std::size_t own_connections(const node_state& node, const std::string& service);

/// @return This node's quota for a service. Holders share the service's connection
/// limit; a node that is none keeps to a single connection, for the case that it
/// reaches no holder.
connection_quota connection_quota_of(const node_state& node, const std::string& service,
                                     base::time_point now);

/// @return This node's share of the extra-request budget of all nodes for a service.
/// See `usable_slack` for when that includes a share of the slack.
extra_budget_settings service_budget(const node_state& node, const std::string& service,
                                     base::time_point now);

}  // namespace ibis::serving
