/// Manages a node's connections to leafs: how many it may open, which one to use, and
/// when to open and close them.
#pragma once

#include <cstddef>   // for size_t
#include <cstdint>   // for uint64_t
#include <optional>  // for optional

#include "ibis/serving/state.hpp"  // for context

namespace ibis::serving {

/// Whether the quota and the leaf's reconnect backoff allow another connection now.
bool can_open_connection(const node_state& node, const leaf_state& leaf,
                         base::time_point now);

/// Opens a connection to a leaf.
/// @param caller The request that needs the connection; none for a connection that is
/// opened ahead of need.
/// @param shard Index of the task within that request.
base::connection_id open_connection_to(const leaf_ptr& leaf, base::caller_id caller,
                                       std::size_t shard, context& ctx);

/// @return The most recently used idle connection to the leaf that has not carried the
/// request, if there is one.
/// @param key The request's `request_key`.
std::optional<base::connection_id> find_idle(const node_state& node,
                                             const leaf_state& leaf, std::uint64_t key);

/// Whether a request can be sent to the leaf now: on an idle connection, on a new one,
/// or on a new one in place of an idle one that has carried it.
/// @param key The request's `request_key`.
bool can_send_now(const node_state& node, const leaf_state& leaf, std::uint64_t key,
                  base::time_point now);

/// Whether it makes sense to wait until a request can be sent to the leaf: it can be
/// sent apart from the leaf's load, or on a connection that is in use now.
/// @param key The request's `request_key`.
bool may_send_later(const node_state& node, const leaf_state& leaf, std::uint64_t key,
                    base::time_point now);

/// Closes the connection to the leaf that was idle longest, if a new one could not be
/// opened beside it.
void make_room_for_connection(leaf_state& leaf, context& ctx);

/// A request for which a connection is used.
struct connection_use {
  base::caller_id caller;
  std::size_t shard = 0;              ///< Index of the task within the request.
  std::uint64_t key = 0;              ///< The request's `request_key`.
  base::time_point send_until{};      ///< Until when the request may be sent again.
  base::duration typical_latency{0};  ///< Latency that is typical of its route.
  base::duration late_after{0};       ///< Age from which the leaf counts as suspect.
  cost::request_class cost_class{};   ///< Of the request.
  base::duration expected{0};         ///< What a leaf needs for it; 0 if unknown.
};

/// Marks an idle connection as busy with a request.
void mark_busy(base::connection_id id, const connection_use& use, context& ctx);

/// Marks an opening or busy connection as idle.
void mark_idle(base::connection_id id, context& ctx);

/// Removes the state of a connection in any phase, without closing the connection.
/// @return The removed state, or nothing if the id is unknown.
std::optional<connection_state> remove_connection(base::connection_id id, context& ctx);

/// Closes a connection and removes its state.
void close(base::connection_id id, context& ctx);

/// Closes all idle connections to a leaf.
void close_idle(leaf_state& leaf, context& ctx);

/// Closes connections that have been idle for too long, and opens connections ahead of
/// need where fewer leafs are connected than the quota's `warm_leafs`.
void maintain_connections(context& ctx);

/// Whether each service either has its warm connections or cannot be reached.
bool has_warm_connections(const node_state& node, base::time_point now);

}  // namespace ibis::serving
