#include "ibis/policy/hit_order.hpp"

#include <algorithm>  // for min, partial_sort

namespace ibis::policy {

void keep_top_hits(std::vector<wire::hit>& hits, std::size_t limit) {
  const auto better = [](const wire::hit& left, const wire::hit& right) {
    return left.score != right.score ? left.score > right.score : left.id < right.id;
  };
  const std::size_t kept = std::min(limit, hits.size());
  std::partial_sort(hits.begin(), hits.begin() + static_cast<std::ptrdiff_t>(kept),
                    hits.end(), better);
  hits.resize(kept);
}

}  // namespace ibis::policy
