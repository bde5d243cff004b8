/// The order in which a node probes the other members: in each round all of them once,
/// so that a failed one is noticed within a bounded time.
#pragma once

#include <cstddef>   // for size_t
#include <optional>  // for optional
#include <random>    // for mt19937_64
#include <string>    // for string
#include <vector>    // for vector

namespace ibis::policy {

/// Rounds over the members, shuffled before each round.
class probe_order {
 public:
  /// Adds a member at a position that differs from node to node. All nodes see others
  /// join in much the same order; without this they would all probe a new member at the
  /// same time.
  /// @param self Name of this node.
  void add(const std::string& self, const std::string& node);
  /// Removes a member, if it is there. No other one is skipped in the current round.
  void remove(const std::string& node);
  /// @return The next member, or nothing if there are none.
  std::optional<std::string> next(std::mt19937_64& random);
  /// @return The number of members.
  [[nodiscard]] std::size_t size() const { return nodes_.size(); }

 private:
  std::vector<std::string> nodes_;
  std::size_t position_ = 0;  ///< Index of the next member.
};

}  // namespace ibis::policy
