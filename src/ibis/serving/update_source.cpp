#include "ibis/serving/update_source.hpp"

#include <algorithm>  // for any_of, min, min_element, sort
#include <map>        // for map
#include <string>     // for string
#include <vector>     // for vector

#include "ibis/base/hash.hpp"  // for hash64

namespace ibis::serving {
namespace {

using peer_list = std::vector<const peer*>;

bool is_avoided(const node_state& node, const peer& other, base::time_point now) {
  const auto found = node.failed_peers.find(other.node);
  return found != node.failed_peers.end() && now < found->second.avoid_until;
}

/// Reduces the nodes of an availability zone to those that watch the store for it: the
/// first ones by hash of their name.
void keep_watchers(peer_list& members, std::size_t watchers) {
  std::sort(members.begin(), members.end(), [](const peer* first, const peer* second) {
    return base::hash64(first->node) < base::hash64(second->node);
  });
  members.resize(std::min(members.size(), watchers));
}

/// Chooses one of the peers by rendezvous hashing, so that the nodes spread over them.
std::optional<peer> pick_peer(const peer_list& peers, const std::string& self) {
  const auto weight = [&self](const peer* other) {
    return base::hash64(self + ' ' + other->node);
  };
  const auto found = std::min_element(peers.begin(), peers.end(),
                                      [&weight](const peer* first, const peer* second) {
                                        return weight(first) < weight(second);
                                      });
  return found == peers.end() ? std::nullopt : std::optional(**found);
}

}  // namespace

std::optional<peer> choose_update_source(const node_state& node, base::time_point now) {
  const std::string& self = node.settings.node;
  const std::size_t watchers = node.settings.peers.watchers;
  if (self.empty() || watchers == 0 || node.peers.empty()) {
    return std::nullopt;
  }
  const peer own{self, "", node.settings.availability_zone};
  std::map<std::string, peer_list> zones;
  zones[own.availability_zone].push_back(&own);
  for (const peer& other : node.peers) {
    if (!is_avoided(node, other, now)) {
      zones[other.availability_zone].push_back(&other);
    }
  }
  peer_list other_zones;
  for (auto& [zone, members] : zones) {
    keep_watchers(members, watchers);
    if (zone != own.availability_zone) {
      other_zones.insert(other_zones.end(), members.begin(), members.end());
    }
  }
  peer_list& same_zone = zones.at(own.availability_zone);
  const bool watches = std::erase(same_zone, &own) > 0;
  if (!node.store_unavailable) {
    return watches ? std::nullopt : pick_peer(same_zone, self);
  }
  if (now - node.store_unavailable_since < node.settings.peers.peer_fallback_after) {
    return std::nullopt;
  }
  return pick_peer(same_zone.empty() ? other_zones : same_zone, self);
}

void avoid_peer(const std::string& node, context& ctx) {
  constexpr std::size_t max_doublings = 6;
  const peer_settings& settings = ctx.node.settings.peers;
  ++ctx.node.count.peer_failures;
  peer_failures& failures = ctx.node.failed_peers[node];
  if (ctx.now < failures.avoid_until) {
    return;
  }
  const std::size_t doublings = std::min(failures.consecutive, max_doublings);
  ++failures.consecutive;
  failures.avoid_until = ctx.now + std::min(settings.avoid_peer_for * (1U << doublings),
                                            settings.avoid_peer_limit);
}

void forget_peer_failures(const std::string& node, context& ctx) {
  ctx.node.failed_peers.erase(node);
}

void forget_old_peer_failures(context& ctx) {
  const base::duration forget_after = ctx.node.settings.peers.avoid_peer_limit;
  std::erase_if(ctx.node.failed_peers, [&ctx, forget_after](const auto& entry) {
    return entry.second.avoid_until + forget_after <= ctx.now;
  });
}

}  // namespace ibis::serving
