#include "ibis/serving/request_completion.hpp"

#include <algorithm>  // for any_of, clamp
#include <utility>    // for move

#include "ibis/serving/leaf_backoff.hpp"    // for end_of_backoff
#include "ibis/serving/merge.hpp"           // for merge_records
#include "ibis/serving/shard_replies.hpp"   // for finish_shards
#include "ibis/serving/shard_requests.hpp"  // for cancel_shard_calls

namespace ibis::serving {
namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_timeout = 504;

/// Clients honour a Retry-After of up to a third of their remaining time; a quarter
/// stays safely below that.
constexpr int retry_after_divisor = 4;
constexpr base::milliseconds max_retry_after{100};

base::milliseconds choose_retry_after(const pending_request& pending,
                                      base::time_point now) {
  const auto remaining =
      std::chrono::duration_cast<base::milliseconds>(pending.deadline - now);
  return std::clamp(remaining / retry_after_divisor, base::milliseconds(1),
                    max_retry_after);
}

/// @return After which time a client may return: if all leafs of a service back off,
/// when the first of them may be asked.
base::milliseconds time_to_return(const pending_request& pending, context& ctx) {
  base::milliseconds time = choose_retry_after(pending, ctx.now);
  for (const task_state& task : pending.tasks) {
    if (const auto end = end_of_backoff(ctx.node, task.service, ctx.now)) {
      time = std::max(time, std::chrono::ceil<base::milliseconds>(*end - ctx.now));
    }
  }
  return time;
}

bool may_have_run(const pending_request& pending) {
  return std::any_of(
      pending.tasks.begin(), pending.tasks.end(), [](const task_state& task) {
        return task.may_have_run || task.part || !task.active_connections.empty() ||
               !task.active_calls.empty();
      });
}

std::string elapsed_ms(base::time_point since, base::time_point now) {
  return std::to_string(
      std::chrono::duration_cast<base::milliseconds>(now - since).count());
}

std::vector<log_field> describe(const pending_request& pending, context& ctx) {
  std::uint32_t sent = 0;
  std::string missing;
  for (const task_state& task : pending.tasks) {
    sent += task.sent;
    if (!task.part && pending.route->shape == route_shape::fan_out) {
      missing += (missing.empty() ? "" : ",") + task.service;
    }
  }
  return {{"request", pending.request->id},
          {"route", pending.route->name},
          {"config_version", std::to_string(pending.configuration->version)},
          {"elapsed_ms", elapsed_ms(pending.arrived, ctx.now)},
          {"objective_ms", std::to_string(pending.route->objective.count())},
          {"parts", std::to_string(pending.parts)},
          {"of", std::to_string(pending.tasks.size())},
          {"sends", std::to_string(sent)},
          {"missing", missing}};
}

void complete_request(pending_request& pending, caller_answer answer, outcome result,
                      const char* reason, context& ctx) {
  const bool succeeded = result == outcome::complete || result == outcome::partial;
  std::vector<log_field> fields = describe(pending, ctx);
  fields.push_back({"status", std::to_string(answer.status)});
  fields.push_back({"outcome", std::string(to_string(result))});
  fields.push_back({"reason", reason});
  ctx.log("request_ended", std::move(fields), !succeeded);
  ctx.out.emplace_back(
      record_request_end{pending.route->name, result, ctx.now - pending.arrived});
  answer.close = ctx.node.stop.requested;
  ctx.out.emplace_back(answer_caller{pending.caller, std::move(answer)});
  remove_request(pending.caller, ctx);
}

}  // namespace

