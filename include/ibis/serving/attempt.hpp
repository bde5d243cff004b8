/// Sends the tasks of a request to leafs, retries failed attempts where that is safe,
/// and gives tasks up. A task is the part of a request that goes to one service.
#pragma once

#include <string>  // for string

#include "ibis/serving/leaf_choice.hpp"  // for leaf_requirements
#include "ibis/serving/state.hpp"        // for context, pending_request

namespace ibis::serving {

/// Maximum number of times a task is sent: the first attempt, retries and hedges
/// together, whether to different leafs or to the same one.
inline constexpr std::uint32_t max_sends = 3;

/// @return The pending request, or nullptr if it was answered or its client
/// disconnected.
pending_request* find_pending_request(base::caller_id caller, context& ctx);

/// @return The criteria for choosing a leaf for a task of this request.
/// @param is_hedge Whether the leaf is for a hedge.
leaf_requirements requirements_of(const pending_request& pending, bool is_hedge,
                                  const context& ctx);

/// Sends a task on an open connection that is idle, and starts its hedge timer.
/// @param shard Index of the task within the request.
void send(pending_request& pending, std::size_t shard, base::connection_id id,
          context& ctx);

/// Sends a task to the given leaf. Opens a connection first if no idle one is usable.
void dispatch_to(pending_request& pending, std::size_t shard, const leaf_ptr& leaf,
                 context& ctx);

/// Sends a task to the best available leaf, or queues it while all suitable leafs are
/// busy. Charges the extra-request budget if the task was sent before.
/// @return False if no leaf may take the task or the budget is exhausted.
bool dispatch(pending_request& pending, std::size_t shard, context& ctx);

/// Chooses the leafs that may get a task which other nodes may send, unless they are
/// chosen already.
void choose_task_leafs(const pending_request& pending, task_state& task, context& ctx);

/// Restricts a task of another node's request to the leafs that this node has chosen.
/// @param shard Index of the task within the request.
void apply_allowed_leafs(pending_request& pending, std::size_t shard, context& ctx);

/// Marks a task as done without an answer.
void give_up_task(pending_request& pending, task_state& task);

/// Whether the task has an attempt in flight, a holder that is asked for it, a
/// connection opening for it, or a place in the queue for a free connection.
bool is_pending(const task_state& task);

/// Handles the failure of an attempt: retries the task if that is safe and allowed,
/// otherwise gives it up. Does nothing while another attempt is pending.
void on_attempt_failed(pending_request& pending, std::size_t shard, context& ctx);

/// Answers the request if its outcome is decided. Answering destroys `pending`, so that
/// callers must not use it afterwards.
void answer_if_ready(pending_request& pending, context& ctx);

/// Logs an event that concerns an attempt at a leaf.
/// @param name Event name of the log line.
void log_attempt(const char* name, const pending_request& pending, std::size_t shard,
                 const leaf_state& leaf, const std::string& detail, context& ctx);

}  // namespace ibis::serving
