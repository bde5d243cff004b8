#include "ibis/serving/shard_replies.hpp"

#include <algorithm>  // for max
#include <memory>     // for make_shared
#include <utility>    // for move

#include "ibis/serving/attempt.hpp"             // for find_pending_request
#include "ibis/serving/evacuations.hpp"         // for knows_evacuations
#include "ibis/serving/merge.hpp"               // for merge_records
#include "ibis/serving/pending_request.hpp"     // for start_request
#include "ibis/serving/request_completion.hpp"  // for remove_request

namespace ibis::serving {
namespace {

/// Marks ids of callers that are other nodes; those of clients are below it.
constexpr std::uint64_t remote_caller_bit = 1ULL << 63U;
constexpr base::microseconds::rep us_per_ms = 1000;

std::shared_ptr<const route> make_route(const wire::shards_request& request) {
  route value;
  value.name = request.route;
  value.host = request.host;
  value.shape = route_shape::fan_out;
  value.idempotent = true;
  value.objective = std::chrono::duration_cast<base::milliseconds>(request.objective);
  value.timeout = std::chrono::duration_cast<base::milliseconds>(request.remaining);
  value.priority = request.priority;
  value.max_leafs = request.max_leafs;
  value.shards = request.shards;
  value.top = request.top;
  value.min_shard_share = request.min_shard_share;
  return std::make_shared<const route>(std::move(value));
}

inbound_request_ptr make_inbound(const wire::shards_request& request) {
  auto value = std::make_shared<inbound_request>();
  value->method = request.method;
  value->target = request.target;
  value->host = request.host;
  value->id = request.request_id;
  value->head = request.head;
  value->body = request.body;
  return value;
}

/// Refuses a request: no leaf gets it from here.
void refuse(const shards_requested& event, context& ctx) {
  wire::shards_reply reply;
  reply.call = event.request.call;
  reply.leaving = ctx.node.stop.requested;
  for (std::size_t i = 0; i < event.request.shards.size(); ++i) {
    reply.failed.push_back({static_cast<std::uint32_t>(i), false});
  }
  ctx.out.emplace_back(reply_shards{event.node, std::move(reply)});
}

/// Whether the reply would come too late.
bool is_outdated(const shards_requested& event) {
  const base::microseconds reply = event.request.reply;
  const bool objective_missed = reply.count() > 0 && event.delay >= reply;
  return objective_missed || event.delay >= event.request.remaining;
}

void note_asked(const std::vector<std::string>& shards, context& ctx) {
  const base::time_point until = ctx.now + ctx.node.settings.holders.held_for;
  for (const std::string& shard : shards) {
    const auto found = ctx.node.services.find(shard);
    if (found != ctx.node.services.end()) {
      found->second.held_until = until;
    }
  }
}

/// Whether a leaf may have executed a task that was given up.
bool may_have_run(const task_state& task) {
  return task.sent > 0;
}

/// @return The leafs of the request's shards that have said that they leave.
std::vector<wire::leaving_leaf> find_leaving_leafs(const pending_request& pending,
                                                   context& ctx) {
  std::vector<wire::leaving_leaf> found;
  for (const task_state& task : pending.tasks) {
    for (const leaf_ptr& leaf : ctx.node.services[task.service].leafs) {
      if (leaf->leaving) {
        found.push_back({leaf->record.id, leaf->record.started_at});
      }
    }
  }
  return found;
}

/// Collects what the node that asked does not know yet.
/// @param final Reports undecided shards as given up.
wire::shards_reply make_reply(pending_request& pending, bool final, context& ctx) {
  wire::shards_reply reply;
  reply.call = pending.remote->call;
  reply.final = final;
  reply.leaving = ctx.node.stop.requested;
  std::vector<std::string_view> bodies;
  for (std::size_t i = 0; i < pending.tasks.size(); ++i) {
    task_state& task = pending.tasks[i];
    if (task.reported) {
      continue;
    }
    const auto index = static_cast<std::uint32_t>(i);
    if (task.part) {
      reply.covered.push_back({index, task.part->signature});
      bodies.emplace_back(task.part->body);
    } else if (task.done || final) {
      reply.failed.push_back({index, may_have_run(task)});
    } else {
      continue;
    }
    task.reported = true;
  }
  reply.records = merge_records(bodies, pending.route->top);
  reply.leaving_leafs = find_leaving_leafs(pending, ctx);
  return reply;
}

void send_reply(pending_request& pending, bool final, context& ctx) {
  ctx.out.emplace_back(
      reply_shards{pending.remote->node, make_reply(pending, final, ctx)});
}

bool has_news(const pending_request& pending) {
  for (const task_state& task : pending.tasks) {
    if (task.done && !task.reported) {
      return true;
    }
  }
  return false;
}

void log_end(const pending_request& pending, const char* reason, context& ctx) {
  std::string missing;
  std::uint32_t sent = 0;
  for (const task_state& task : pending.tasks) {
    sent += task.sent;
    if (!task.part) {
      missing += (missing.empty() ? "" : ",") + task.service;
    }
  }
  const auto elapsed =
      std::chrono::duration_cast<base::milliseconds>(ctx.now - pending.arrived);
  ctx.log("shards_ended", {{"request", pending.request->id},
                           {"route", pending.route->name},
                           {"for", pending.remote->node},
                           {"elapsed_ms", std::to_string(elapsed.count())},
                           {"parts", std::to_string(pending.parts)},
                           {"of", std::to_string(pending.tasks.size())},
                           {"sends", std::to_string(sent)},
                           {"missing", missing},
                           {"reason", reason}});
}

}  // namespace

void on_shards_requested(const shards_requested& event, context& ctx) {
  const wire::shards_request& request = event.request;
  ++ctx.node.count.shards_served;
  if (ctx.node.stop.finished || request.shards.empty() || !ctx.node.configuration ||
      !knows_evacuations(ctx.node)) {
    refuse(event, ctx);
    return;
  }
  if (is_outdated(event)) {
    // The node has asked another holder or answered its client by now.
    ctx.log("shards_request_outdated",
            {{"request", request.request_id},
             {"for", event.node},
             {"delay_ms", std::to_string(event.delay.count() / us_per_ms)}});
    refuse(event, ctx);
    return;
  }
  note_asked(request.shards, ctx);
  pending_request pending;
  pending.caller = base::caller_id{remote_caller_bit | ctx.next_id()};
  pending.request = make_inbound(request);
  pending.configuration = ctx.node.configuration;
  pending.own_route = make_route(request);
  pending.route = pending.own_route.get();
  pending.account = request.account;
  pending.priority = request.priority;
  pending.arrived = ctx.now;
  pending.deadline = ctx.now + request.remaining - event.delay;
  pending.effective_deadline = pending.deadline;
  pending.objective_deadline = ctx.now + request.reply - event.delay;
  pending.remote = remote_caller{event.node, request.call, request.sent_before,
                                 request.allowed_leafs};
  ctx.node.remote_callers[{event.node, request.call}] = pending.caller;
  ctx.add_timer(ctx.now + request.progress - event.delay, timer_kind::progress_reply,
                pending.caller.value);
  start_request(std::move(pending), ctx);
}

void on_shards_cancelled(const shards_cancelled& event, context& ctx) {
  const auto found = ctx.node.remote_callers.find({event.node, event.call});
  if (found != ctx.node.remote_callers.end()) {
    on_caller_disconnected(found->second, ctx);
  }
}

void cancel_requests_of(const std::string& node, context& ctx) {
  std::vector<base::caller_id> callers;
  for (const auto& [key, caller] : ctx.node.remote_callers) {
    if (key.first == node) {
      callers.push_back(caller);
    }
  }
  for (const base::caller_id caller : callers) {
    on_caller_disconnected(caller, ctx);
  }
}

void on_progress_due(base::caller_id caller, context& ctx) {
  if (pending_request* pending = find_pending_request(caller, ctx)) {
    send_reply(*pending, false, ctx);
  }
}

void reply_if_ready(pending_request& pending, context& ctx) {
  if (pending.parts + pending.given_up == pending.tasks.size()) {
    finish_shards(pending, "", ctx);
    return;
  }
  if (pending.objective_passed && has_news(pending)) {
    send_reply(pending, false, ctx);
  }
}

void finish_shards(pending_request& pending, const char* reason, context& ctx) {
  send_reply(pending, true, ctx);
  log_end(pending, reason, ctx);
  remove_request(pending.caller, ctx);
}

}  // namespace ibis::serving
