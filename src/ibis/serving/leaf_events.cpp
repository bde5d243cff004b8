#include "ibis/serving/leaf_events.hpp"

#include <algorithm>  // for find, min
#include <memory>     // for shared_ptr
#include <vector>     // for vector

#include "ibis/serving/attempt.hpp"            // for on_attempt_failed, answer_if_ready
#include "ibis/serving/concurrency_limit.hpp"  // for update_concurrency_limit
#include "ibis/serving/connections.hpp"   // for close, remove_connection, mark_idle
#include "ibis/serving/leaf_backoff.hpp"  // for backs_off, note_backoff
#include "ibis/serving/merge.hpp"         // for merge_records
#include "ibis/serving/registry.hpp"      // for mark_leaving
#include "ibis/serving/request_completion.hpp"  // for forward_leaf_answer
#include "ibis/serving/request_cost.hpp"        // for note_cost, note_load
#include "ibis/serving/waiting_tasks.hpp"       // for dispatch_waiting_tasks

namespace ibis::serving {
namespace {

void remove_active(task_state& task, base::connection_id id) {
  const auto found =
      std::find(task.active_connections.begin(), task.active_connections.end(), id);
  if (found != task.active_connections.end()) {
    task.active_connections.erase(found);
  }
}

/// Whether a task should be sent on a connection that was opened for it.
bool still_needs_connection(const pending_request& pending, const task_state& task) {
  if (task.done || task.waiting) {
    return false;
  }
  if (task.active_connections.empty()) {
    return pending.route->idempotent || !task.may_have_run;
  }
  return task.hedged && task.active_connections.size() < 2 && pending.route->idempotent;
}

void close_active(task_state& task, context& ctx) {
  for (const base::connection_id id : task.active_connections) {
    close(id, ctx);
  }
  task.active_connections.clear();
}

void record_part_latency(const pending_request& pending, base::duration latency,
                         context& ctx) {
  ctx.node.statistics[pending.route->name].part_latency.record(latency);
}

void accept_part(pending_request& pending, std::size_t shard, base::duration latency,
                 const std::shared_ptr<leaf_answer>& answer, context& ctx) {
  task_state& task = pending.tasks[shard];
  record_part_latency(pending, latency, ctx);
  if (pending.route->shape != route_shape::fan_out) {
    close_active(task, ctx);
    forward_leaf_answer(pending, answer, ctx);
    return;
  }
  // A leaf may send more records than can be in the answer. The merge of all parts is
  // one turn of the event loop.
  const std::size_t top = pending.route->top;
  if (answer->body.size() > top * record_bytes) {
    answer->body = merge_records({answer->body}, top);
  }
  task.part = answer;
  task.done = true;
  ++pending.parts;
  answer_if_ready(pending, ctx);
}

/// Ends the reconnect backoff of a leaf that has answered.
void mark_reachable(leaf_state& leaf, context& ctx) {
  if (leaf.connect_failures == 0) {
    return;
  }
  leaf.connect_failures = 0;
  leaf.next_connect_at = {};
  ctx.log("leaf_reachable",
          {{"leaf", leaf.record.id}, {"address", leaf.record.address}});
}

/// Updates the measurements used to choose leafs with those of an answer.
void update_leaf_health(leaf_state& leaf, const connection_state& connection,
                        const leaf_answer& answer, context& ctx) {
  const leaf_settings& settings = ctx.node.settings.leafs;
  const bool failed = answer.not_executed || answer.status / 100 == 5;
  update_failure_rate(leaf, failed, ctx.now, settings);
  const base::duration latency = ctx.now - connection.since;
  if (!failed) {
    update_slowness(leaf, latency, connection.typical_latency, ctx.now, settings);
    update_concurrency_limit(leaf, latency, connection.typical_latency, ctx.now,
                             settings);
  }
  if (answer.instance_mismatch) {
    leaf.instance_mismatch = true;
    ++ctx.node.count.instance_mismatches;
    ctx.log("leaf_address_reused",
            {{"leaf", leaf.record.id}, {"address", leaf.record.address}}, true);
    close_idle(leaf, ctx);
  }
}

void handle_answer(pending_request& pending, std::size_t shard,
                   const connection_state& connection,
                   const std::shared_ptr<leaf_answer>& answer, context& ctx) {
  task_state& task = pending.tasks[shard];
  if (task.done) {
    return;
  }
  if (answer->not_executed) {
    ++ctx.node.count.leaf_refusals;
    log_attempt("leaf_refused", pending, shard, *connection.leaf,
                std::to_string(answer->status), ctx);
    on_attempt_failed(pending, shard, ctx);
    answer_if_ready(pending, ctx);
    return;
  }
  const bool success = answer->status / 100 == 2 && !answer->signature.empty();
  if (success) {
    accept_part(pending, shard, ctx.now - connection.since, answer, ctx);
    return;
  }
  ++ctx.node.count.leaf_failures;
  log_attempt("leaf_failed", pending, shard, *connection.leaf,
              std::to_string(answer->status), ctx);
  task.may_have_run = true;
  const bool final_failure = answer->status / 100 == 4;
  if (!answer->signature.empty()) {
    task.failure = answer;
  }
  if (final_failure && pending.route->shape != route_shape::fan_out) {
    close_active(task, ctx);
    give_up_task(pending, task);
  } else {
    on_attempt_failed(pending, shard, ctx);
  }
  answer_if_ready(pending, ctx);
}

/// @return The id of the request on a connection; empty if its client has left.
std::string request_id_of(const connection_state& connection, context& ctx) {
  const pending_request* pending = find_pending_request(connection.caller, ctx);
  return pending == nullptr ? std::string() : pending->request->id;
}

/// Handles an attempt that ended without an answer.
void on_attempt_lost(const connection_state& connection, base::connection_id id,
                     const std::string& detail, context& ctx) {
  update_failure_rate(*connection.leaf, true, ctx.now, ctx.node.settings.leafs);
  pending_request* pending = find_pending_request(connection.caller, ctx);
  if (pending == nullptr) {
    return;
  }
  task_state& task = pending->tasks[connection.shard];
  remove_active(task, id);
  task.may_have_run = true;
  log_attempt("attempt_lost", *pending, connection.shard, *connection.leaf, detail,
              ctx);
  on_attempt_failed(*pending, connection.shard, ctx);
  answer_if_ready(*pending, ctx);
}

/// Delays further connections to a leaf, longer after each consecutive failure.
void back_off(leaf_state& leaf, const std::string& detail, context& ctx) {
  const leaf_settings& settings = ctx.node.settings.leafs;
  constexpr std::uint32_t max_doublings = 6;
  const std::uint32_t doublings = std::min(leaf.connect_failures, max_doublings);
  leaf.next_connect_at =
      ctx.now + std::min(settings.connect_backoff * (1U << doublings),
                         settings.connect_backoff_limit);
  ++ctx.node.count.connections_failed;
  if (leaf.connect_failures++ == 0) {
    ctx.log("leaf_unreachable",
            {{"leaf", leaf.record.id},
             {"address", leaf.record.address},
             {"service", leaf.record.service},
             {"detail", detail}},
            true);
  }
}

/// Retries the task for which a connection was opened that cannot be used.
void retry_without_connection(const connection_state& connection, context& ctx) {
  if (pending_request* pending = find_pending_request(connection.caller, ctx)) {
    --pending->tasks[connection.shard].opening;
    on_attempt_failed(*pending, connection.shard, ctx);
    answer_if_ready(*pending, ctx);
  }
}

void handle_connect_failure(const connection_state& connection,
                            const std::string& detail, context& ctx) {
  back_off(*connection.leaf, detail, ctx);
  retry_without_connection(connection, ctx);
}

}  // namespace

void on_connection_opened(base::connection_id id, context& ctx) {
  const auto found = ctx.node.connections.find(id);
  if (found == ctx.node.connections.end()) {
    return;
  }
  const connection_state connection = found->second;
  leaf_state& leaf = *connection.leaf;
  const bool usable = takes_new_work(leaf);
  mark_idle(id, ctx);
  if (!usable) {
    close(id, ctx);
  }
  if (pending_request* pending = find_pending_request(connection.caller, ctx)) {
    task_state& task = pending->tasks[connection.shard];
    --task.opening;
    const bool wanted = usable && !backs_off(leaf, ctx.now) && !is_probed(leaf);
    if (wanted && still_needs_connection(*pending, task)) {
      send(*pending, connection.shard, id, ctx);
    } else {
      on_attempt_failed(*pending, connection.shard, ctx);
      answer_if_ready(*pending, ctx);
    }
  }
  dispatch_waiting_tasks(leaf.record.service, ctx);
}

void on_connection_failed(const connection_failed& event, context& ctx) {
  const auto connection = remove_connection(event.connection, ctx);
  if (connection) {
    handle_connect_failure(*connection, event.detail, ctx);
  }
}

void on_connection_lost(const connection_lost& event, context& ctx) {
  const auto connection = remove_connection(event.connection, ctx);
  if (!connection) {
    return;
  }
  ++ctx.node.count.connections_lost;
  // A leaf that has reached its connection limit accepts a connection, then resets it.
  // One that ends later without a request was idle for too long.
  constexpr base::milliseconds limit_reset_delay{500};
  const bool idled_out = connection->phase == connection_phase::idle &&
                         ctx.now - connection->opened_at >= limit_reset_delay;
  if (!connection->has_answered && !idled_out) {
    back_off(*connection->leaf, event.detail, ctx);
  }
  if (event.leaf_leaving) {
    mark_leaving(connection->leaf, ctx);
  }
  if (connection->phase != connection_phase::busy) {
    return;
  }
  on_attempt_lost(*connection, event.connection, event.detail, ctx);
  dispatch_waiting_tasks(connection->leaf->record.service, ctx);
}

void on_leaf_answered(const leaf_answered& event, context& ctx) {
  const auto found = ctx.node.connections.find(event.connection);
  if (found == ctx.node.connections.end() ||
      found->second.phase != connection_phase::busy) {
    return;
  }
  const connection_state connection = found->second;
  found->second.has_answered = true;
  mark_reachable(*connection.leaf, ctx);
  if (event.idle_timeout) {
    found->second.idle_timeout = *event.idle_timeout;
  }
  if (event.answer->leaf_leaving) {
    mark_leaving(connection.leaf, ctx);
  }
  note_load(*connection.leaf, event.connection, *event.answer, ctx);
  note_cost(*connection.leaf, event.connection, *event.answer, ctx);
  const bool keep = event.reusable && takes_new_work(*connection.leaf);
  if (keep) {
    mark_idle(event.connection, ctx);
  } else {
    close(event.connection, ctx);
  }
  update_leaf_health(*connection.leaf, connection, *event.answer, ctx);
  note_backoff(*connection.leaf, *event.answer, request_id_of(connection, ctx), ctx);
  if (keep && connection.leaf->next_send_at > ctx.now) {
    ctx.add_timer(connection.leaf->next_send_at, timer_kind::leaf_capacity,
                  event.connection.value);
  }
  if (pending_request* pending = find_pending_request(connection.caller, ctx)) {
    remove_active(pending->tasks[connection.shard], event.connection);
    handle_answer(*pending, connection.shard, connection, event.answer, ctx);
  }
  dispatch_waiting_tasks(connection.leaf->record.service, ctx);
}

void on_connection_timer(const timer& due, context& ctx) {
  const base::connection_id id{due.subject};
  const auto found = ctx.node.connections.find(id);
  if (found == ctx.node.connections.end()) {
    return;
  }
  const bool same_use = found->second.phase == connection_phase::busy &&
                        found->second.serial == due.detail;
  if (!same_use) {
    return;
  }
  const connection_state connection = found->second;
  close(id, ctx);
  on_attempt_lost(connection, id, "no answer in time", ctx);
  dispatch_waiting_tasks(connection.leaf->record.service, ctx);
}

void abandon_opening_connections(context& ctx) {
  std::vector<base::connection_id> abandoned;
  for (const auto& [id, connection] : ctx.node.connections) {
    if (connection.phase == connection_phase::opening && connection.leaf->evacuated) {
      abandoned.push_back(id);
    }
  }
  for (const base::connection_id id : abandoned) {
    if (const auto connection = remove_connection(id, ctx)) {
      ctx.out.emplace_back(close_connection{id});
      retry_without_connection(*connection, ctx);
    }
  }
}

void on_connect_deadline(base::connection_id id, context& ctx) {
  const auto found = ctx.node.connections.find(id);
  if (found == ctx.node.connections.end() ||
      found->second.phase != connection_phase::opening) {
    return;
  }
  const connection_state connection = found->second;
  close(id, ctx);
  handle_connect_failure(connection, "no connection in time", ctx);
}

}  // namespace ibis::serving