void answer_merged(pending_request& pending, context& ctx) {
  caller_answer answer;
  answer.status = status_ok;
  std::vector<std::string_view> bodies;
  bodies.reserve(pending.parts);
  for (const task_state& task : pending.tasks) {
    if (task.part) {
      answer.signatures.push_back(task.part->signature);
      bodies.emplace_back(task.part->body);
    }
  }
  answer.missing_shards = pending.tasks.size() - pending.parts;
  answer.body = merge_records(bodies, pending.route->top);
  const bool complete = pending.parts == pending.tasks.size();
  const char* reason = complete                   ? ""
                       : pending.objective_passed ? "objective_passed"
                                                  : "shards_given_up";
  complete_request(pending, std::move(answer),
                   complete ? outcome::complete : outcome::partial, reason, ctx);
}

void forward_leaf_answer(pending_request& pending,
                         const std::shared_ptr<leaf_answer>& leaf, context& ctx) {
  const bool success = leaf->status / 100 == 2;
  caller_answer answer;
  answer.status = leaf->status;
  answer.forwarded_answer = leaf;
  complete_request(pending, std::move(answer),
                   success ? outcome::complete : outcome::leaf_failed,
                   success ? "" : "leaf_failed", ctx);
}

void answer_failure(pending_request& pending, const char* reason, context& ctx) {
  if (pending.remote) {
    finish_shards(pending, reason, ctx);
    return;
  }
  caller_answer answer;
  answer.body = reason;
  if (may_have_run(pending)) {
    answer.status = status_bad_gateway;
    complete_request(pending, std::move(answer), outcome::unknown, reason, ctx);
    return;
  }
  answer.status = status_unavailable;
  answer.retry_after = time_to_return(pending, ctx);
  complete_request(pending, std::move(answer), outcome::not_run, reason, ctx);
}

void answer_with_what_is_ready(pending_request& pending, const char* reason,
                               context& ctx) {
  const bool enough = pending.route->shape == route_shape::fan_out && !pending.remote &&
                      pending.parts >= required_shards(*pending.route);
  if (enough) {
    answer_merged(pending, ctx);
    return;
  }
  answer_failure(pending, reason, ctx);
}

void answer_timeout(pending_request& pending, context& ctx) {
  if (pending.remote) {
    finish_shards(pending, "timeout", ctx);
    return;
  }
  caller_answer answer;
  answer.status = status_timeout;
  answer.body = "the request's time is used up";
  complete_request(pending, std::move(answer), outcome::timed_out, "timeout", ctx);
}

void refuse_request(base::caller_id caller, const inbound_request& request,
                    base::milliseconds retry_after, const char* reason, context& ctx) {
  ctx.log("request_refused", {{"request", request.id}, {"reason", reason}}, true);
  ctx.out.emplace_back(record_request_end{"", outcome::not_run, {}});
  caller_answer answer;
  answer.status = status_unavailable;
  answer.retry_after = retry_after;
  answer.body = reason;
  answer.close = ctx.node.stop.requested;
  ctx.out.emplace_back(answer_caller{caller, std::move(answer)});
}

void reject_request(base::caller_id caller, const inbound_request& request,
                    unsigned status, const char* reason, context& ctx) {
  const std::uint64_t version =
      ctx.node.configuration ? ctx.node.configuration->version : 0;
  ctx.log("request_rejected",
          {{"request", request.id},
           {"host", request.host},
           {"target", request.target},
           {"config_version", std::to_string(version)},
           {"status", std::to_string(status)},
           {"reason", reason}},
          true);
  ctx.out.emplace_back(record_request_end{"", outcome::rejected, {}});
  caller_answer answer;
  answer.status = status;
  answer.body = reason;
  answer.close = ctx.node.stop.requested;
  ctx.out.emplace_back(answer_caller{caller, std::move(answer)});
}

void remove_request(base::caller_id caller, context& ctx) {
  const auto found = ctx.node.pending_requests.find(caller);
  if (found == ctx.node.pending_requests.end()) {
    return;
  }
  cancel_shard_calls(found->second, ctx);
  if (const auto& remote = found->second.remote) {
    ctx.node.remote_callers.erase({remote->node, remote->call});
  }
  ctx.node.pending_requests.erase(found);
}

}  // namespace ibis::serving
