#include "ibis/quota/view.hpp"

#include <algorithm>  // for find, max
#include <set>        // for set

#include "ibis/base/rendezvous.hpp"  // for rendezvous_owners

namespace ibis::quota {
namespace {

/// Number of nodes that are asked for an account, one after the other.
constexpr std::size_t max_candidates = 3;
/// How long a node that has claimed an account is known without a record: others read
/// a new record after at most this time.
constexpr base::milliseconds claim_memory{20000};

void note_change(node_view& view, base::time_point now) {
  view.changed_at = now;
  ++view.generation;
}

bool takes_part(const known_node& node) {
  return node.established && !node.resigned;
}

/// Adds or updates a node on record.
/// @return Whether the ranking changed.
bool update_node(node_view& view, const std::string& name, base::time_point now) {
  const auto [found, is_new] = view.others.try_emplace(name);
  known_node& node = found->second;
  if (is_new) {
    node.first_seen = now;
  }
  if (node.established) {
    return false;
  }
  const bool initial = now - view.joined_at < initial_time;
  node.established = initial || now - node.first_seen >= establish_after;
  return takes_part(node);
}

/// Removes the nodes that have no record.
/// @return Whether the ranking changed.
bool remove_missing(node_view& view, const std::vector<std::string>& names,
                    base::time_point now) {
  const std::set<std::string> on_record(names.begin(), names.end());
  bool changed = false;
  std::erase_if(view.others, [&](const auto& entry) {
    const known_node& node = entry.second;
    const bool claimed_recently =
        node.claimed_at != base::time_point{} && now - node.claimed_at < claim_memory;
    const bool remove = !on_record.contains(entry.first) && !claimed_recently;
    changed = changed || (remove && takes_part(node));
    return remove;
  });
  return changed;
}

/// Handles that this node's record disappeared: others may own its accounts now.
/// @return Whether the ranking changed.
bool rejoin(node_view& view, base::time_point now) {
  const bool changed = view.self_established;
  view.self_established = false;
  view.first_start = false;
  view.joined_at = now;
  return changed;
}

}  // namespace

void set_nodes(node_view& view, const std::vector<std::string>& others,
               bool self_on_record, base::time_point now) {
  bool changed = !view.counted;
  view.counted = true;
  if (view.self_on_record && !self_on_record) {
    changed = rejoin(view, now) || changed;
  }
  view.self_on_record = self_on_record;
  for (const std::string& name : others) {
    if (name != view.self) {
      changed = update_node(view, name, now) || changed;
    }
  }
  changed = remove_missing(view, others, now) || changed;
  if (changed) {
    note_change(view, now);
  }
  refresh_self(view, now);
}

base::time_point self_due(const node_view& view) {
  return view.joined_at + (view.first_start ? first_start_delay : join_delay);
}

bool refresh_self(node_view& view, base::time_point now) {
  // A node without a record is not known to the others.
  if (view.self_established || view.stopping || !view.self_on_record ||
      now < self_due(view)) {
    return false;
  }
  view.self_established = true;
  note_change(view, now);
  return true;
}

void mark_established(node_view& view, const std::string& node, bool claimed,
                      base::time_point now) {
  known_node& entry = view.others[node];
  const bool changed = !takes_part(entry);
  if (entry.first_seen == base::time_point{}) {
    entry.first_seen = now;
  }
  entry.established = true;
  entry.resigned = false;
  if (claimed) {
    entry.claimed_at = now;
  }
  if (changed) {
    note_change(view, now);
  }
}

void mark_resigned(node_view& view, const std::string& node, base::time_point now) {
  const auto found = view.others.find(node);
  if (found == view.others.end() || found->second.resigned) {
    return;
  }
  found->second.resigned = true;
  note_change(view, now);
}

void mark_stopping(node_view& view, base::time_point now) {
  view.stopping = true;
  view.self_established = false;
  note_change(view, now);
}

std::vector<std::string> rank_candidates(const node_view& view,
                                         std::string_view account) {
  std::vector<std::string> names;
  for (const auto& [name, node] : view.others) {
    if (takes_part(node)) {
      names.push_back(name);
    }
  }
  if (view.self_established) {
    names.push_back(view.self);
  }
  return base::rendezvous_owners(account, names, max_candidates);
}

bool has_local_allowance(const node_view& view, std::string_view account,
                         std::size_t node_count) {
  if (!view.counted || node_count == 0) {
    return false;
  }
  std::vector<std::string> names{view.self};
  for (const auto& [name, node] : view.others) {
    names.push_back(name);
  }
  // Another key than the owner's, which has tokens anyway.
  const std::string key = std::string(account) + "/local";
  const std::vector<std::string> chosen =
      base::rendezvous_owners(key, names, node_count);
  return std::find(chosen.begin(), chosen.end(), view.self) != chosen.end();
}

}  // namespace ibis::quota
