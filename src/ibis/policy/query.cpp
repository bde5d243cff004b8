#include "ibis/policy/query.hpp"

#include <algorithm>  // for clamp, partial_sort, remove, min
#include <utility>    // for move

#include "ibis/policy/query_answer.hpp"  // for merge_replies, set_outcome, normalize_shards

namespace ibis::policy {
namespace {

using wire::missing_reason;
using wire::request_kind;

void start_round(query_table& table, call_table& calls, base::request_id id,
                 context& ctx);

query_state* find_query(query_table& table, base::request_id id) {
  const auto found = table.queries.find(id);
  return found == table.queries.end() ? nullptr : &found->second;
}

void refuse(const query_tuning& tuning, const query_received& request, outcome kind,
            rejection why, std::string reason, std::string field, context& ctx) {
  answer value = empty_answer(request, {ctx.next_id()});
  value.outcome = kind;
  value.rejection = why;
  value.reason = std::move(reason);
  value.field = std::move(field);
  value.retry_after =
      kind == outcome::not_run ? tuning.retry_after : base::milliseconds::zero();
  ctx.out.emplace_back(answer_caller{request.caller, std::move(value)});
}

void cancel_live_calls(call_table& calls, query_block& block, context& ctx) {
  for (const base::block_call_id call : block.live_calls) {
    cancel_call(calls, call, ctx);
  }
  block.live_calls.clear();
}

void drop_query(query_table& table, call_table& calls, base::request_id id,
                context& ctx) {
  query_state& query = table.queries.at(id);
  for (query_block& block : query.blocks) {
    cancel_live_calls(calls, block, ctx);
  }
  table.by_caller.erase(query.caller);
  table.queries.erase(id);
}

void answer_query(query_table& table, call_table& calls, base::request_id id,
                  context& ctx) {
  query_state& query = table.queries.at(id);
  answer value = merge_replies(query, id, ctx.now);
  set_outcome(value, query, table.tuning);
  ctx.out.emplace_back(answer_caller{query.caller, std::move(value)});
  drop_query(table, calls, id, ctx);
}

bool may_answer_early(const query_state& query) {
  const auto total = static_cast<double>(config::shard_count(*query.service));
  const double covered = static_cast<double>(covered_count(query));
  return query.answer_by_passed && query.phase == query_phase::searching &&
         covered >= query.service->policy.min_coverage * total && covered > 0;
}

base::duration call_hedge_delay(const query_tuning& tuning, const service_view& view) {
  const base::duration typical =
      view.call_latencies.quantile(tuning.hedge_quantile, tuning.default_hedge_delay);
  const auto scaled = std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double, std::nano>(typical) * tuning.hedge_factor);
  return std::max<base::duration>(scaled, tuning.min_hedge_delay);
}

wire::block_request make_request(const query_table& table, const query_state& query,
                                 std::size_t index, base::time_point now) {
  wire::block_request request;
  request.kind = query.phase == query_phase::listing_versions
                     ? request_kind::list_versions
                     : request_kind::search;
  request.service = query.service->name;
  request.partition_epoch = query.service->partition_epoch;
  request.index_version = query.version;
  request.block = static_cast<std::uint32_t>(index);
  request.groups = query.blocks[index].groups;
  request.query = query.request.text;
  request.limit = query.request.limit;
  request.priority = query.request.priority;
  request.tenant = query.request.tenant;
  const auto to_us = [](base::duration value) {
    return std::chrono::duration_cast<base::microseconds>(value);
  };
  request.budget = to_us(budget_for_hop(table.tuning, query.deadline - now));
  const config::service_policy& policy = query.service->policy;
  if (policy.mode == config::answer_mode::latency_first) {
    const base::duration until = query.started + policy.answer_by - now;
    request.early_reply = to_us(budget_for_hop(table.tuning, until));
  }
  return request;
}

/// Calls the next holder of a block that was not called yet.
/// @return Whether there was one.
bool ask_holder(query_table& table, call_table& calls, base::request_id id,
                std::size_t index, context& ctx) {
  query_state& query = table.queries.at(id);
  query_block& block = query.blocks[index];
  const std::string key = config::block_key(query.service->name, index);
  const auto holder = choose_holder(calls, key, block.tried, ctx);
  if (!holder) {
    return false;
  }
  block.tried.push_back(*holder);
  wire::block_request request = make_request(table, query, index, ctx.now);
  const base::block_call_id call =
      start_call(calls, *holder, std::move(request), id, index, ctx);
  block.live_calls.push_back(call);
  if (table.tuning.hedge && query.service->policy.hedge_budget > 0) {
    ctx.add_timer(call_hedge_delay(table.tuning, table.services[query.service->name]),
                  timer_kind::call_hedge, call.value);
  }
  return true;
}

void reset_blocks(query_state& query) {
  query.blocks.clear();
  const std::size_t groups = query.service->groups.size();
  for (std::size_t first = 0; first < groups; first += config::groups_per_block) {
    query_block block;
    const std::size_t last = std::min(first + config::groups_per_block, groups);
    for (std::size_t group = first; group < last; ++group) {
      block.groups.push_back(static_cast<std::uint32_t>(group));
    }
    query.blocks.push_back(std::move(block));
  }
  query.unfinished_blocks = query.blocks.size();
}

void schedule_restart(query_table& table, base::request_id id, context& ctx) {
  query_state& query = table.queries.at(id);
  query.phase = query_phase::waiting;
  ctx.add_timer(table.tuning.restart_delay, timer_kind::query_answer_by, id.value, 1);
}

bool may_restart(const query_table& table, const query_state& query,
                 base::time_point now) {
  return query.restarts < table.tuning.max_restarts &&
         now + table.tuning.restart_delay < query.deadline;
}

/// Restarts a query if shards moved or another index version may cover more. All
/// replies so far are discarded.
/// @return Whether the query was or will be restarted.
bool restart_if_better(query_table& table, call_table& calls, base::request_id id,
                       context& ctx) {
  query_state& query = table.queries.at(id);
  if (!may_restart(table, query, ctx.now)) {
    return false;
  }
  const auto service = find_service(ctx.shared.nodes, query.service->name);
  const bool moved = has_missing_reason(query, missing_reason::moved);
  const bool repartitioned =
      service != nullptr && service->partition_epoch != query.service->partition_epoch;
  if (moved && !repartitioned) {
    ++query.restarts;
    schedule_restart(table, id, ctx);
    return true;
  }
  const std::uint64_t version =
      choose_version(table.services[query.service->name].versions, *query.service);
  const bool version_changed =
      has_missing_reason(query, missing_reason::version_gone) &&
      version != query.version;
  if (!repartitioned && !version_changed) {
    return false;
  }
  ++query.restarts;
  ++ctx.shared.count.restarts;
  query.may_have_run = any_may_have_run(query);
  query.service = repartitioned ? service : query.service;
  start_round(table, calls, id, ctx);
  return true;
}

void finish_round(query_table& table, call_table& calls, base::request_id id,
                  context& ctx) {
  query_state& query = table.queries.at(id);
  if (query.phase == query_phase::listing_versions) {
    query.version =
        choose_version(table.services[query.service->name].versions, *query.service);
    if (query.version != 0) {
      start_round(table, calls, id, ctx);
      return;
    }
    if (may_restart(table, query, ctx.now)) {
      ++query.restarts;
      schedule_restart(table, id, ctx);
      return;
    }
  }
  if (covered_count(query) < config::shard_count(*query.service) &&
      restart_if_better(table, calls, id, ctx)) {
    return;
  }
  answer_query(table, calls, id, ctx);
}

void complete_block(query_table& table, call_table& calls, base::request_id id,
                    std::size_t index, context& ctx) {
  query_state& query = table.queries.at(id);
  query_block& block = query.blocks[index];
  block.done = true;
  cancel_live_calls(calls, block, ctx);
  --query.unfinished_blocks;
  if (query.unfinished_blocks == 0) {
    finish_round(table, calls, id, ctx);
    return;
  }
  if (may_answer_early(query)) {
    answer_query(table, calls, id, ctx);
  }
}

/// Pins an index version and calls a holder of every block; asks them for their
/// versions instead if none is known yet.
void start_round(query_table& table, call_table& calls, base::request_id id,
                 context& ctx) {
  query_state& query = table.queries.at(id);
  service_view& view = table.services[query.service->name];
  query.version = choose_version(view.versions, *query.service);
  query.phase =
      query.version == 0 ? query_phase::listing_versions : query_phase::searching;
  reset_blocks(query);
  const std::size_t blocks = query.blocks.size();
  std::vector<std::size_t> without_holder;
  for (std::size_t index = 0; index < blocks; ++index) {
    earn(view.hedges);
    earn(view.retries);
    if (!ask_holder(table, calls, id, index, ctx)) {
      without_holder.push_back(index);
    }
  }
  for (const std::size_t index : without_holder) {
    if (find_query(table, id) != nullptr) {
      complete_block(table, calls, id, index, ctx);
    }
  }
}

void record_call_latency(service_view& view, const call_state& call,
                         base::time_point now) {
  if (call.kind == request_kind::search) {
    view.call_latencies.record(now - call.started);
  }
}

void hedge_call(query_table& table, call_table& calls, base::block_call_id id,
                context& ctx) {
  const auto call = calls.calls.find(id);
  if (call == calls.calls.end()) {
    return;
  }
  const call_state slow_call = call->second;
  query_state* query = find_query(table, slow_call.request);
  if (query == nullptr) {
    return;
  }
  record_unanswered_call(calls, slow_call.node, ctx);
  query_block& block = query->blocks[slow_call.block];
  // An early reply shows that the holder is working on the block.
  if (block.live_calls.size() > 1 || block.reply ||
      !spend(table.services[query->service->name].hedges)) {
    return;
  }
  if (ask_holder(table, calls, slow_call.request, slow_call.block, ctx)) {
    ++ctx.shared.count.block_hedges;
  }
}

void expire_query(query_table& table, call_table& calls, base::request_id id,
                  context& ctx) {
  if (find_query(table, id) != nullptr) {
    answer_query(table, calls, id, ctx);
  }
}

void on_answer_by(query_table& table, call_table& calls, base::request_id id,
                  context& ctx) {
  query_state* query = find_query(table, id);
  if (query == nullptr) {
    return;
  }
  query->answer_by_passed = true;
  if (may_answer_early(*query)) {
    answer_query(table, calls, id, ctx);
  }
}

void on_restart_due(query_table& table, call_table& calls, base::request_id id,
                    context& ctx) {
  query_state* query = find_query(table, id);
  if (query == nullptr || query->phase != query_phase::waiting) {
    return;
  }
  if (const auto service = find_service(ctx.shared.nodes, query->service->name)) {
    query->service = service;
  }
  ++ctx.shared.count.restarts;
  query->may_have_run = any_may_have_run(*query);
  start_round(table, calls, id, ctx);
}

}  // namespace

