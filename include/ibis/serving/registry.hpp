/// Applies the contents of the leaf registry: adds and removes leafs, and marks those
/// whose records expired.
#pragma once

#include <string>  // for string
#include <vector>  // for vector

#include "ibis/serving/state.hpp"  // for context

namespace ibis::serving {

/// Applies a complete listing. Leafs that it does not contain are removed, or only
/// marked as expired if the store is unavailable or became available just recently.
void apply_listing(const std::vector<leaf_change>& listed, context& ctx);

/// Applies changes of single records. Many removals at once may be records that expired
/// together, so that those leafs are kept for a hold time.
void apply_changes(const std::vector<leaf_change>& changes, context& ctx);

/// Removes the leafs whose records expired and did not come back within the hold time.
void remove_expired_leafs(context& ctx);

}  // namespace ibis::serving
