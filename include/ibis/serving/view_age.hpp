/// The age of what a node knows from the store: since when it is known to match the
/// store's data. An open watch alone proves nothing, since the store may have lost it.
#pragma once

#include "ibis/base/time.hpp"         // for milliseconds, time_point
#include "ibis/serving/settings.hpp"  // for node_settings, store_settings
#include "ibis/serving/state.hpp"     // for topic_state

namespace ibis::serving {

/// Records that a topic's data matched the store's at a time. An earlier time than the
/// recorded one changes nothing.
void mark_verified(topic_state& state, base::time_point at);

/// @return How long ago the topic's data was last known to match the store's.
base::milliseconds view_age(const topic_state& state, base::time_point now);

/// @return The age up to which a node may pass on its data as current. It is reached
/// only if a revision check fails.
base::milliseconds max_source_age(const store_settings& settings);

/// @return The age of a topic's data at which a node that gets updates from peers turns
/// to the store, whatever its peers do. It is greater than the age between two replies
/// of a peer whose revision checks succeed.
base::milliseconds max_follower_age(const node_settings& settings);

/// Sets the intervals that determine how soon changes are applied, so that this takes
/// no longer than a limit.
void fit_propagation(node_settings& settings, base::milliseconds limit);

/// @return The shortest limit that these settings can keep. See `fit_propagation`.
base::milliseconds shortest_propagation_limit(node_settings settings);

/// @return How long it takes at most, from when the store acknowledges a change, until
/// a node applies it, provided that the node reaches a store that answers each call
/// within `store_settings::call_time` and on one page. Its peers may have failed.
base::milliseconds longest_propagation(const node_settings& settings);

}  // namespace ibis::serving
