/// The index versions that the replica groups of a service hold, as known to an entry,
/// and the choice of the version that a query uses for all shards.
#pragma once

#include <cstdint>        // for uint64_t
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "ibis/config/declaration.hpp"  // for service
#include "ibis/wire/messages.hpp"       // for version_range

namespace ibis::policy {

/// The known version ranges of a service's groups, all of one partition epoch.
struct version_view {
  std::uint64_t partition_epoch = 0;
  std::unordered_map<std::uint32_t, wire::version_range> groups;
};

/// Records the versions that a holder reports. Records of another epoch are discarded.
void record_versions(version_view& view, std::uint64_t partition_epoch,
                     const std::vector<wire::version_range>& versions);

/// Chooses the version that most shards hold; the newest one if several are equal.
/// @return The version; 0 if none is known for the service's partition epoch.
std::uint64_t choose_version(const version_view& view, const config::service& service);

}  // namespace ibis::policy
