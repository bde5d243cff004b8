#include "ibis/serving/leaf_subset.hpp"

#include <algorithm>  // for min, partial_sort
#include <cstddef>    // for size_t
#include <tuple>      // for tuple

#include "ibis/base/hash.hpp"  // for hash64

namespace ibis::serving {

std::vector<std::uint64_t> choose_leaf_subset(const std::vector<leaf_ptr>& leafs,
                                              const std::string& request,
                                              const std::string& zone,
                                              std::size_t count, base::time_point now) {
  using rank = std::tuple<bool, bool, std::uint64_t, std::uint64_t>;
  std::vector<rank> ranked;
  ranked.reserve(leafs.size());
  for (const leaf_ptr& leaf : leafs) {
    const bool is_new = now - leaf->joined_at < new_leaf_age;
    const bool other_zone = leaf->record.availability_zone != zone;
    ranked.emplace_back(is_new, other_zone,
                        base::hash64(request + ' ' + leaf->record.id), leaf->key);
  }
  const std::size_t chosen = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(chosen), ranked.end());
  std::vector<std::uint64_t> keys;
  for (std::size_t i = 0; i < chosen; ++i) {
    keys.push_back(std::get<3>(ranked[i]));
  }
  return keys;
}

}  // namespace ibis::serving
