/// Chooses the leaf of a service that gets a request.
#pragma once

#include <cstdint>  // for uint8_t, uint32_t, uint64_t

#include "ibis/serving/state.hpp"  // for context

namespace ibis::serving {

/// Result of choosing a leaf.
enum class selection_result : std::uint8_t {
  found,
  all_busy,  ///< Waiting for a busy leaf is better than using any that is free.
  none,      ///< No leaf may take the request.
};

/// The chosen leaf, if any.
struct leaf_choice {
  selection_result result = selection_result::none;
  leaf_ptr leaf;  ///< Set only for `selection_result::found`.
};

/// What a request requires of a leaf.
struct leaf_requirements {
  std::uint64_t key = 0;        ///< The request's `request_key`.
  std::uint32_t max_leafs = 1;  ///< How many different leafs may get the request.
  /// Set for a hedge. It goes only to a leaf with spare capacity that is neither
  /// suspect nor unreachable.
  bool is_hedge = false;
  base::duration typical_latency{0};  ///< Latency that is typical of the route.
  /// How long an answer is still useful. A leaf that is expected to take most of this
  /// time or longer is avoided while there is another, even a busy one. See
  /// `leaf_settings::slow_share`.
  base::duration useful_for{0};
  /// What a leaf needs for the request; 0 if unknown or if leafs are not chosen by
  /// cost.
  base::duration expected{0};
};

/// Chooses the leaf with the lowest expected cost among those that can take a request
/// now.
///
/// @param task Leafs that already got this task are considered last, and not at all
/// while an attempt of it is in flight.
leaf_choice choose_leaf(const task_state& task, const leaf_requirements& requirements,
                        context& ctx);

}  // namespace ibis::serving
