#include "ibis/policy/version_view.hpp"

#include <algorithm>  // for min, sort
#include <set>        // for set

namespace ibis::policy {
namespace {

std::size_t covered_shard_count(const version_view& view,
                                const config::service& service, std::uint64_t version) {
  std::size_t shards = 0;
  for (const auto& [group, range] : view.groups) {
    if (group < service.groups.size() && range.oldest <= version &&
        version <= range.newest) {
      shards += config::shard_count(service.groups[group]);
    }
  }
  return shards;
}

}  // namespace

void record_versions(version_view& view, std::uint64_t partition_epoch,
                     const std::vector<wire::version_range>& versions) {
  if (view.partition_epoch != partition_epoch) {
    view = {partition_epoch, {}};
  }
  for (const wire::version_range& range : versions) {
    view.groups[range.group] = range;
  }
}

std::uint64_t choose_version(const version_view& view, const config::service& service) {
  if (view.partition_epoch != service.partition_epoch) {
    return 0;
  }
  std::set<std::uint64_t> candidates;
  for (const auto& [group, range] : view.groups) {
    candidates.insert(range.newest);
  }
  std::uint64_t best = 0;
  std::size_t best_shards = 0;
  for (const std::uint64_t version : candidates) {
    const std::size_t shards = covered_shard_count(view, service, version);
    if (shards >= best_shards) {
      best = version;
      best_shards = shards;
    }
  }
  return best;
}

}  // namespace ibis::policy
