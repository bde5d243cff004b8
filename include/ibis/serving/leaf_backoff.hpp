/// Leafs that want nothing for a while: they turn a request away with status 503 and
/// say for how long they want no other from this node.
#pragma once

#include <optional>  // for optional
#include <string>    // for string

#include "ibis/serving/state.hpp"  // for context, leaf_state

namespace ibis::serving {

/// Whether nothing may be sent to a leaf now, neither hedges nor repeats.
bool backs_off(const leaf_state& leaf, base::time_point now);

/// Whether a leaf that backed off has one request again, and gets no other until it has
/// answered.
bool is_probed(const leaf_state& leaf);

/// Notes what a leaf's answer says about backing off.
/// @param request Id of the request that it answers, for the log.
void note_backoff(leaf_state& leaf, const leaf_answer& answer,
                  const std::string& request, context& ctx);

/// @return When the first leaf of a service may be asked again; nothing if one of them
/// may be now, or if there is none.
std::optional<base::time_point> end_of_backoff(const node_state& node,
                                               const std::string& service,
                                               base::time_point now);

}  // namespace ibis::serving
