#include "ibis/policy/platform_budget.hpp"

#include <algorithm>  // for max, min
#include <utility>    // for move

namespace ibis::policy {
namespace {

bool is_claim(platform_purpose purpose) {
  return purpose >= platform_purpose::claim_create;
}

bool take(call_rate& rate, double per_second, double burst_seconds,
          base::time_point now) {
  // A small share must still let one call through now and then.
  const double burst = std::max(1.0, per_second * burst_seconds);
  if (rate.filled_at == base::time_point{}) {
    rate = {burst, now};
  }
  const std::chrono::duration<double> passed = now - rate.filled_at;
  rate.tokens = std::min(burst, rate.tokens + passed.count() * per_second);
  rate.filled_at = now;
  if (rate.tokens < 1.0) {
    return false;
  }
  rate.tokens -= 1.0;
  return true;
}

}  // namespace

void share_claim_calls(platform_tuning& tuning, std::size_t live_entries) {
  const auto entries = static_cast<double>(std::max<std::size_t>(live_entries, 1));
  tuning.claim_rate = tuning.fleet_claim_rate / entries;
}

bool ask_platform(platform_part& part, platform_request request, context& ctx) {
  const bool claim = is_claim(request.purpose);
  call_rate& rate = claim ? part.claims : part.configuration;
  const double per_second =
      claim ? part.tuning.claim_rate : part.tuning.configuration_rate;
  if (!take(rate, per_second, part.tuning.burst_seconds, ctx.now)) {
    return false;
  }
  const base::platform_call_id id{ctx.next_id()};
  const base::duration timeout =
      request.timeout.count() == 0 ? part.tuning.timeout : request.timeout;
  part.calls[id] = {request.purpose, request.subject, request.key};
  ++ctx.shared.count.platform_calls;
  ctx.out.emplace_back(call_platform{id, request.verb, std::move(request.key),
                                     std::move(request.value), request.version,
                                     timeout});
  return true;
}

std::optional<platform_call> end_platform_call(platform_part& part,
                                               base::platform_call_id id) {
  const auto found = part.calls.find(id);
  if (found == part.calls.end()) {
    return std::nullopt;
  }
  platform_call ended = std::move(found->second);
  part.calls.erase(found);
  return ended;
}

}  // namespace ibis::policy
