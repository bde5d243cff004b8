#include "ibis/policy/probe_order.hpp"

#include <algorithm>  // for find, shuffle

#include "ibis/base/hash.hpp"  // for hash64

namespace ibis::policy {

void probe_order::add(const std::string& self, const std::string& node) {
  const std::size_t index = base::hash64(self + ' ' + node) % (nodes_.size() + 1);
  nodes_.insert(nodes_.begin() + static_cast<std::ptrdiff_t>(index), node);
  position_ += index < position_ ? 1 : 0;
}

void probe_order::remove(const std::string& node) {
  const auto found = std::find(nodes_.begin(), nodes_.end(), node);
  if (found == nodes_.end()) {
    return;
  }
  const auto index = static_cast<std::size_t>(found - nodes_.begin());
  position_ -= index < position_ ? 1 : 0;
  nodes_.erase(found);
}

std::optional<std::string> probe_order::next(std::mt19937_64& random) {
  if (position_ >= nodes_.size()) {
    position_ = 0;
    std::shuffle(nodes_.begin(), nodes_.end(), random);
  }
  if (nodes_.empty()) {
    return std::nullopt;
  }
  return nodes_[position_++];
}

}  // namespace ibis::policy
