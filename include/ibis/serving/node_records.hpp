/// This node's record in the store, and the count of all nodes by their records. The
/// count decides each node's share of what all nodes share: connections and extra
/// requests.
#pragma once

#include "ibis/serving/state.hpp"  // for context, timer

namespace ibis::serving {

/// @return By how many nodes a budget over a time window is shared: the most that were
/// counted during the window, since what nodes that have left spent lies within it.
std::size_t nodes_sharing_budget(const node_state& node, base::time_point now);

/// @return The part of its share of the slack that this node may use, from 0 to 1: none
/// until all other nodes count it, and then more and more during the budget's window,
/// since it may have spent its share just before a restart.
double usable_slack(const node_state& node, base::time_point now);

/// Starts the first count. It shows whether this node's record exists from before a
/// restart.
void start_counting(context& ctx);

/// Starts a count when its timer fires.
void on_count_due(const timer& due, context& ctx);

/// Handles one page of a count. After the last one, the number of nodes and the peers
/// are replaced, and this node's record is written if the count lacks it.
void on_nodes_counted(const nodes_counted& page, context& ctx);

/// Handles a page that could not be read: the numbers of the last complete count stay,
/// and the count is tried again after a delay.
void on_node_count_failed(context& ctx);

/// Handles the result of writing this node's record: a failed write is tried again
/// after a delay.
void on_node_record_written(const node_record_written& event, context& ctx);

/// Counts the nodes soon after the store was restored from an older copy, which may
/// lack this node's record and those of others.
void on_store_restored(context& ctx);

/// Writes this node's record again when the delay after a failed write is over.
void on_write_record_due(const timer& due, context& ctx);

}  // namespace ibis::serving
