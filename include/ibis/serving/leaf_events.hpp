/// Handles events of connections to leafs: opened, failed, lost, answered, timed out.
#pragma once

#include "ibis/serving/state.hpp"  // for context

namespace ibis::serving {

/// Sends the task that the connection was opened for, if it still needs one.
void on_connection_opened(base::connection_id id, context& ctx);

/// Backs off from the leaf and retries the task that the connection was opened for.
void on_connection_failed(const connection_failed& event, context& ctx);

/// Removes a connection that ended, and handles the loss of the request on it, if any.
void on_connection_lost(const connection_lost& event, context& ctx);

/// Updates the leaf's health with an answer and passes the answer to its request.
void on_leaf_answered(const leaf_answered& event, context& ctx);

/// Closes a connection whose answer took too long or is no longer needed because the
/// client disconnected.
void on_connection_timer(const timer& due, context& ctx);

/// Closes the connections to evacuated leafs that are still being established, and
/// sends the tasks for which they were opened to other leafs.
void abandon_opening_connections(context& ctx);

/// Gives up a connection that was not established in time.
void on_connect_deadline(base::connection_id id, context& ctx);

}  // namespace ibis::serving
