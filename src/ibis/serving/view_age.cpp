#include "ibis/serving/view_age.hpp"

#include <algorithm>  // for max

namespace ibis::serving {
namespace {

/// Share of the propagation limit that passes between two revision checks.
constexpr int checks_per_limit = 3;

}  // namespace

void mark_verified(topic_state& state, base::time_point at) {
  state.verified_at = std::max(state.verified_at, at);
}

base::milliseconds view_age(const topic_state& state, base::time_point now) {
  return std::chrono::duration_cast<base::milliseconds>(now - state.verified_at);
}

base::milliseconds max_source_age(const store_settings& settings) {
  return settings.probe_period + settings.probe_limit;
}

void fit_propagation(node_settings& settings, base::milliseconds limit) {
  settings.store.probe_period = limit / checks_per_limit;
}

base::milliseconds shortest_propagation_limit(node_settings settings) {
  constexpr base::milliseconds step{100};
  base::milliseconds limit = step;
  fit_propagation(settings, limit);
  while (longest_propagation(settings) > limit) {
    limit += step;
    fit_propagation(settings, limit);
  }
  return limit;
}

base::milliseconds longest_propagation(const node_settings& settings) {
  const store_settings& store = settings.store;
  // The history may have been dropped, so that a listing follows the watch.
  const base::milliseconds watch_and_list = 2 * store.call_time;
  const base::milliseconds own_watch_silent =
      store.probe_period + store.call_time + watch_and_list;
  const base::milliseconds source_silent =
      settings.peers.wait + settings.peers.grace + watch_and_list;
  const base::milliseconds source_outdated = max_source_age(store) + watch_and_list;
  return std::max({own_watch_silent, source_silent, source_outdated}) +
         store.bulk_removal_hold;
}

}  // namespace ibis::serving
