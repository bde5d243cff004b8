/// What a node knows of the others for routing: the active configuration and the live
/// relays of each availability zone. Which relays hold a block follows from these
/// alone, so nodes with the same view choose the same holders.
#pragma once

#include <cstdint>        // for uint64_t
#include <map>            // for map
#include <memory>         // for shared_ptr
#include <set>            // for set
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "ibis/config/declaration.hpp"  // for configuration

namespace ibis::policy {

/// A node's view of the fleet, as used for routing.
///
/// A holder is a relay that serves a block (a fixed set of replica groups of a
/// service). Holders are chosen by rendezvous hashing.
struct routing_table {
  std::string node;  ///< This node's name.
  std::string zone;  ///< This node's availability zone.
  std::shared_ptr<const config::configuration> configuration =
      std::make_shared<config::configuration>();
  std::uint64_t generation = 0;  ///< Of the configuration; 0 if there is none.
  std::map<std::string, std::vector<std::string>> relays;  ///< Not leaving, by zone.
  std::unordered_map<std::string, std::string> addresses;  ///< "ip:port" by node name.
  /// Results of `holder_candidates` by block key.
  std::unordered_map<std::string, std::vector<std::string>> candidates_cache;
  std::set<std::string> leaving_now;  ///< Upstreams and VMs that get no new work.
};

/// How long before its configured leave time an upstream or VM stops getting new work.
inline constexpr base::milliseconds leaving_lead_time = std::chrono::minutes(10);

/// Updates `leaving_now` from the leave times in the configuration.
///
/// @param unix_time The current Unix time.
/// @return Whether the set changed.
bool refresh_leaving(routing_table& table, base::milliseconds unix_time);

/// Replaces the active configuration.
void set_configuration(routing_table& table,
                       std::shared_ptr<const config::configuration> configuration,
                       std::uint64_t generation);

/// Replaces the live relays, by zone, and the addresses of nodes, by name.
void set_relays(routing_table& table,
                std::map<std::string, std::vector<std::string>> relays,
                std::unordered_map<std::string, std::string> addresses);

/// Returns the relays that hold a block, those of this node's zone first.
///
/// @param key The block's key, from `config::block_key`.
/// @return Node names; empty if there is no live relay.
const std::vector<std::string>& holder_candidates(routing_table& table,
                                                  const std::string& key);

/// Returns whether this node is a holder of the block in its own zone.
///
/// @param key The block's key, from `config::block_key`.
bool holds_block(const routing_table& table, const std::string& key);

/// Returns how many relays hold each block, summed over all zones; at least 1.
std::size_t total_holder_count(const routing_table& table);

/// Returns a service's declaration, or null if the active configuration has none.
std::shared_ptr<const config::service> find_service(const routing_table& table,
                                                    const std::string& name);

/// Returns the address of a node ("ip:port"), or an empty string if it is unknown.
std::string address_of(const routing_table& table, const std::string& node);

}  // namespace ibis::policy
