/// The queue of a replica group's tasks that wait until one of its leafs may take
/// another request.
#pragma once

#include <array>    // for array
#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <deque>    // for deque

#include "ibis/policy/leaf_pool.hpp"  // for leaf_pools, group_pool

namespace ibis::policy {

/// A task that waits, by its block's id and its index in the block.
struct waiting_task {
  std::uint64_t block = 0;
  std::size_t task = 0;
  base::time_point deadline{};
};

/// One queue for each priority, indexed by `wire::priority`, with the oldest task
/// first.
struct waiting_queue {
  std::array<std::deque<waiting_task>, 3> by_priority;
};

/// @return The number of waiting tasks, over all priorities.
std::size_t queue_length(const waiting_queue& queue);

/// Removes a task from the queue, if it is there.
void remove_task(waiting_queue& queue, std::uint64_t block, std::size_t task);

/// Estimates how long a new task would wait, from the latencies and concurrency limits
/// of the group's leafs. Zero if no leaf has an open connection.
///
/// @param length The number of tasks that wait already.
base::duration expected_wait(const leaf_pools& pools, const group_pool& group,
                             std::size_t length);

}  // namespace ibis::policy
