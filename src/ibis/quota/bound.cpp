#include "ibis/quota/bound.hpp"

#include <algorithm>  // for clamp, max, min
#include <cmath>      // for floor

namespace ibis::quota {
namespace {

/// The share of the excess for the delay between a grant and its use, and the shares of
/// the rest. The latter are together 1.
constexpr double delay_share = 0.35;
constexpr double headroom_share = 0.1 / (1 - delay_share);
constexpr double limited_share = 0.35 / (1 - delay_share);
constexpr double local_share = 0.2 / (1 - delay_share);

/// Longest usual time between the admission of a request and its arrival at a leaf:
/// a request that waits longer for a connection is mostly given up.
constexpr double arrival_delay_s = 0.25;
constexpr base::milliseconds min_validity{100};
constexpr base::milliseconds max_validity{2000};

double to_seconds(base::milliseconds value) {
  return base::to_ms(value) / 1000;
}

base::milliseconds from_seconds(double value) {
  return base::milliseconds(static_cast<base::milliseconds::rep>(value * 1000));
}

double excess(const rate_limit& limit, const bound_settings& settings) {
  return arrivals_bound(limit, settings) -
         limit.rate_per_s * to_seconds(settings.window) - limit.burst;
}

/// Chooses the validity so that the tokens of the time between grant and arrival fit
/// into their share.
base::milliseconds choose_validity(double share, double rate_per_s) {
  const double longest_s = to_seconds(max_validity) + arrival_delay_s;
  const double time_s = std::min(share / rate_per_s, longest_s) - arrival_delay_s;
  return std::clamp(from_seconds(time_s), min_validity, max_validity);
}

/// The time over which requests are admitted that can arrive within one window.
double admission_time_s(base::milliseconds window, base::milliseconds validity) {
  return to_seconds(window) + to_seconds(validity) + arrival_delay_s;
}

void set_limited_share(plan& value, double share, const bound_settings& settings) {
  const double each = share / max_limited_owners;
  if (each < 1) {
    return;  // Not even one whole request fits.
  }
  const double time_s = admission_time_s(settings.window, value.validity);
  value.limited_rate_per_s = std::min(value.rate_per_s, each / 2 / time_s);
  value.limited_capacity = std::min(std::max(1.0, each - each / 2), value.capacity);
  if (value.limited_capacity + value.limited_rate_per_s * time_s > each) {
    value.limited_rate_per_s = (each - value.limited_capacity) / time_s;
  }
}

}  // namespace

double arrivals_bound(const rate_limit& limit, const bound_settings& settings) {
  const double limited = limit.rate_per_s * to_seconds(settings.window) + limit.burst;
  return limited * (1 + settings.overage) + settings.slack;
}

plan make_plan(const rate_limit& limit, const bound_settings& settings) {
  const double spare = excess(limit, settings);
  plan value;
  value.rate_per_s = limit.rate_per_s;
  value.validity = choose_validity(delay_share * spare, limit.rate_per_s);
  const double time_s = admission_time_s(settings.window, value.validity);
  const double delay = limit.rate_per_s * (time_s - to_seconds(settings.window));
  const double rest = std::max(0.0, spare - std::max(delay, delay_share * spare));
  value.capacity = std::max(1.0, limit.burst + headroom_share * rest);
  // The shortest validity can be too long for a high rate: then less is admitted.
  const double most = arrivals_bound(limit, settings) - value.capacity;
  value.rate_per_s = std::min(limit.rate_per_s, std::max(0.0, most) / time_s);
  set_limited_share(value, limited_share * rest, settings);
  value.local_nodes = static_cast<std::size_t>(std::floor(local_share * rest));
  value.local_period = from_seconds(to_seconds(settings.window) + arrival_delay_s);
  return value;
}

double worst_case_arrivals(const plan& parts, const bound_settings& settings) {
  const double time_s = admission_time_s(settings.window, parts.validity);
  const double owner = parts.capacity + parts.rate_per_s * time_s;
  const double limited = parts.limited_capacity + parts.limited_rate_per_s * time_s;
  return owner + max_limited_owners * limited + static_cast<double>(parts.local_nodes);
}

}  // namespace ibis::quota
