#include "ibis/serving/catalog.hpp"

#include <algorithm>  // for stable_sort, transform
#include <cmath>      // for ceil

namespace ibis::serving {
namespace {

std::string normalize_host(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](char character) {
    const bool uppercase = character >= 'A' && character <= 'Z';
    return uppercase ? static_cast<char>(character - 'A' + 'a') : character;
  });
  return name;
}

}  // namespace

void index_routes(catalog& config) {
  config.by_host.clear();
  config.routed.clear();
  for (std::size_t i = 0; i < config.routes.size(); ++i) {
    const route& added = config.routes[i];
    config.by_host[normalize_host(added.host)].push_back(i);
    config.routed.insert(added.shards.begin(), added.shards.end());
    for (const weighted_service& target : added.targets) {
      config.routed.insert(target.service);
    }
  }
  for (auto& [host, indices] : config.by_host) {
    std::stable_sort(
        indices.begin(), indices.end(), [&config](std::size_t left, std::size_t right) {
          return config.routes[left].prefix.size() > config.routes[right].prefix.size();
        });
  }
}

const route* find_route(const catalog& config, std::string_view host,
                        std::string_view target) {
  const auto found = config.by_host.find(normalize_host(host));
  if (found == config.by_host.end()) {
    return nullptr;
  }
  const std::string_view path = target.substr(0, target.find('?'));
  for (const std::size_t index : found->second) {
    const route& candidate = config.routes[index];
    if (path.substr(0, candidate.prefix.size()) == candidate.prefix) {
      return &candidate;
    }
  }
  return nullptr;
}

const std::string& choose_target(const route& split, double position) {
  double total = 0;
  for (const weighted_service& target : split.targets) {
    total += target.weight;
  }
  double remaining = position * total;
  for (const weighted_service& target : split.targets) {
    remaining -= target.weight;
    if (remaining < 0) {
      return target.service;
    }
  }
  return split.targets.back().service;
}

std::size_t required_shards(const route& fan_out) {
  // Prevents floating-point error from rounding a share such as 0.9 of 20 up to 19.
  constexpr double rounding_error = 1e-9;
  const double exact =
      fan_out.min_shard_share * static_cast<double>(fan_out.shards.size());
  const auto needed = static_cast<std::size_t>(std::ceil(exact - rounding_error));
  return needed == 0 ? 1 : needed;
}

}  // namespace ibis::serving
