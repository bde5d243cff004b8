#include "ibis/serving/shard_requests.hpp"

#include <algorithm>  // for all_of, any_of, find, max
#include <map>        // for map
#include <memory>     // for make_shared
#include <utility>    // for move

#include "ibis/serving/attempt.hpp"      // for dispatch, give_up_task, answer_if_ready
#include "ibis/serving/evacuations.hpp"  // for has_only_evacuated_leafs
#include "ibis/serving/holders.hpp"      // for choose_holder, find_block
#include "ibis/serving/registry.hpp"     // for on_leaving_reported

namespace ibis::serving {
namespace {

using task_list = std::vector<std::size_t>;

base::microseconds to_us(base::duration value) {
  return std::max(base::microseconds(0),
                  std::chrono::duration_cast<base::microseconds>(value));
}

/// @return How long a reply of the holder travels at most.
base::milliseconds reply_margin(const peer& holder, const context& ctx) {
  const holder_settings& settings = ctx.node.settings.holders;
  return holder.availability_zone == ctx.node.settings.availability_zone
             ? settings.same_zone_margin
             : settings.other_zone_margin;
}

base::microseconds progress_delay(const pending_request& pending, const context& ctx) {
  return to_us(std::chrono::duration_cast<base::duration>(
      pending.route->objective * ctx.node.settings.holders.progress_share));
}

wire::shards_request make_request(const pending_request& pending,
                                  base::block_call_id call, const shard_call& state,
                                  context& ctx) {
  const inbound_request& request = *pending.request;
  const base::milliseconds margin = reply_margin(state.holder, ctx);
  wire::shards_request value;
  value.call = call;
  value.route = pending.route->name;
  value.method = request.method;
  value.target = request.target;
  value.host = request.host;
  value.request_id = request.id;
  value.head = request.head;
  value.body = request.body;
  for (const std::size_t task : state.tasks) {
    value.shards.push_back(pending.tasks[task].service);
    value.allowed_leafs.push_back(pending.tasks[task].leaf_tags);
  }
  value.top = static_cast<std::uint32_t>(pending.route->top);
  value.min_shard_share = pending.route->min_shard_share;
  value.max_leafs = pending.route->max_leafs;
  value.priority = pending.priority;
  value.objective = pending.route->objective;
  value.progress = progress_delay(pending, ctx);
  value.reply = to_us(pending.objective_deadline - ctx.now - margin);
  value.remaining = to_us(pending.effective_deadline - ctx.now - margin);
  value.sent_before = state.sent_before;
  value.account = pending.account;
  return value;
}

/// Asks the best holder that was not asked before.
/// @param asked Names of the nodes that were asked for these tasks before.
/// @param sent_before How many of them may have sent the request to leafs.
/// @return False if there is no such holder or this node is it.
bool ask_holder(pending_request& pending, const task_list& tasks,
                std::vector<std::string> asked, std::uint32_t sent_before,
                context& ctx) {
  const std::string& service = pending.tasks[tasks.front()].service;
  const shard_block* block = find_block(ctx.node, service);
  if (block == nullptr) {
    return false;
  }
  const peer* holder = choose_holder(ctx.node, *block, asked, ctx.now);
  if (holder == nullptr || holder->node == ctx.node.settings.node) {
    return false;
  }
  const base::block_call_id call{ctx.next_id()};
  asked.push_back(holder->node);
  shard_call state{pending.caller,   *holder,     tasks,
                   std::move(asked), sent_before, false};
  for (const std::size_t index : tasks) {
    task_state& task = pending.tasks[index];
    choose_task_leafs(pending, task, ctx);
    task.active_calls.push_back(call);
    ++task.sent;
  }
  pending.shard_calls.push_back(call);
  ++ctx.node.count.shard_calls;
  ctx.out.emplace_back(
      request_shards{*holder, make_request(pending, call, state, ctx)});
  const base::duration answer_within =
      progress_delay(pending, ctx) + 2 * reply_margin(*holder, ctx) +
      std::chrono::duration_cast<base::duration>(
          pending.route->objective * ctx.node.settings.holders.patience_share);
  ctx.add_timer(ctx.now + answer_within, timer_kind::holder_silent, call.value);
  ctx.node.shard_calls.emplace(call, std::move(state));
  return true;
}

/// Asks another holder for the tasks, or else sends them to leafs directly.
void ask_elsewhere(pending_request& pending, const task_list& tasks,
                   const std::vector<std::string>& asked, std::uint32_t sent_before,
                   context& ctx) {
  if (tasks.empty()) {
    return;
  }
  const bool in_time = ctx.now < pending.effective_deadline;
  if (in_time && ask_holder(pending, tasks, asked, sent_before, ctx)) {
    ctx.node.count.shard_calls_repeated += sent_before > 0 ? 1 : 0;
    return;
  }
  for (const std::size_t index : tasks) {
    task_state& task = pending.tasks[index];
    choose_task_leafs(pending, task, ctx);
    if (!in_time || !dispatch(pending, index, ctx)) {
      give_up_task(pending, task);
    }
  }
}

/// Removes a call that ended.
/// @return Its tasks that are neither done nor asked for elsewhere.
task_list detach_call(pending_request& pending, base::block_call_id id,
                      const shard_call& call) {
  task_list open;
  for (const std::size_t index : call.tasks) {
    task_state& task = pending.tasks[index];
    std::erase(task.active_calls, id);
    if (!task.done && !is_pending(task)) {
      open.push_back(index);
    }
  }
  return open;
}

/// Ends a call whose reply will not come, and asks elsewhere.
/// @param sent Whether the holder may have got it.
void retry_call(base::block_call_id id, bool sent, context& ctx) {
  const auto found = ctx.node.shard_calls.find(id);
  if (found == ctx.node.shard_calls.end()) {
    return;
  }
  const shard_call call = std::move(found->second);
  ctx.node.shard_calls.erase(found);
  pending_request* pending = find_pending_request(call.caller, ctx);
  if (pending == nullptr) {
    return;
  }
  const task_list open = detach_call(*pending, id, call);
  for (const std::size_t task : open) {
    if (sent) {
      pending->tasks[task].may_have_run = true;
    } else {
      --pending->tasks[task].sent;
    }
  }
  ctx.log("holder_replaced", {{"request", pending->request->id},
                              {"holder", call.holder.node},
                              {"shards", std::to_string(open.size())},
                              {"sent", sent ? "true" : "false"}});
  ask_elsewhere(*pending, open, call.asked, call.sent_before + (sent ? 1 : 0), ctx);
  answer_if_ready(*pending, ctx);
}

/// Asks elsewhere for the shards of a call that continues.
void repeat_call(base::block_call_id id, context& ctx) {
  const shard_call call = ctx.node.shard_calls.at(id);
  pending_request* pending = find_pending_request(call.caller, ctx);
  if (pending == nullptr) {
    return;
  }
  const task_list open = detach_call(*pending, id, call);
  for (const std::size_t task : open) {
    pending->tasks[task].may_have_run = true;
  }
  ask_elsewhere(*pending, open, call.asked, call.sent_before + 1, ctx);
  answer_if_ready(*pending, ctx);
}

/// Whether the reply names only shards that were asked for, and each only once.
bool is_valid(const wire::shards_reply& reply, const shard_call& call) {
  std::vector<bool> named(call.tasks.size());
  const auto is_new = [&named](const auto& shard) {
    const bool valid = shard.index < named.size() && !named[shard.index];
    if (valid) {
      named[shard.index] = true;
    }
    return valid;
  };
  return std::all_of(reply.covered.begin(), reply.covered.end(), is_new) &&
         std::all_of(reply.failed.begin(), reply.failed.end(), is_new);
}

/// Adds the covered shards. Their records are merged, so that they can only be used
/// together: if one of the shards has been answered elsewhere, none of them is used.
void accept_covered(pending_request& pending, const shard_call& call,
                    const wire::shards_reply& reply, context& ctx) {
  const bool conflict =
      std::any_of(reply.covered.begin(), reply.covered.end(), [&](const auto& shard) {
        return pending.tasks[call.tasks[shard.index]].part != nullptr;
      });
  if (conflict) {
    ctx.log("shards_reply_ignored", {{"request", pending.request->id},
                                     {"holder", call.holder.node},
                                     {"reason", "a shard was answered elsewhere"}});
    return;
  }
  const std::string* records = &reply.records;
  for (const wire::covered_shard& shard : reply.covered) {
    task_state& task = pending.tasks[call.tasks[shard.index]];
    auto answer = std::make_shared<leaf_answer>();
    answer->signature = shard.signature;
    if (records != nullptr) {
      answer->body = *records;
      records = nullptr;
    }
    task.part = std::move(answer);
    pending.given_up -= task.done ? 1 : 0;
    task.done = true;
    ++pending.parts;
  }
}

/// Handles the shards that the holder gave up.
/// @return The tasks that no leaf got from this holder.
task_list take_failed(pending_request& pending, const shard_call& call,
                      base::block_call_id id, const wire::shards_reply& reply) {
  task_list unsent;
  for (const wire::failed_shard& shard : reply.failed) {
    const std::size_t index = call.tasks[shard.index];
    task_state& task = pending.tasks[index];
    std::erase(task.active_calls, id);
    task.may_have_run = task.may_have_run || shard.sent;
    if (task.done || is_pending(task)) {
      continue;
    }
    if (shard.sent) {
      give_up_task(pending, task);
    } else {
      --task.sent;
      unsent.push_back(index);
    }
  }
  return unsent;
}

void apply_reply(pending_request& pending, base::block_call_id id,
                 const shard_call& call, const wire::shards_reply& reply,
                 context& ctx) {
  accept_covered(pending, call, reply, ctx);
  const task_list unsent = take_failed(pending, call, id, reply);
  if (reply.final) {
    for (const std::size_t index : detach_call(pending, id, call)) {
      const bool is_unsent =
          std::find(unsent.begin(), unsent.end(), index) != unsent.end();
      if (!is_unsent) {
        pending.tasks[index].may_have_run = true;
        give_up_task(pending, pending.tasks[index]);
      }
    }
  }
  ask_elsewhere(pending, unsent, call.asked, call.sent_before, ctx);
  answer_if_ready(pending, ctx);
}

}  // namespace

std::vector<std::size_t> ask_holders(pending_request& pending, context& ctx) {
  task_list own;
  std::map<std::size_t, task_list> by_block;
  for (std::size_t task = 0; task < pending.tasks.size(); ++task) {
    const auto found = ctx.node.holders.block_of.find(pending.tasks[task].service);
    // No holder can query a shard whose leafs are all evacuated. Asking would only
    // delay the answer.
    if (found == ctx.node.holders.block_of.end() ||
        has_only_evacuated_leafs(ctx.node, pending.tasks[task].service)) {
      own.push_back(task);
    } else {
      by_block[found->second].push_back(task);
    }
  }
  for (const auto& [block, tasks] : by_block) {
    if (!ask_holder(pending, tasks, {}, 0, ctx)) {
      own.insert(own.end(), tasks.begin(), tasks.end());
    }
  }
  return own;
}

void on_shards_replied(const shards_replied& event, context& ctx) {
  if (event.reply.leaving) {
    avoid_holder(event.node, ctx.node.settings.holders.leaving_backoff, ctx);
  } else {
    mark_holder_healthy(event.node, ctx);
  }
  for (const wire::leaving_leaf& leaf : event.reply.leaving_leafs) {
    on_leaving_reported(leaf.leaf, leaf.started_at, ctx);
  }
  const auto found = ctx.node.shard_calls.find(event.reply.call);
  if (found == ctx.node.shard_calls.end() || found->second.holder.node != event.node) {
    return;
  }
  if (!is_valid(event.reply, found->second)) {
    ctx.log("shards_reply_invalid", {{"holder", event.node}}, true);
    retry_call(event.reply.call, true, ctx);
    return;
  }
  found->second.replied = true;
  const shard_call call = found->second;
  if (event.reply.final) {
    ctx.node.shard_calls.erase(found);
  }
  if (pending_request* pending = find_pending_request(call.caller, ctx)) {
    apply_reply(*pending, event.reply.call, call, event.reply, ctx);
  }
}

void on_shards_undeliverable(const shards_undeliverable& event, context& ctx) {
  avoid_holder(event.node, ctx.node.settings.holders.backoff, ctx);
  retry_call(event.call, false, ctx);
}

void retry_calls_of(const std::string& node, context& ctx) {
  std::vector<base::block_call_id> lost;
  for (const auto& [id, call] : ctx.node.shard_calls) {
    if (call.holder.node == node) {
      lost.push_back(id);
    }
  }
  for (const base::block_call_id id : lost) {
    retry_call(id, true, ctx);
  }
}

void on_holder_silent(base::block_call_id call, context& ctx) {
  const auto found = ctx.node.shard_calls.find(call);
  if (found == ctx.node.shard_calls.end() || found->second.replied) {
    return;
  }
  const std::string node = found->second.holder.node;
  ++ctx.node.count.holders_silent;
  const bool was_silent = ctx.node.holder_health.contains(node);
  ctx.log("holder_silent", {{"holder", node}, {"again", was_silent ? "true" : "false"}},
          true);
  avoid_holder(node, ctx.node.settings.holders.silent_backoff, ctx);
  if (was_silent) {
    // Its requests are retried when the connection ends.
    ctx.out.emplace_back(reset_holder_connection{node});
    return;
  }
  // The holder may only be slow. Its reply is still used if it comes first.
  repeat_call(call, ctx);
}

void cancel_shard_calls(const pending_request& pending, context& ctx) {
  for (const base::block_call_id id : pending.shard_calls) {
    const auto found = ctx.node.shard_calls.find(id);
    if (found != ctx.node.shard_calls.end()) {
      ctx.out.emplace_back(cancel_shards{found->second.holder.node, id});
      ctx.node.shard_calls.erase(found);
    }
  }
}

}  // namespace ibis::serving
