/// Assigns the connections to the leafs of fan-out routes to few nodes, the holders.
///
/// All nodes share the connection limit of each leaf. With many nodes a node's share is
/// too small to hedge or to have two requests at a leaf. The shards of a route are
/// therefore grouped into blocks, and in each availability zone that has leafs of a
/// block, a few nodes hold the connections to them. The other nodes ask a holder to
/// query its block (see `shard_requests.hpp`). All nodes rank the holders by the same
/// hash, so that they agree without exchanging messages.
#pragma once

#include <cstddef>        // for size_t
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "ibis/base/time.hpp"      // for time_point
#include "ibis/serving/event.hpp"  // for peer

namespace ibis::serving {

struct node_state;
struct context;

/// Shards whose leafs have the same holders.
struct shard_block {
  std::vector<std::string> shards;  ///< Names of their services.
  /// The holders that this node asks, best first. It may be one of them itself.
  std::vector<peer> holders;
  std::size_t holder_count = 0;  ///< In all availability zones together.
  bool held_here = false;        ///< This node is a holder of the block.
};

/// The blocks of the configuration in force, and their holders.
struct holder_table {
  std::vector<shard_block> blocks;
  std::unordered_map<std::string, std::size_t> block_of;  ///< By name of the service.
};

/// Whether a node could not be asked recently.
struct holder_health {
  base::time_point avoid_until{};
  std::size_t failures = 0;  ///< Consecutive failures.
};

/// Makes the table from the configuration, the leafs and the nodes that are known. A
/// shard to which each node may hold enough connections of its own is in no block.
holder_table make_holder_table(const node_state& node);

/// Updates the table of this node.
void update_holders(context& ctx);

/// @return The block of a service, or nullptr if each node connects to its leafs.
const shard_block* find_block(const node_state& node, const std::string& service);

/// Whether this node holds connections to the leafs of a service for other nodes: it is
/// a holder of its block, or it was recently asked by a node that takes it for one.
bool holds_for_others(const node_state& node, const std::string& service,
                      base::time_point now);

/// @return The best holder of a block that is not avoided and not among those already
/// asked, or nullptr. It may be this node.
/// @param asked Names of the nodes to leave out.
const peer* choose_holder(const node_state& node, const shard_block& block,
                          const std::vector<std::string>& asked, base::time_point now);

/// Avoids a holder for a while, longer after each consecutive failure.
/// @param at_least The shortest time.
void avoid_holder(const std::string& name, base::milliseconds at_least, context& ctx);

/// Ends the avoidance of a holder that has replied.
void mark_holder_healthy(const std::string& name, context& ctx);

/// Opens connections to the holders that this node may ask, ahead of need.
void connect_holders(context& ctx);

}  // namespace ibis::serving
