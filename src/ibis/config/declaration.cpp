#include "ibis/config/declaration.hpp"

namespace ibis::config {

std::size_t block_count(const service& value) {
  return (value.groups.size() + groups_per_block - 1) / groups_per_block;
}

std::size_t shard_count(const replica_group& value) {
  return value.last_shard - value.first_shard + 1;
}

std::size_t shard_count(const service& value) {
  std::size_t total = 0;
  for (const replica_group& group : value.groups) {
    total += shard_count(group);
  }
  return total;
}

std::string block_key(const std::string& service_name, std::size_t block) {
  return service_name + '/' + std::to_string(block);
}

std::optional<std::size_t> group_of_shard(const service& value, shard_index shard) {
  for (std::size_t i = 0; i < value.groups.size(); ++i) {
    const replica_group& group = value.groups[i];
    if (shard >= group.first_shard && shard <= group.last_shard) {
      return i;
    }
  }
  return std::nullopt;
}

}  // namespace ibis::config
