/// Replies to peer nodes that follow the store through this node.
#pragma once

#include "ibis/serving/state.hpp"  // for context

namespace ibis::serving {

/// Adds a change received from the store to the topic's history. Drops the oldest
/// changes when the history exceeds `peer_settings::history_bytes`.
/// @param revision That of the change, with its era.
void record_change(const topic_changed& change, const store_revision& revision,
                   context& ctx);

/// Clears a topic's history; it covers changes after the given revision from now on.
void restart_history(store_topic topic, const store_revision& revision, context& ctx);

/// Replies to a peer's query, or holds the query until there is a change to report or
/// `peer_settings::wait` has passed.
void on_peer_query(const peer_query_received& query, context& ctx);

/// Replies to the held queries as `reply_to_waiting_peers` does, and schedules when to
/// look at the others again.
void on_peer_wait_due(context& ctx);

/// Replies to the held queries that can be answered by now or whose wait has ended.
void reply_to_waiting_peers(context& ctx);

}  // namespace ibis::serving
