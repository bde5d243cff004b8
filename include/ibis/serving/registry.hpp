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

/// Takes a leaf's word that it leaves: it gets no new requests, and its idle
/// connections are closed. Its record does not undo this, but a later start of the leaf
/// does. Requests that wait for the leaf are not dispatched yet.
void mark_leaving(const leaf_ptr& leaf, context& ctx);

/// Handles another node's report that a leaf has said that it leaves.
/// @param started_at Identifies the start of the leaf; see `leaf_record`.
void on_leaving_reported(const std::string& id, base::milliseconds started_at,
                         context& ctx);

/// Forgets old notices of leafs that have no record any more.
void forget_leaving_notices(context& ctx);

/// Removes the leafs whose records expired and did not come back within the hold time.
void remove_expired_leafs(context& ctx);

}  // namespace ibis::serving
