/// Follows the platform's store: lists each topic once, then watches for changes,
/// either at the store or at a peer that watches the store. Lists again when the store
/// has dropped the history from which to watch, or after the store was unavailable.
#pragma once

#include "ibis/serving/state.hpp"  // for context

namespace ibis::serving {

/// Starts to follow all topics. Must be called exactly once.
void start_following(context& ctx);

/// Applies a page of a listing, then lists the next page or, after the last, starts to
/// watch.
void on_topic_listed(const topic_listed& event, context& ctx);

/// Applies changes that a watch returned, and watches again after a short pause.
void on_topic_changed(const topic_changed& event, context& ctx);

/// Schedules a new listing after a store call failed; the delay grows with each
/// failure.
void on_store_call_failed(const store_call_failed& event, context& ctx);

/// Applies the changes in a peer's reply, or switches to another source if the peer has
/// none to offer.
void on_peer_reply(const peer_replied& event, context& ctx);

/// Handles a due timer of a topic: a call timed out, a retry is due, or a stale listing
/// has caught up.
void on_store_timer(const timer& due, context& ctx);

/// Counts a failed call of a topic, and considers the store unavailable from now on.
void record_failure(store_topic topic, store_failure failure, const std::string& detail,
                    context& ctx);

/// Considers the store available again.
void mark_store_recovered(store_topic topic, context& ctx);

/// Whether this node needs the store to answer. False only while peers supply the
/// updates of all topics and the store is not considered unavailable.
bool depends_on_store(const node_state& node);

/// Whether the node has a configuration and complete, current lists of leafs and, where
/// they are followed, of evacuations.
bool has_routing_data(const node_state& node);

}  // namespace ibis::serving
