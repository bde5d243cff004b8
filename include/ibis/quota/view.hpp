/// What a node knows of the nodes that can own accounts, and their ranking for an
/// account.
#pragma once

#include <cstdint>      // for uint64_t
#include <map>          // for map
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "ibis/base/time.hpp"  // for time_point

namespace ibis::quota {

/// Another node.
struct known_node {
  base::time_point first_seen{};
  /// It takes part in the ranking: it is known for long, or has claimed an account.
  bool established = false;
  bool resigned = false;           ///< It stops, and owns no accounts any more.
  base::time_point claimed_at{};   ///< When it last claimed an account.
  base::time_point avoid_until{};  ///< It did not answer.
};

/// The nodes, as far as this one knows them.
struct node_view {
  std::string self;
  bool first_start = false;  ///< All nodes start together.
  bool counted = false;      ///< The other nodes were read at least once.
  bool stopping = false;     ///< This node stops, and owns no accounts any more.
  bool self_on_record = false;
  base::time_point joined_at{};   ///< When this node started, or was missing.
  bool self_established = false;  ///< This node takes part in the ranking.
  std::map<std::string, known_node> others;
  base::time_point changed_at{};  ///< When the ranking last changed.
  std::uint64_t generation = 0;   ///< Differs after each change of the ranking.
};

/// How long a node that joins waits until it owns accounts: by then all others have
/// read its record, which they do every 10 s from a copy that may be seconds old.
inline constexpr base::milliseconds join_delay{15000};
/// The same if all nodes start together: they read the records again after 3 s.
inline constexpr base::milliseconds first_start_delay{4000};
/// Nodes that are read this soon after the start are established at once.
inline constexpr base::milliseconds initial_time{5000};
/// How long another node must be known to be established without a claim of its own,
/// which it sends after `join_delay`.
inline constexpr base::milliseconds establish_after{20000};

/// Replaces the nodes on record.
/// @param self_on_record Whether this node's own record is among them.
void set_nodes(node_view& view, const std::vector<std::string>& others,
               bool self_on_record, base::time_point now);

/// Lets this node take part in the ranking when its time has come.
/// @return Whether the ranking changed.
bool refresh_self(node_view& view, base::time_point now);

/// @return When this node can take part in the ranking.
base::time_point self_due(const node_view& view);

/// Marks a node that acts as the owner of an account.
void mark_established(node_view& view, const std::string& node, bool claimed,
                      base::time_point now);

/// Marks a node that stops.
void mark_resigned(node_view& view, const std::string& node, base::time_point now);

/// Excludes this node from the ranking, since it stops.
void mark_stopping(node_view& view, base::time_point now);

/// @return The candidates for an account, best first.
std::vector<std::string> rank_candidates(const node_view& view,
                                         std::string_view account);

/// @return Whether this node has a local allowance for an account.
bool has_local_allowance(const node_view& view, std::string_view account,
                         std::size_t node_count);

}  // namespace ibis::quota
