/// Tasks of a replica group that wait for a free place on one of its leafs.
#pragma once

#include <array>    // for array
#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <deque>    // for deque

#include "ibis/policy/leaf_pool.hpp"  // for leaf_pools, group_pool

namespace ibis::policy {

struct waiting_task {
  std::uint64_t block = 0;
  std::size_t task = 0;
  base::time_point deadline{};
};

/// By priority, the oldest first.
struct waiting_queue {
  std::array<std::deque<waiting_task>, 3> by_priority;
};

/// @return How many tasks wait, over all priorities.
std::size_t queue_length(const waiting_queue& queue);

/// Takes a task out.
void remove_task(waiting_queue& queue, std::uint64_t block, std::size_t task);

/// The time that a new task would wait, from the leafs' latencies and limits.
/// @param length How many tasks wait already.
base::duration expected_wait(const leaf_pools& pools, const group_pool& group,
                             std::size_t length);

}  // namespace ibis::policy
