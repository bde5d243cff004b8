#include "ibis/policy/waiting_queue.hpp"

#include <algorithm>  // for max, remove_if

namespace ibis::policy {

std::size_t queue_length(const waiting_queue& queue) {
  std::size_t length = 0;
  for (const auto& tasks : queue.by_priority) {
    length += tasks.size();
  }
  return length;
}

void remove_task(waiting_queue& queue, std::uint64_t block, std::size_t task) {
  const auto is_task = [&](const waiting_task& waiting) {
    return waiting.block == block && waiting.task == task;
  };
  for (auto& tasks : queue.by_priority) {
    tasks.erase(std::remove_if(tasks.begin(), tasks.end(), is_task), tasks.end());
  }
}

base::duration expected_wait(const leaf_pools& pools, const group_pool& group,
                             std::size_t length) {
  double capacity = 0;
  double latency_us = 0;
  for (const std::string& name : group.leafs) {
    const auto leaf = pools.leafs.find(name);
    if (leaf == pools.leafs.end() || leaf->second.open == 0) {
      continue;
    }
    capacity += leaf->second.concurrency_limit;
    latency_us = std::max(latency_us, leaf->second.latency_us);
  }
  if (capacity == 0) {
    return base::duration::zero();
  }
  const std::chrono::duration<double, std::micro> wait(
      latency_us * static_cast<double>(length + 1) / capacity);
  return std::chrono::duration_cast<base::duration>(wait);
}

}  // namespace ibis::policy
