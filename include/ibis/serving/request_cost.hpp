/// Passes what happens to requests to the module that learns their costs, and judges
/// leafs by it. Active only if `leaf_settings::by_cost` is set.
#pragma once

#include "ibis/serving/state.hpp"  // for context, pending_request, task_state

namespace ibis::serving {

/// What is known of a request's cost.
struct request_cost {
  cost::request_class id;
  base::duration expected{0};  ///< 0 if unknown.
};

/// Sets the class of a request, and what a leaf is expected to need for each task of
/// it.
void set_expected_cost(pending_request& pending, context& ctx);

/// @return A request that is sent to a leaf now.
running_request make_running(const leaf_state& leaf, base::connection_id id,
                             base::duration late_after, const request_cost& cost,
                             base::time_point now);

/// Gives a leaf's free slots to the requests that have waited longest there. The leaf
/// does not tell which ones it runs; it is assumed to take them in order.
void note_free_slot(leaf_state& leaf, base::time_point now);

/// Keeps the load report of an answer, which arrives on a busy connection.
void note_load(leaf_state& leaf, base::connection_id id, const leaf_answer& answer,
               context& ctx);

/// Learns the cost of the request that is answered on a busy connection, and logs it if
/// it was far higher than expected.
void note_cost(const leaf_state& leaf, base::connection_id id,
               const leaf_answer& answer, context& ctx);

/// @return The part of a leaf's cost that depends on its speed and load: when it would
/// finish the request, relative to a usual leaf without load.
/// @param expected What a leaf needs for the request; 0 if unknown.
double load_cost(const leaf_state& leaf, base::duration expected, const context& ctx);

/// Whether to wait with a hedge, since the attempt in flight is expected to end before
/// the hedge would. Not for longer than the hedge's usual delay.
/// @param other The leaf that would get the hedge.
bool postpones_hedge(const pending_request& pending, const task_state& task,
                     const leaf_state& other, const context& ctx);

}  // namespace ibis::serving
