#include "ibis/policy/routing_table.hpp"

#include <algorithm>  // for find, max
#include <utility>    // for move

#include "ibis/base/rendezvous.hpp"  // for rendezvous_owners

namespace ibis::policy {
namespace {

void append_owners(const routing_table& table, const std::string& key,
                   const std::vector<std::string>& relays,
                   std::vector<std::string>& candidates) {
  const std::size_t holder_count = table.configuration->holders_per_zone;
  for (std::string& owner : base::rendezvous_owners(key, relays, holder_count)) {
    candidates.push_back(std::move(owner));
  }
}

std::vector<std::string> find_holder_candidates(const routing_table& table,
                                                const std::string& key) {
  std::vector<std::string> candidates;
  const auto own_zone = table.relays.find(table.zone);
  if (own_zone != table.relays.end()) {
    append_owners(table, key, own_zone->second, candidates);
  }
  std::vector<std::string> other_zones;
  for (const auto& [zone, relays] : table.relays) {
    if (zone != table.zone) {
      other_zones.push_back(zone);
    }
  }
  for (const std::string& zone :
       base::rendezvous_owners(key, other_zones, other_zones.size())) {
    append_owners(table, key, table.relays.at(zone), candidates);
  }
  return candidates;
}

}  // namespace

bool refresh_leaving(routing_table& table, base::milliseconds unix_time) {
  std::set<std::string> leaving;
  for (const auto& [name, leave_time] : table.configuration->leaving) {
    if (unix_time + leaving_lead_time >= leave_time) {
      leaving.insert(name);
    }
  }
  if (leaving == table.leaving_now) {
    return false;
  }
  table.leaving_now = std::move(leaving);
  return true;
}

void set_configuration(routing_table& table,
                       std::shared_ptr<const config::configuration> configuration,
                       std::uint64_t generation) {
  table.configuration = std::move(configuration);
  table.generation = generation;
  table.candidates_cache.clear();
}

void set_relays(routing_table& table,
                std::map<std::string, std::vector<std::string>> relays,
                std::unordered_map<std::string, std::string> addresses) {
  table.relays = std::move(relays);
  table.addresses = std::move(addresses);
  table.candidates_cache.clear();
}

const std::vector<std::string>& holder_candidates(routing_table& table,
                                                  const std::string& key) {
  const auto cached = table.candidates_cache.find(key);
  if (cached != table.candidates_cache.end()) {
    return cached->second;
  }
  return table.candidates_cache.emplace(key, find_holder_candidates(table, key))
      .first->second;
}

bool holds_block(const routing_table& table, const std::string& key) {
  const auto own_zone = table.relays.find(table.zone);
  if (own_zone == table.relays.end()) {
    return false;
  }
  const auto owners = base::rendezvous_owners(key, own_zone->second,
                                              table.configuration->holders_per_zone);
  return std::find(owners.begin(), owners.end(), table.node) != owners.end();
}

std::size_t total_holder_count(const routing_table& table) {
  const std::size_t zones =
      std::max(table.configuration->zones.size(), table.relays.size());
  return std::max<std::size_t>(1, zones * table.configuration->holders_per_zone);
}

std::shared_ptr<const config::service> find_service(const routing_table& table,
                                                    const std::string& name) {
  const auto found = table.configuration->services.find(name);
  return found == table.configuration->services.end() ? nullptr : found->second;
}

std::string address_of(const routing_table& table, const std::string& node) {
  const auto found = table.addresses.find(node);
  return found == table.addresses.end() ? std::string() : found->second;
}

}  // namespace ibis::policy
