#include "ibis/serving/view_age.hpp"

#include <algorithm>  // for clamp, max

namespace ibis::serving {
namespace {

/// Share of the propagation limit that passes between two revision checks.
constexpr int checks_per_limit = 3;
/// How long a peer may hold a query.
constexpr base::milliseconds shortest_hold{100};
constexpr base::milliseconds longest_hold{1000};
/// How long a message between two nodes travels at most.
constexpr base::milliseconds peer_transit{100};

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

base::milliseconds max_follower_age(const node_settings& settings) {
  const base::milliseconds age_of_reply =
      settings.store.probe_period + settings.store.call_time;
  return age_of_reply + settings.peers.wait + settings.peers.grace;
}

void fit_propagation(node_settings& settings, base::milliseconds limit) {
  settings.store.probe_period = limit / checks_per_limit;
  settings.peers.wait = shortest_hold;
  const base::milliseconds unused = limit - longest_propagation(settings);
  settings.peers.wait = std::clamp(shortest_hold + unused, shortest_hold, longest_hold);
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
  const base::milliseconds own_watch_paused =
      std::max({store.configuration_pause, store.leaf_pause, store.evacuation_pause}) +
      watch_and_list;
  const base::milliseconds peers_silent =
      max_follower_age(settings) + peer_transit + watch_and_list;
  return std::max({own_watch_silent, own_watch_paused, peers_silent}) +
         store.bulk_removal_hold;
}

}  // namespace ibis::serving