std::optional<base::duration> effective_timeout(
    const config::service& service, std::optional<base::milliseconds> requested) {
  const base::milliseconds timeout = requested.value_or(service.policy.default_timeout);
  if (timeout > service.policy.max_timeout) {
    return std::nullopt;
  }
  return timeout;
}

base::duration budget_for_hop(const query_tuning& tuning, base::duration left) {
  constexpr int margin_divisor = 20;
  const base::duration margin = std::clamp<base::duration>(
      left / margin_divisor, tuning.min_margin, tuning.max_margin);
  return std::max<base::duration>(left - margin, base::microseconds(1));
}

std::size_t admission_limit(const query_tuning& tuning, wire::priority priority) {
  const auto max_queries = static_cast<double>(tuning.max_in_flight);
  switch (priority) {
    case wire::priority::batch:
      return static_cast<std::size_t>(max_queries * tuning.batch_share);
    case wire::priority::normal:
      return static_cast<std::size_t>(max_queries * tuning.normal_share);
    case wire::priority::interactive:
      break;
  }
  return tuning.max_in_flight;
}

void on_query(query_table& table, call_table& calls, const query_received& event,
              context& ctx) {
  ++ctx.shared.count.queries;
  if (ctx.shared.nodes.generation == 0) {
    refuse(table.tuning, event, outcome::not_run, rejection::none,
           "no configuration is in force on this VM yet", "", ctx);
    return;
  }
  const auto service = find_service(ctx.shared.nodes, event.service);
  if (service == nullptr) {
    refuse(table.tuning, event, outcome::rejected, rejection::not_found,
           "no service has this name", "service", ctx);
    return;
  }
  const auto timeout = effective_timeout(*service, event.timeout);
  if (!timeout) {
    refuse(table.tuning, event, outcome::rejected, rejection::bad_request,
           "the service allows at most " +
               std::to_string(service->policy.max_timeout.count()) + " ms",
           "Ibis-Timeout-Ms", ctx);
    return;
  }
  if (table.queries.size() >= admission_limit(table.tuning, event.priority)) {
    refuse(table.tuning, event, outcome::not_run, rejection::none,
           "too many requests are in flight on this VM", "", ctx);
    return;
  }
  const base::request_id id{ctx.next_id()};
  query_state query;
  query.caller = event.caller;
  query.service = service;
  query.request = event;
  query.started = ctx.now;
  query.deadline = ctx.now + budget_for_hop(table.tuning, *timeout);
  table.queries[id] = std::move(query);
  table.by_caller[event.caller] = id;
  service_view& view = table.services[service->name];
  view.hedges.share = table.tuning.call_hedge_share;
  view.retries.share = service->policy.retry_budget;
  ctx.add_timer(table.queries[id].deadline - ctx.now, timer_kind::query_deadline,
                id.value);
  if (service->policy.mode == config::answer_mode::latency_first) {
    ctx.add_timer(service->policy.answer_by, timer_kind::query_answer_by, id.value);
  }
  start_round(table, calls, id, ctx);
}

