#include "ibis/policy/platform_calls.hpp"

#include <algorithm>  // for max, min
#include <utility>    // for move

namespace ibis::policy {
namespace {

bool is_claim_call(platform_purpose purpose) {
  return purpose >= platform_purpose::claim_create;
}

bool try_take_token(token_bucket& bucket, double per_second, double burst_seconds,
                    base::time_point now) {
  // The capacity is at least one token, so that even a low rate allows a call
  // eventually.
  const double capacity = std::max(1.0, per_second * burst_seconds);
  if (bucket.refilled_at == base::time_point{}) {
    bucket = {capacity, now};
  }
  const std::chrono::duration<double> elapsed = now - bucket.refilled_at;
  bucket.tokens = std::min(capacity, bucket.tokens + elapsed.count() * per_second);
  bucket.refilled_at = now;
  if (bucket.tokens < 1.0) {
    return false;
  }
  bucket.tokens -= 1.0;
  return true;
}

}  // namespace

void divide_claim_rate(platform_tuning& tuning, std::size_t live_entries) {
  const auto entries = static_cast<double>(std::max<std::size_t>(live_entries, 1));
  tuning.claim_rate = tuning.fleet_claim_rate / entries;
}

bool try_call_platform(platform_call_table& table, platform_request request,
                       context& ctx) {
  const bool claim = is_claim_call(request.purpose);
  token_bucket& bucket = claim ? table.claim_bucket : table.configuration_bucket;
  const double per_second =
      claim ? table.tuning.claim_rate : table.tuning.configuration_rate;
  if (!try_take_token(bucket, per_second, table.tuning.burst_seconds, ctx.now)) {
    return false;
  }
  const base::platform_call_id id{ctx.next_id()};
  const base::duration timeout =
      request.timeout.count() == 0 ? table.tuning.timeout : request.timeout;
  table.calls[id] = {request.purpose, request.subject, request.key};
  ++ctx.shared.count.platform_calls;
  ctx.out.emplace_back(call_platform{id, request.verb, std::move(request.key),
                                     std::move(request.value), request.version,
                                     timeout});
  return true;
}

std::optional<platform_call> finish_platform_call(platform_call_table& table,
                                                  base::platform_call_id id) {
  const auto found = table.calls.find(id);
  if (found == table.calls.end()) {
    return std::nullopt;
  }
  platform_call ended = std::move(found->second);
  table.calls.erase(found);
  return ended;
}

}  // namespace ibis::policy
