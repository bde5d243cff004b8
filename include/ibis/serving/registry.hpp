/// Applies the leaf registry: which leaves join, which are removed, and whose records
/// expired.
#pragma once

#include <string>  // for string
#include <vector>  // for vector

#include "ibis/serving/state.hpp"  // for context

namespace ibis::serving {

/// Applies a complete listing. Leaves that it does not contain are removed, or only
/// marked as expired if the store is unavailable or became available just recently.
void apply_listing(const std::vector<leaf_change>& listed, context& ctx);

/// Applies changes of single records. Many removals at once may be records that expired
/// together, so that those leaves are kept for a hold time.
void apply_changes(const std::vector<leaf_change>& changes, context& ctx);

/// Removes the leaves whose records expired and did not come back within the hold time.
void remove_expired_leafs(context& ctx);

}  // namespace ibis::serving
