#include "ibis/serving/leaf_choice.hpp"

#include <algorithm>  // for find
#include <limits>     // for numeric_limits

#include "ibis/serving/concurrency_limit.hpp"  // for has_capacity
#include "ibis/serving/connections.hpp"   // for find_idle, can_send_now, may_send_later
#include "ibis/serving/leaf_backoff.hpp"  // for backs_off, is_probed
#include "ibis/serving/request_cost.hpp"  // for load_cost

namespace ibis::serving {
namespace {

// Costs, in units of the cost of a typical request.
constexpr double repeat_cost = 8.0;  ///< For a leaf that the task was already sent to.
constexpr double jitter = 0.1;       ///< Keeps nodes from all choosing the same leaf.
constexpr double new_connection_cost = 0.3;
constexpr double too_slow_cost = 6.0;  ///< For a leaf likely to answer too late.
constexpr double busy_cost = 2.0;      ///< For a leaf without capacity at the moment.
constexpr double opening_cost = 1.0;   ///< For each connection that is still opening.

bool was_tried(const task_state& task, const leaf_state& leaf) {
  return std::find(task.tried_leafs.begin(), task.tried_leafs.end(), leaf.key) !=
         task.tried_leafs.end();
}

/// Whether an attempt of the task may be in flight at a leaf already.
bool may_be_in_flight_at(const task_state& task, const leaf_state& leaf) {
  return !task.active_connections.empty() && was_tried(task, leaf);
}

bool is_in_subset(const task_state& task, const leaf_state& leaf) {
  const std::vector<std::uint64_t>& subset = task.leaf_subset;
  return subset.empty() ||
         std::find(subset.begin(), subset.end(), leaf.key) != subset.end();
}

bool is_allowed(const task_state& task, const leaf_state& leaf,
                const leaf_requirements& requirements, base::time_point now) {
  if (!takes_new_work(leaf) || backs_off(leaf, now) || !is_in_subset(task, leaf)) {
    return false;
  }
  const bool tried = was_tried(task, leaf);
  if (!tried && task.tried_leafs.size() >= requirements.max_leafs) {
    return false;
  }
  if (may_be_in_flight_at(task, leaf)) {
    return false;
  }
  return !requirements.is_hedge ||
         (!is_suspect(leaf, now) && !is_unreachable(leaf, now));
}

double cost_of(const task_state& task, const leaf_state& leaf,
               const leaf_requirements& requirements, context& ctx) {
  const bool same_zone =
      leaf.record.availability_zone == ctx.node.settings.availability_zone;
  const leaf_settings& settings = ctx.node.settings.leafs;
  double cost = settings.by_cost
                    ? expected_cost(leaf, load_cost(leaf, requirements.expected, ctx),
                                    same_zone, ctx.now, settings)
                    : expected_cost(leaf, same_zone, ctx.now, settings);
  cost += was_tried(task, leaf) ? repeat_cost : 0.0;
  cost += find_idle(ctx.node, leaf, requirements.key) ? 0.0 : new_connection_cost;
  cost += opening_cost * static_cast<double>(leaf.opening);
  return cost + jitter * random_fraction(ctx.node);
}

bool can_take_now(const leaf_state& leaf, const leaf_requirements& requirements,
                  context& ctx) {
  const bool capacity = requirements.is_hedge ? has_spare_capacity(leaf, ctx.now)
                                              : has_capacity(leaf, ctx.now);
  return capacity && !is_probed(leaf) &&
         can_send_now(ctx.node, leaf, requirements.key, ctx.now);
}

bool is_too_slow(const leaf_state& leaf, const leaf_requirements& requirements,
                 context& ctx) {
  const double expected = base::to_ms(requirements.typical_latency) *
                          current_slowness(leaf, ctx.now, ctx.node.settings.leafs);
  return expected >
         base::to_ms(requirements.useful_for) * ctx.node.settings.leafs.slow_share;
}

}  // namespace

leaf_choice choose_leaf(const task_state& task, const leaf_requirements& requirements,
                        context& ctx) {
  const auto service = ctx.node.services.find(task.service);
  if (service == ctx.node.services.end()) {
    return {};
  }
  leaf_choice choice;
  double lowest_cost = std::numeric_limits<double>::max();
  for (const leaf_ptr& leaf : service->second.leafs) {
    if (!is_allowed(task, *leaf, requirements, ctx.now)) {
      continue;
    }
    const bool available = can_take_now(*leaf, requirements, ctx);
    const bool may_wait = !requirements.is_hedge &&
                          may_send_later(ctx.node, *leaf, requirements.key, ctx.now);
    if (!available && !may_wait) {
      continue;
    }
    double cost = cost_of(task, *leaf, requirements, ctx);
    cost += is_too_slow(*leaf, requirements, ctx) ? too_slow_cost : 0.0;
    cost += available ? 0.0 : busy_cost;
    if (cost < lowest_cost) {
      lowest_cost = cost;
      choice.result = available ? selection_result::found : selection_result::all_busy;
      choice.leaf = available ? leaf : nullptr;
    }
  }
  return choice;
}

}  // namespace ibis::serving
