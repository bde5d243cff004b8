#include "ibis/policy/claim.hpp"

#include <cctype>             // for tolower
#include <nlohmann/json.hpp>  // for json
#include <utility>            // for move

#include "ibis/base/hash.hpp"  // for content_hash, hash64
#include "ibis/base/uuid.hpp"  // for uuid_v7_time, make_uuid_v7

namespace ibis::policy {
namespace {

using nlohmann::json;

/// Digits of an idempotency key that group claim objects by time.
constexpr std::size_t key_prefix_length = 7;
/// Stage of the deadline timer at which a submit is dropped even if its claim could not
/// be settled.
constexpr std::uint64_t drop_stage = 1;

std::string_view to_string(claim_state state) {
  switch (state) {
    case claim_state::open:
      return "open";
    case claim_state::abandoned:
      return "abandoned";
    case claim_state::complete:
      return "complete";
  }
  return "open";
}

submit_state* find_submit(claim_table& claims, base::request_id id) {
  const auto found = claims.submits.find(id);
  return found == claims.submits.end() ? nullptr : &found->second;
}

answer make_answer(const submit_state& submit, base::request_id id, outcome kind,
                   std::string reason, base::time_point now) {
  answer value;
  value.request = id;
  value.outcome = kind;
  value.reason = std::move(reason);
  value.tenant = submit.request.tenant;
  value.priority = submit.request.priority;
  value.latency = now - submit.started;
  return value;
}

/// Answers the caller unless that has been done already. The submit may remain in
/// flight to settle its claim.
void answer_once(submit_state& submit, answer value, context& ctx) {
  if (submit.answered) {
    return;
  }
  submit.answered = true;
  ctx.out.emplace_back(answer_caller{submit.request.caller, std::move(value)});
}

void answer_not_run(const query_tuning& limits, submit_state& submit,
                    base::request_id id, std::string reason, context& ctx) {
  answer value = make_answer(submit, id, outcome::not_run, std::move(reason), ctx.now);
  value.retry_after = limits.retry_after;
  answer_once(submit, std::move(value), ctx);
}

void answer_complete(submit_state& submit, base::request_id id, std::string result,
                     context& ctx) {
  answer value = make_answer(submit, id, outcome::complete, "", ctx.now);
  value.total = 1;
  value.covered = 1;
  value.result = std::move(result);
  answer_once(submit, std::move(value), ctx);
}

/// Answers a submit that is invalid.
void reject(const submit_received& event, rejection code, std::string reason,
            std::string field, context& ctx) {
  answer value;
  value.request = {ctx.next_id()};
  value.outcome = outcome::rejected;
  value.rejection = code;
  value.reason = std::move(reason);
  value.field = std::move(field);
  value.tenant = event.tenant;
  value.priority = event.priority;
  ctx.out.emplace_back(answer_caller{event.caller, std::move(value)});
}

/// Answers a submit that is valid but is not run at this time.
void refuse(const query_tuning& limits, const submit_received& event,
            std::string reason, context& ctx) {
  submit_state submit;
  submit.request = event;
  submit.started = ctx.now;
  answer_not_run(limits, submit, {ctx.next_id()}, std::move(reason), ctx);
}

std::string fingerprint_of(const submit_received& event) {
  const char separator = '\0';
  return base::content_hash(event.service + separator + event.shard_key + separator +
                            event.document);
}

bool write_claim_object(platform_call_table& platform, const submit_state& submit,
                        base::request_id id, platform_purpose purpose, context& ctx) {
  platform_request request;
  request.purpose = purpose;
  request.subject = id.value;
  request.verb = purpose == platform_purpose::claim_create ? platform_verb::create
                                                           : platform_verb::update;
  request.key = claim_key(submit.request.idempotency_key);
  request.value = write_claim(submit.record);
  request.version = submit.version;
  return try_call_platform(platform, std::move(request), ctx);
}

platform_purpose purpose_of(claim_phase phase) {
  switch (phase) {
    case claim_phase::claiming:
      return platform_purpose::claim_create;
    case claim_phase::taking_over:
      return platform_purpose::claim_take_over;
    case claim_phase::recording:
      return platform_purpose::claim_record;
    case claim_phase::abandoning:
    case claim_phase::dispatching:
      break;
  }
  return platform_purpose::claim_abandon;
}

/// Writes the claim object as the current phase requires. If the rate limit prevents
/// the call, it is tried again after a delay.
void write_claim_for_phase(claim_table& claims, platform_call_table& platform,
                           base::request_id id, context& ctx) {
  const submit_state& submit = claims.submits.at(id);
  const bool sent =
      write_claim_object(platform, submit, id, purpose_of(submit.phase), ctx);
  if (!sent) {
    ctx.add_timer(claims.tuning.retry_delay, timer_kind::platform_retry, id.value);
  }
}

void enter_phase(claim_table& claims, platform_call_table& platform,
                 base::request_id id, claim_phase phase, context& ctx) {
  submit_state& submit = claims.submits.at(id);
  submit.phase = phase;
  if (phase == claim_phase::recording) {
    submit.record.state = claim_state::complete;
  }
  if (phase == claim_phase::abandoning) {
    submit.record.state = claim_state::abandoned;
  }
  write_claim_for_phase(claims, platform, id, ctx);
}

/// Answers that the request did not run, and marks the claim as abandoned.
void abandon(claim_table& claims, platform_call_table& platform,
             const query_tuning& limits, base::request_id id, std::string reason,
             context& ctx) {
  answer_not_run(limits, claims.submits.at(id), id, std::move(reason), ctx);
  enter_phase(claims, platform, id, claim_phase::abandoning, ctx);
}

wire::block_request make_request(const query_tuning& limits, const submit_state& submit,
                                 base::time_point now) {
  wire::block_request request;
  request.kind = wire::request_kind::submit;
  request.service = submit.service->name;
  request.partition_epoch = submit.service->partition_epoch;
  request.block = static_cast<std::uint32_t>(submit.group / config::groups_per_block);
  request.groups = {submit.group};
  request.query = submit.request.document;
  request.priority = submit.request.priority;
  request.tenant = submit.request.tenant;
  request.budget = std::chrono::duration_cast<base::microseconds>(
      budget_for_hop(limits, submit.deadline - now));
  request.idempotency_key = submit.request.idempotency_key;
  request.shard = submit.shard;
  return request;
}

/// Sends the request to a holder that was not tried yet. Must only be called once this
/// submit owns the claim.
void dispatch(claim_table& claims, platform_call_table& platform, call_table& calls,
              const query_tuning& limits, base::request_id id, context& ctx) {
  submit_state& submit = claims.submits.at(id);
  if (submit.deadline - ctx.now < claims.tuning.min_dispatch_budget) {
    abandon(claims, platform, limits, id, "the time ran out before it was sent", ctx);
    return;
  }
  const std::string key =
      config::block_key(submit.service->name, submit.group / config::groups_per_block);
  const auto holder = choose_holder(calls, key, submit.tried_relays, ctx);
  if (!holder) {
    abandon(claims, platform, limits, id, "no relay takes requests for this shard",
            ctx);
    return;
  }
  submit.phase = claim_phase::dispatching;
  submit.tried_relays.push_back(*holder);
  submit.call =
      start_call(calls, *holder, make_request(limits, submit, ctx.now), id, 0, ctx);
}

/// Tries another holder after one that certainly did not run the request.
void dispatch_again(claim_table& claims, platform_call_table& platform,
                    call_table& calls, const query_tuning& limits, base::request_id id,
                    context& ctx) {
  submit_state& submit = claims.submits.at(id);
  if (submit.retries >= claims.tuning.max_dispatch_retries) {
    abandon(claims, platform, limits, id, "every attempt was refused before it ran",
            ctx);
    return;
  }
  ++submit.retries;
  dispatch(claims, platform, calls, limits, id, ctx);
}

/// Answers a submit whose key is claimed by another one, or takes that claim over if it
/// was abandoned.
void answer_from_existing_claim(claim_table& claims, platform_call_table& platform,
                                const claim_record& existing, std::uint64_t version,
                                base::request_id id, context& ctx) {
  submit_state& submit = claims.submits.at(id);
  if (existing.fingerprint != submit.record.fingerprint) {
    answer value = make_answer(submit, id, outcome::rejected,
                               "the key was used with another request", ctx.now);
    value.rejection = rejection::unprocessable;
    value.field = "Idempotency-Key";
    answer_once(submit, std::move(value), ctx);
    claims.submits.erase(id);
    return;
  }
  if (existing.state == claim_state::abandoned) {
    submit.version = version;
    enter_phase(claims, platform, id, claim_phase::taking_over, ctx);
    return;
  }
  ++ctx.shared.count.claims_replayed;
  if (existing.state == claim_state::complete) {
    answer_complete(submit, id, existing.result, ctx);
  } else {
    answer_once(submit,
                make_answer(submit, id, outcome::unknown,
                            "the same request is under way or its end was not recorded",
                            ctx.now),
                ctx);
  }
  claims.submits.erase(id);
}

/// Schedules the same write again after one without an answer, which may or may not
/// have taken effect.
void retry_unanswered_write(claim_table& claims, base::request_id id, context& ctx) {
  const submit_state& submit = claims.submits.at(id);
  // Retries continue past the deadline, to learn whether the write took effect and to
  // abandon the claim if so.
  if (ctx.now < submit.deadline + claims.tuning.settle_timeout) {
    ctx.add_timer(claims.tuning.retry_delay, timer_kind::platform_retry, id.value);
    return;
  }
  claims.submits.erase(id);
}

/// Continues once the claim object holds this submit's token: dispatches the request,
/// or abandons the claim if the caller has been answered in the meantime.
void on_claim_acquired(claim_table& claims, platform_call_table& platform,
                       call_table& calls, const query_tuning& limits,
                       base::request_id id, context& ctx) {
  ++ctx.shared.count.claims_created;
  submit_state& submit = claims.submits.at(id);
  if (submit.answered) {
    enter_phase(claims, platform, id, claim_phase::abandoning, ctx);
    return;
  }
  dispatch(claims, platform, calls, limits, id, ctx);
}

void on_acquire_reply(claim_table& claims, platform_call_table& platform,
                      call_table& calls, const query_tuning& limits,
                      base::request_id id, const platform_replied& reply,
                      context& ctx) {
  submit_state& submit = claims.submits.at(id);
  if (reply.outcome == platform_outcome::unavailable ||
      reply.outcome == platform_outcome::rejected || reply.objects.empty()) {
    retry_unanswered_write(claims, id, ctx);
    return;
  }
  const platform_object& object = reply.objects.front();
  if (reply.outcome == platform_outcome::ok) {
    submit.version = object.version;
    on_claim_acquired(claims, platform, calls, limits, id, ctx);
    return;
  }
  const auto existing = read_claim(object.value);
  if (!existing) {
    answer_once(
        submit,
        make_answer(submit, id, outcome::unknown, "the claim cannot be read", ctx.now),
        ctx);
    claims.submits.erase(id);
    return;
  }
  if (existing->token == submit.record.token) {
    submit.version = object.version;
    on_claim_acquired(claims, platform, calls, limits, id, ctx);
    return;
  }
  answer_from_existing_claim(claims, platform, *existing, object.version, id, ctx);
}

/// Handles the reply to the write of a result or of an abandonment.
void on_settle_reply(claim_table& claims, base::request_id id,
                     const platform_replied& reply, context& ctx) {
  submit_state& submit = claims.submits.at(id);
  const bool no_answer = reply.outcome == platform_outcome::unavailable ||
                         reply.outcome == platform_outcome::rejected;
  if (no_answer) {
    retry_unanswered_write(claims, id, ctx);
    return;
  }
  // A conflict means that an earlier attempt of this write took effect, or that the
  // claim was swept.
  if (submit.phase == claim_phase::recording) {
    answer_complete(submit, id, submit.record.result, ctx);
  }
  claims.submits.erase(id);
}

/// @return When a claim was created, by its key; nothing if no claim has such a key.
std::optional<base::milliseconds> created_at(const std::string& key) {
  const std::size_t slash = key.find_last_of('/');
  return base::uuid_v7_time(key.substr(slash + 1));
}

bool is_expired(const claim_table& claims, base::milliseconds created,
                base::milliseconds unix_time) {
  return created + claims.tuning.key_lifetime + claims.tuning.clock_skew * 2 <
         unix_time;
}

void remove_expired_claims(const claim_table& claims, platform_call_table& platform,
                           const platform_replied& reply, context& ctx) {
  for (const platform_object& object : reply.objects) {
    const auto created = created_at(object.key);
    if (!created) {
      continue;  // Another writer's.
    }
    if (!is_expired(claims, *created, claims.last_sweep_time)) {
      return;  // Claims are listed oldest first.
    }
    platform_request request;
    request.purpose = platform_purpose::claim_sweep_remove;
    request.verb = platform_verb::remove;
    request.key = object.key;
    request.version = object.version;
    if (!try_call_platform(platform, std::move(request), ctx)) {
      return;
    }
  }
}

/// Checks an idempotency key and answers the caller if it cannot be used.
///
/// @return Whether the key can be used.
bool validate_key(const claim_table& claims, const query_tuning& limits,
                  const submit_received& event, context& ctx) {
  const auto created_at = base::uuid_v7_time(event.idempotency_key);
  if (!created_at) {
    reject(event, rejection::bad_request, "a UUID of version 7 is required",
           "Idempotency-Key", ctx);
    return false;
  }
  if (*created_at > event.received_at + claims.tuning.clock_skew) {
    reject(event, rejection::bad_request, "the key's time lies in the future",
           "Idempotency-Key", ctx);
    return false;
  }
  if (*created_at + claims.tuning.key_lifetime < event.received_at) {
    refuse(limits, event, "the key has expired", ctx);
    return false;
  }
  return true;
}

}  // namespace

std::string write_claim(const claim_record& value) {
  return json{{"token", value.token},
              {"fingerprint", value.fingerprint},
              {"state", to_string(value.state)},
              {"result", value.result}}
      .dump();
}

std::optional<claim_record> read_claim(const std::string& bytes) {
  const json parsed = json::parse(bytes, nullptr, false);
  const auto has_string = [&](const char* name) {
    return parsed.contains(name) && parsed[name].is_string();
  };
  if (!parsed.is_object() || !has_string("token") || !has_string("fingerprint") ||
      !has_string("state") || !has_string("result")) {
    return std::nullopt;
  }
  claim_record value{parsed["token"], parsed["fingerprint"], claim_state::open,
                     parsed["result"]};
  for (const claim_state state : {claim_state::abandoned, claim_state::complete}) {
    if (parsed["state"] == to_string(state)) {
      value.state = state;
    }
  }
  return value;
}

std::string claim_key(const std::string& idempotency_key) {
  std::string key;
  for (const char character : idempotency_key) {
    key.push_back(
        static_cast<char>(std::tolower(static_cast<unsigned char>(character))));
  }
  return "claims/" + key.substr(0, key_prefix_length) + '/' + key;
}

void on_submit(claim_table& claims, platform_call_table& platform,
               const query_tuning& limits, const submit_received& event, context& ctx) {
  ++ctx.shared.count.submits;
  if (ctx.shared.nodes.generation == 0) {
    refuse(limits, event, "no configuration is in force on this VM yet", ctx);
    return;
  }
  const auto service = find_service(ctx.shared.nodes, event.service);
  if (service == nullptr) {
    reject(event, rejection::not_found, "no service has this name", "service", ctx);
    return;
  }
  if (service->repeatable) {
    reject(event, rejection::unprocessable, "the service takes no submissions",
           "service", ctx);
    return;
  }
  const auto timeout = effective_timeout(*service, event.timeout);
  if (!timeout) {
    reject(event, rejection::bad_request, "longer than the service allows",
           "Ibis-Timeout-Ms", ctx);
    return;
  }
  if (!validate_key(claims, limits, event, ctx)) {
    return;
  }
  if (claims.submits.size() >= claims.tuning.max_in_flight) {
    refuse(limits, event, "too many submissions are in flight on this VM", ctx);
    return;
  }
  const base::request_id id{ctx.next_id()};
  submit_state submit;
  submit.request = event;
  submit.service = service;
  submit.started = ctx.now;
  submit.deadline = ctx.now + budget_for_hop(limits, *timeout);
  submit.record.token =
      std::to_string(id.value) + '-' + std::to_string(ctx.shared.random());
  submit.record.fingerprint = fingerprint_of(event);
  submit.shard = static_cast<wire::shard_index>(base::hash64(event.shard_key) %
                                                config::shard_count(*service));
  submit.group = static_cast<std::uint32_t>(
      config::group_of_shard(*service, submit.shard).value_or(0));
  ctx.add_timer(submit.deadline - ctx.now, timer_kind::claim_deadline, id.value);
  claims.submits[id] = std::move(submit);
  enter_phase(claims, platform, id, claim_phase::claiming, ctx);
}

void on_claim_platform_reply(claim_table& claims, platform_call_table& platform,
                             call_table& calls, const query_tuning& limits,
                             const platform_call& call, const platform_replied& reply,
                             context& ctx) {
  if (call.purpose == platform_purpose::claim_sweep_list) {
    remove_expired_claims(claims, platform, reply, ctx);
    return;
  }
  const base::request_id id{call.subject};
  const submit_state* submit = find_submit(claims, id);
  if (submit == nullptr || purpose_of(submit->phase) != call.purpose) {
    return;
  }
  if (submit->phase == claim_phase::claiming ||
      submit->phase == claim_phase::taking_over) {
    on_acquire_reply(claims, platform, calls, limits, id, reply, ctx);
    return;
  }
  on_settle_reply(claims, id, reply, ctx);
}

void on_submit_reply(claim_table& claims, platform_call_table& platform,
                     call_table& calls, const query_tuning& limits,
                     const call_state& call, const wire::block_reply& reply,
                     context& ctx) {
  submit_state* submit = find_submit(claims, call.request);
  if (submit == nullptr || submit->phase != claim_phase::dispatching || !reply.final) {
    return;
  }
  if (!reply.covered.empty()) {
    submit->record.result = reply.result;
    enter_phase(claims, platform, call.request, claim_phase::recording, ctx);
    return;
  }
  if (reply.may_have_run == 0) {
    dispatch_again(claims, platform, calls, limits, call.request, ctx);
    return;
  }
  answer_once(*submit,
              make_answer(*submit, call.request, outcome::unknown,
                          "the leaf that was asked did not answer", ctx.now),
              ctx);
  claims.submits.erase(call.request);
}

void on_submit_call_failed(claim_table& claims, platform_call_table& platform,
                           call_table& calls, const query_tuning& limits,
                           const call_state& call, bool sent, context& ctx) {
  submit_state* submit = find_submit(claims, call.request);
  if (submit == nullptr || submit->phase != claim_phase::dispatching) {
    return;
  }
  if (!sent) {
    dispatch_again(claims, platform, calls, limits, call.request, ctx);
    return;
  }
  answer_once(*submit,
              make_answer(*submit, call.request, outcome::unknown,
                          "the relay that was asked is gone", ctx.now),
              ctx);
  claims.submits.erase(call.request);
}

void on_claim_timer(claim_table& claims, platform_call_table& platform,
                    call_table& calls, const timer& due, context& ctx) {
  const base::request_id id{due.subject};
  submit_state* submit = find_submit(claims, id);
  if (submit == nullptr) {
    return;
  }
  if (due.kind == timer_kind::platform_retry) {
    if (submit->phase != claim_phase::dispatching) {
      write_claim_for_phase(claims, platform, id, ctx);
    }
    return;
  }
  if (due.kind != timer_kind::claim_deadline) {
    return;
  }
  if (due.detail == drop_stage) {
    end_call(calls, submit->call);
    claims.submits.erase(id);
    return;
  }
  ctx.add_timer(claims.tuning.settle_timeout * 2, timer_kind::claim_deadline, id.value,
                drop_stage);
  if (submit->answered) {
    return;
  }
  if (submit->phase == claim_phase::recording) {
    answer_complete(*submit, id, submit->record.result, ctx);
    return;
  }
  const bool sent = submit->phase == claim_phase::dispatching;
  answer value = make_answer(
      *submit, id, sent ? outcome::unknown : outcome::not_run,
      sent ? "no answer in time" : "the claim was not won in time", ctx.now);
  answer_once(*submit, std::move(value), ctx);
}

void sweep_expired_claims(claim_table& claims, platform_call_table& platform,
                          base::milliseconds unix_time, context& ctx) {
  claims.last_sweep_time = unix_time;
  platform_request request;
  request.purpose = platform_purpose::claim_sweep_list;
  request.verb = platform_verb::list;
  request.key = "claims/";
  try_call_platform(platform, std::move(request), ctx);
}

}  // namespace ibis::policy
