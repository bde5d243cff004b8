#include "ibis/serving/leaf_subset.hpp"

#include <algorithm>  // for any_of, min, partial_sort
#include <cstddef>    // for size_t
#include <tuple>      // for tuple

#include "ibis/base/hash.hpp"      // for hash64
#include "ibis/serving/state.hpp"  // for service_state

namespace ibis::serving {
namespace {

/// Key in place of a leaf that has left; no leaf has it.
constexpr std::uint64_t departed_key = 0;

bool is_recent(base::time_point at, base::time_point now) {
  return now - at < leaf_news_delay;
}

/// How many leafs this node may choose.
std::size_t count_allowed(const service_state& service,
                          const delegated_request& request, base::time_point now) {
  const bool has_new_leaf = std::any_of(
      service.leafs.begin(), service.leafs.end(),
      [now](const leaf_ptr& leaf) { return is_recent(leaf->joined_at, now); });
  if (!has_new_leaf) {
    return request.max_leafs;
  }
  return request.sent_before < request.max_leafs ? 1 : 0;
}

}  // namespace

std::vector<std::uint64_t> choose_leaf_subset(const service_state& service,
                                              const delegated_request& request,
                                              base::time_point now) {
  /// Whether the leaf is new, whether it is in another zone, a hash, and its key.
  using rank = std::tuple<bool, bool, std::uint64_t, std::uint64_t>;
  const auto hash = [&request](const std::string& leaf) {
    return base::hash64(request.id + ' ' + leaf);
  };
  std::vector<rank> ranked;
  ranked.reserve(service.leafs.size() + service.departed.size());
  for (const leaf_ptr& leaf : service.leafs) {
    ranked.emplace_back(is_recent(leaf->joined_at, now),
                        leaf->record.availability_zone != request.zone,
                        hash(leaf->record.id), leaf->key);
  }
  for (const departed_leaf& leaf : service.departed) {
    if (is_recent(leaf.left_at, now)) {
      ranked.emplace_back(false, leaf.availability_zone != request.zone, hash(leaf.id),
                          departed_key);
    }
  }
  const std::size_t chosen =
      std::min(count_allowed(service, request, now), ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(chosen), ranked.end());
  std::vector<std::uint64_t> keys;
  for (std::size_t i = 0; i < chosen; ++i) {
    keys.push_back(std::get<3>(ranked[i]));
  }
  if (keys.empty()) {
    keys.push_back(departed_key);
  }
  return keys;
}

void note_departed(service_state& service, const leaf_record& leaf,
                   base::time_point now) {
  std::erase_if(service.departed, [now](const departed_leaf& other) {
    return !is_recent(other.left_at, now);
  });
  service.departed.push_back({leaf.id, leaf.availability_zone, now});
}

}  // namespace ibis::serving