void on_caller_disconnected(query_table& table, call_table& calls,
                            base::caller_id caller, context& ctx) {
  const auto found = table.by_caller.find(caller);
  if (found != table.by_caller.end()) {
    drop_query(table, calls, found->second, ctx);
  }
}

void on_query_reply(query_table& table, call_table& calls, const call_state& call,
                    wire::block_reply reply, context& ctx) {
  query_state* query = find_query(table, call.request);
  if (query == nullptr) {
    ++ctx.shared.count.late_block_replies;
    return;
  }
  service_view& view = table.services[query->service->name];
  record_versions(view.versions, query->service->partition_epoch, reply.versions);
  query_block& block = query->blocks[call.block];
  query->may_have_run = query->may_have_run || reply.may_have_run > 0;
  if (reply.final) {
    record_call_latency(view, call, ctx.now);
    block.live_calls.erase(
        std::remove(block.live_calls.begin(), block.live_calls.end(), reply.call),
        block.live_calls.end());
  }
  if (call.kind == request_kind::search && reply.index_version != query->version) {
    ++ctx.shared.count.version_mismatches;
    return;
  }
  // The shards of a group whose versions are known have not been searched yet.
  const bool versions_known =
      call.kind == request_kind::list_versions && !reply.versions.empty();
  normalize_shards(*query, block,
                   versions_known ? missing_reason::timeout : missing_reason::no_holder,
                   reply);
  const bool no_shard_held = all_missing_with_reason(reply, missing_reason::no_holder);
  const bool epoch_differs =
      all_missing_with_reason(reply, missing_reason::moved) && reply.attempts == 0;
  if (no_shard_held || epoch_differs) {
    table.peer_with_other_configuration = call.node;
  }
  if (reply.final && no_shard_held &&
      ask_holder(table, calls, call.request, call.block, ctx)) {
    return;
  }
  if (reply.final && call.kind == request_kind::search && !block.live_calls.empty() &&
      !reply.missing.empty() && reply.covered.empty()) {
    return;  // Another call is in flight and cannot cover less.
  }
  if (call.kind == request_kind::search || !reply.missing.empty()) {
    block.reply = reply;
  }
  if (reply.final) {
    complete_block(table, calls, call.request, call.block, ctx);
    return;
  }
  if (may_answer_early(*query)) {
    answer_query(table, calls, call.request, ctx);
  }
}

