#include "ibis/serving/leaf_subset.hpp"

#include <algorithm>  // for find, min, partial_sort
#include <tuple>      // for tuple

#include "ibis/base/hash.hpp"  // for hash64

namespace ibis::serving {

std::uint32_t leaf_tag(const std::string& leaf) {
  return static_cast<std::uint32_t>(base::hash64(leaf));
}

std::vector<leaf_ptr> choose_allowed_leafs(const std::vector<leaf_ptr>& leafs,
                                           const std::string& request,
                                           const std::string& zone, std::size_t count,
                                           base::time_point now) {
  /// Whether the leaf is new, whether it is in another zone, a hash, and its index.
  using rank = std::tuple<bool, bool, std::uint64_t, std::size_t>;
  std::vector<rank> ranked;
  ranked.reserve(leafs.size());
  for (std::size_t i = 0; i < leafs.size(); ++i) {
    const leaf_state& leaf = *leafs[i];
    if (!takes_new_work(leaf)) {
      continue;
    }
    ranked.emplace_back(now - leaf.joined_at < new_leaf_age,
                        leaf.record.availability_zone != zone,
                        base::hash64(request + ' ' + leaf.record.id), i);
  }
  const std::size_t chosen = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(chosen), ranked.end());
  std::vector<leaf_ptr> allowed;
  for (std::size_t i = 0; i < chosen; ++i) {
    allowed.push_back(leafs[std::get<3>(ranked[i])]);
  }
  return allowed;
}

std::vector<std::uint64_t> find_leaf_keys(const std::vector<leaf_ptr>& leafs,
                                          const std::vector<std::uint32_t>& tags) {
  std::vector<std::uint64_t> keys;
  for (const leaf_ptr& leaf : leafs) {
    if (std::find(tags.begin(), tags.end(), leaf_tag(leaf->record.id)) != tags.end()) {
      keys.push_back(leaf->key);
    }
  }
  if (keys.empty()) {
    keys.push_back(no_leaf_key);
  }
  return keys;
}

}  // namespace ibis::serving
