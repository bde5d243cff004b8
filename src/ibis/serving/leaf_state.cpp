#include "ibis/serving/leaf_state.hpp"

#include <algorithm>  // for any_of, clamp, max
#include <cmath>      // for exp2

#include "ibis/base/hash.hpp"  // for hash64

namespace ibis::serving {
namespace {

constexpr double latency_weight = 0.3;  ///< Weight of a new sample.
constexpr double failure_weight = 0.15;
constexpr double max_slowness = 20.0;

// Costs, in units of the cost of a typical request.
constexpr double suspect_cost = 30.0;
constexpr double unreachable_cost = 100.0;
constexpr double expired_cost = 4.0;
constexpr double failure_cost = 12.0;
constexpr double warming_cost = 0.8;
constexpr double other_zone_cost = 0.6;
constexpr double queue_cost = 0.6;  ///< For each request in flight, divided by slots.

double decay(base::time_point since, base::time_point now, base::duration half_life) {
  return std::exp2(-base::to_ms(now - since) / base::to_ms(half_life));
}

double current_failure_rate(const leaf_state& leaf, base::time_point now,
                            const leaf_settings& settings) {
  return leaf.failure_rate *
         decay(leaf.failure_rate_updated_at, now, settings.failure_half_life);
}

}  // namespace

std::uint64_t request_key(const std::string& request_id) {
  return base::hash64(request_id);
}

bool has_carried(const connection_state& connection, std::uint64_t key) {
  return std::any_of(
      connection.carried.begin(), connection.carried.end(),
      [key](const carried_request& request) { return request.key == key; });
}

bool takes_new_work(const leaf_state& leaf) {
  return !leaf.record.draining && !leaf.leaving && !leaf.evacuated &&
         !leaf.instance_mismatch && leaf.registration != leaf_registration::removed;
}

double current_slowness(const leaf_state& leaf, base::time_point now,
                        const leaf_settings& settings) {
  const double remaining =
      decay(leaf.slowness_updated_at, now, settings.slowness_half_life);
  return 1.0 + (leaf.slowness - 1.0) * remaining;
}

void update_slowness(leaf_state& leaf, base::duration latency,
                     base::duration typical_latency, base::time_point now,
                     const leaf_settings& settings) {
  const double sample =
      std::clamp(base::to_ms(latency) / std::max(1.0, base::to_ms(typical_latency)),
                 0.1, max_slowness);
  const double previous = current_slowness(leaf, now, settings);
  leaf.slowness = previous + latency_weight * (sample - previous);
  leaf.slowness_updated_at = now;
}

void update_failure_rate(leaf_state& leaf, bool failed, base::time_point now,
                         const leaf_settings& settings) {
  const double previous = current_failure_rate(leaf, now, settings);
  leaf.failure_rate = previous + failure_weight * ((failed ? 1.0 : 0.0) - previous);
  leaf.failure_rate_updated_at = now;
}

bool is_suspect(const leaf_state& leaf, base::time_point now) {
  return std::any_of(leaf.running.begin(), leaf.running.end(),
                     [now](const running_request& request) {
                       return now - request.sent_at > request.late_after;
                     });
}

bool is_unreachable(const leaf_state& leaf, base::time_point now) {
  return leaf.connect_failures > 0 && now < leaf.next_connect_at;
}

double expected_cost(const leaf_state& leaf, bool same_zone, base::time_point now,
                     const leaf_settings& settings) {
  const double slots = std::max(1U, leaf.record.slots);
  const double queue = queue_cost * static_cast<double>(leaf.running.size()) / slots;
  return expected_cost(leaf, current_slowness(leaf, now, settings) * (1.0 + queue),
                       same_zone, now, settings);
}

double expected_cost(const leaf_state& leaf, double load_cost, bool same_zone,
                     base::time_point now, const leaf_settings& settings) {
  double cost = load_cost;
  cost += failure_cost * current_failure_rate(leaf, now, settings);
  cost += same_zone ? 0.0 : other_zone_cost;
  cost += is_suspect(leaf, now) ? suspect_cost : 0.0;
  cost += is_unreachable(leaf, now) ? unreachable_cost : 0.0;
  cost += leaf.registration == leaf_registration::expired ? expired_cost : 0.0;
  cost += now < leaf.warming_until ? warming_cost : 0.0;
  return cost;
}

}  // namespace ibis::serving