void on_query_call_failed(query_table& table, call_table& calls, const call_state& call,
                          base::block_call_id id, bool sent, context& ctx) {
  query_state* query = find_query(table, call.request);
  if (query == nullptr) {
    return;
  }
  query_block& block = query->blocks[call.block];
  block.live_calls.erase(
      std::remove(block.live_calls.begin(), block.live_calls.end(), id),
      block.live_calls.end());
  query->may_have_run =
      query->may_have_run || (sent && call.kind == request_kind::search);
  if (block.done || !block.live_calls.empty()) {
    return;
  }
  const bool allowed = block.retries < table.tuning.retries_per_block &&
                       (!sent || spend(table.services[query->service->name].retries));
  if (allowed && ask_holder(table, calls, call.request, call.block, ctx)) {
    ++block.retries;
    ++ctx.shared.count.block_retries;
    return;
  }
  if (!block.reply) {
    block.reply.emplace();
    block.reply->index_version = query->version;
    answer lost;
    add_missing_of_block(*query, block,
                         sent ? missing_reason::lost : missing_reason::no_holder, lost);
    block.reply->missing = std::move(lost.missing);
  }
  complete_block(table, calls, call.request, call.block, ctx);
}

void on_query_timer(query_table& table, call_table& calls, const timer& due,
                    context& ctx) {
  const base::request_id id{due.subject};
  switch (due.kind) {
    case timer_kind::query_deadline:
      expire_query(table, calls, id, ctx);
      return;
    case timer_kind::query_answer_by:
      if (due.detail == 0) {
        on_answer_by(table, calls, id, ctx);
      } else {
        on_restart_due(table, calls, id, ctx);
      }
      return;
    case timer_kind::call_hedge:
      hedge_call(table, calls, {due.subject}, ctx);
      return;
    default:
      return;
  }
}

}  // namespace ibis::policy
