#include "ibis/base/rendezvous.hpp"

#include <algorithm>  // for partial_sort, min
#include <cstdint>    // for uint64_t
#include <utility>    // for pair

#include "ibis/base/hash.hpp"  // for hash64

namespace ibis::base {

std::vector<std::string> rendezvous_owners(std::string_view key,
                                           const std::vector<std::string>& candidates,
                                           std::size_t count) {
  const std::uint64_t key_hash = hash64(key);
  std::vector<std::pair<std::uint64_t, const std::string*>> weighted;
  weighted.reserve(candidates.size());
  for (const std::string& name : candidates) {
    weighted.emplace_back(hash64(name, key_hash), &name);
  }
  const std::size_t owner_count = std::min(count, weighted.size());
  const auto heavier = [](const auto& left, const auto& right) {
    return left.first != right.first ? left.first > right.first
                                     : *left.second < *right.second;
  };
  std::partial_sort(weighted.begin(),
                    weighted.begin() + static_cast<std::ptrdiff_t>(owner_count),
                    weighted.end(), heavier);
  std::vector<std::string> owners;
  owners.reserve(owner_count);
  for (std::size_t i = 0; i < owner_count; ++i) {
    owners.push_back(*weighted[i].second);
  }
  return owners;
}

}  // namespace ibis::base
