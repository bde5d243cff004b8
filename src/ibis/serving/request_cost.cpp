#include "ibis/serving/request_cost.hpp"

#include <algorithm>  // for any_of, count_if, find_if, max
#include <optional>   // for optional
#include <vector>     // for vector

#include "ibis/cost/outstanding_work.hpp"  // for outstanding_work

namespace ibis::serving {
namespace {

/// An answer that took longer than this multiple of what was expected is logged.
constexpr double exceeded_factor = 5.0;
constexpr base::milliseconds cost_log_period{1000};  ///< Between such log lines.

std::uint32_t slots_of(const leaf_state& leaf) {
  if (leaf.record.slots > 0 || !leaf.load) {
    return std::max(1U, leaf.record.slots);
  }
  return std::max(1U, leaf.load->report.slots.value_or(1));
}

std::size_t count_started(const leaf_state& leaf) {
  return static_cast<std::size_t>(std::count_if(
      leaf.running.begin(), leaf.running.end(),
      [](const running_request& request) { return request.started_at.has_value(); }));
}

const running_request* find_running(const leaf_state& leaf, base::connection_id id) {
  const auto found = std::find_if(
      leaf.running.begin(), leaf.running.end(),
      [id](const running_request& request) { return request.connection == id; });
  return found == leaf.running.end() ? nullptr : &*found;
}

/// @return The time that the request would have taken at the usual pace.
base::duration at_usual_pace(base::duration taken, const leaf_answer& answer) {
  const double pace = answer.load ? cost::told_pace(*answer.load) : 1.0;
  return std::chrono::duration_cast<base::duration>(taken / pace);
}

std::string format_ms(base::duration value) {
  return std::to_string(std::chrono::duration_cast<base::milliseconds>(value).count());
}

std::size_t size_of(const inbound_request& request) {
  return request.target.size() + request.body.size();
}

/// @return The request on a connection, or nullptr if it has been answered, as that of
/// a hedge's loser.
const pending_request* request_on(base::connection_id id, const context& ctx) {
  const auto found = ctx.node.pending_requests.find(ctx.node.connections.at(id).caller);
  return found == ctx.node.pending_requests.end() ? nullptr : &found->second;
}

/// @return The key of a request's class, or nothing if the request has been answered
/// and its class is new.
std::optional<cost::class_key> class_key_of(const running_request& running,
                                            const context& ctx) {
  if (const pending_request* pending = request_on(running.connection, ctx)) {
    return cost::class_key{pending->route->name,
                           cost::size_bucket_of(size_of(*pending->request)),
                           pending->account};
  }
  const auto& classes = ctx.node.costs.classes();
  const auto specific = classes.find(running.cost_class.specific);
  const auto found =
      specific != classes.end() ? specific : classes.find(running.cost_class.general);
  return found == classes.end() ? std::nullopt : std::optional(found->second.key);
}

/// Logs at most one line per `cost_log_period`, and counts all.
void log_exceeded_cost(const leaf_state& leaf, const running_request& running,
                       context& ctx) {
  ++ctx.node.count.costs_exceeded;
  if (ctx.now < ctx.node.next_cost_log_at) {
    return;
  }
  ctx.node.next_cost_log_at = ctx.now + cost_log_period;
  const pending_request* pending = request_on(running.connection, ctx);
  const auto key = class_key_of(running, ctx);
  ctx.log("request_cost_exceeded",
          {{"request", pending != nullptr ? pending->request->id : ""},
           {"route", key ? key->route : ""},
           {"account", key ? key->account : ""},
           {"leaf", leaf.record.id},
           {"expected_ms", format_ms(running.expected)},
           {"took_ms", format_ms(ctx.now - running.sent_at)},
           {"found_idle_slot", running.found_idle_slot ? "true" : "false"},
           {"running", std::to_string(leaf.running.size())}});
}

double usual_speed(const leaf_state& leaf, const context& ctx) {
  return current_slowness(leaf, ctx.now, ctx.node.settings.leafs);
}

double expected_pace(const leaf_state& leaf, const context& ctx) {
  const double usual = usual_speed(leaf, ctx);
  return leaf.load ? cost::current_pace(*leaf.load, usual, ctx.now) : usual;
}

cost::leaf_load expected_load(const leaf_state& leaf, const context& ctx) {
  const std::uint32_t slots = slots_of(leaf);
  const double others =
      leaf.load ? cost::current_others(*leaf.load, slots, ctx.now) : 0.0;
  return {slots, expected_pace(leaf, ctx), others};
}

base::duration work_age(const running_request& request, base::time_point now) {
  return request.started_at ? now - *request.started_at : base::duration{0};
}

std::vector<cost::request_in_flight> requests_at(const leaf_state& leaf,
                                                 base::time_point now) {
  std::vector<cost::request_in_flight> requests;
  requests.reserve(leaf.running.size());
  for (const running_request& request : leaf.running) {
    requests.push_back({request.cost_class, work_age(request, now)});
  }
  return requests;
}

/// Whether the leaf works on a request for longer than is usual: it may be paused.
bool has_overdue(const leaf_state& leaf, const context& ctx) {
  return std::any_of(leaf.running.begin(), leaf.running.end(),
                     [&ctx](const running_request& request) {
                       return ctx.node.costs.is_overdue(
                           request.cost_class, work_age(request, ctx.now), ctx.now);
                     });
}

/// @return The expected time until a leaf answers a request that it has.
double remaining_ms(const leaf_state& leaf, const running_request& request,
                    const context& ctx) {
  if (!request.started_at) {
    return base::to_ms(request.expected) * load_cost(leaf, request.expected, ctx);
  }
  const auto residual =
      ctx.node.costs.residual(request.cost_class, work_age(request, ctx.now), ctx.now);
  return base::to_ms(residual.value_or(request.expected)) * expected_pace(leaf, ctx);
}

}  // namespace

void set_expected_cost(pending_request& pending, context& ctx) {
  if (!ctx.node.settings.leafs.by_cost) {
    return;
  }
  pending.cost_class =
      cost::classify(pending.route->name, size_of(*pending.request), pending.account);
  if (const auto estimate = ctx.node.costs.find(pending.cost_class, ctx.now)) {
    pending.expected = estimate->mean;
  }
}

running_request make_running(const leaf_state& leaf, base::connection_id id,
                             base::duration late_after, const request_cost& cost,
                             base::time_point now) {
  running_request request{id, now, late_after, cost.id, cost.expected, {}, false};
  request.found_idle_slot = count_started(leaf) < slots_of(leaf);
  if (request.found_idle_slot) {
    request.started_at = now;
  }
  return request;
}

void note_free_slot(leaf_state& leaf, base::time_point now) {
  std::size_t started = count_started(leaf);
  for (running_request& request : leaf.running) {
    if (started >= slots_of(leaf)) {
      return;
    }
    if (!request.started_at) {
      request.started_at = now;
      ++started;
    }
  }
}

void note_load(leaf_state& leaf, base::connection_id id, const leaf_answer& answer,
               context& ctx) {
  ctx.node.count.leaf_loads_ignored += answer.load_unreadable ? 1 : 0;
  if (!answer.load) {
    return;
  }
  // The leaf may count the request that it answers; then it is left out.
  const bool answers_own = find_running(leaf, id) != nullptr;
  const std::size_t own = leaf.running.size() - (answers_own ? 1 : 0);
  leaf.load = cost::receive_report(*answer.load, own, ctx.now);
}

void note_cost(const leaf_state& leaf, base::connection_id id,
               const leaf_answer& answer, context& ctx) {
  const running_request* request = find_running(leaf, id);
  const bool success = answer.status / 100 == 2 && !answer.not_executed;
  if (request == nullptr || request->cost_class.general == 0 || !success) {
    return;
  }
  const base::duration taken = ctx.now - request->sent_at;
  if (request->expected.count() > 0) {
    ctx.node.costs.count_answer(request->cost_class, request->expected, taken);
  }
  if (request->expected.count() > 0 && taken > request->expected * exceeded_factor) {
    log_exceeded_cost(leaf, *request, ctx);
  }
  // The time of a request that waited says more of the others than of itself.
  const bool alone =
      request->found_idle_slot && (!answer.load || cost::says_idle(*answer.load));
  const auto key = class_key_of(*request, ctx);
  if (alone && key) {
    ctx.node.costs.add(*key, at_usual_pace(taken, answer), ctx.now);
  }
}

double load_cost(const leaf_state& leaf, base::duration expected, const context& ctx) {
  const cost::leaf_load load = expected_load(leaf, ctx);
  // Only the ratio to the costs of the requests in flight matters; any will do for an
  // unknown cost if none of those is known.
  base::duration own = expected;
  if (own.count() <= 0) {
    own = std::max<base::duration>(ctx.node.costs.typical(), base::milliseconds(1));
  }
  const base::duration work = cost::outstanding_work(
      ctx.node.costs, requests_at(leaf, ctx.now), load, own, ctx.now);
  return load.pace + base::to_ms(work) / base::to_ms(own);
}

bool postpones_hedge(const pending_request& pending, const task_state& task,
                     const leaf_state& other, const context& ctx) {
  if (!ctx.node.settings.leafs.by_cost || pending.expected.count() <= 0) {
    return false;
  }
  const connection_state& connection =
      ctx.node.connections.at(task.active_connections.front());
  const running_request* request =
      find_running(*connection.leaf, task.active_connections.front());
  if (request == nullptr || ctx.now - request->sent_at >= 2 * pending.hedge_delay) {
    return false;
  }
  if (ctx.node.costs.trust() == 0 || has_overdue(*connection.leaf, ctx)) {
    return false;
  }
  const double remaining = remaining_ms(*connection.leaf, *request, ctx);
  const double needed =
      base::to_ms(pending.expected) * load_cost(other, pending.expected, ctx);
  return remaining < needed;
}

}  // namespace ibis::serving
