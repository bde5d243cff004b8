/// Evacuations of availability zones: while a zone is evacuated, its leafs get no new
/// requests. Requests that they run already end normally.
#pragma once

#include <string>  // for string
#include <vector>  // for vector

#include "ibis/serving/state.hpp"  // for context, node_state

namespace ibis::serving {

/// Applies a complete listing of the evacuated zones. All others are in service again.
void apply_zone_listing(const std::vector<zone_change>& listed, context& ctx);

/// Applies changes in their order. Earlier ones may be repeated and outdated: only what
/// results from all of them takes effect.
void apply_zone_changes(const std::vector<zone_change>& changes, context& ctx);

/// Whether a complete listing of the evacuated zones says what the node knows.
bool matches_zone_listing(const node_state& node,
                          const std::vector<zone_change>& listed);

/// Whether a zone is evacuated.
bool is_evacuated(const node_state& node, const std::string& zone);

/// Whether the node can tell which zones are evacuated. A node that follows evacuations
/// sends no request until it has a current listing of them.
bool knows_evacuations(const node_state& node);

/// Whether a service has leafs, and all of them are evacuated.
bool has_only_evacuated_leafs(const node_state& node, const std::string& service);

}  // namespace ibis::serving
