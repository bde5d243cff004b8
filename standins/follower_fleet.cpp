#include "follower_fleet.hpp"

#include <algorithm>  // for count_if
#include <tuple>      // for tie
#include <utility>    // for move

#include "serving_fleet.hpp"  // for make_catalog

namespace ibis::standins {
namespace {

constexpr base::microseconds peer_delay{300};
constexpr base::milliseconds refusal_delay{1};
/// After this time a node gives up connecting to a VM that does not answer.
constexpr base::milliseconds connect_timeout{400};

void count_evacuation_call(follower_fleet::fleet_node& node,
                           serving::store_topic topic) {
  node.evacuation_calls += topic == serving::store_topic::evacuations ? 1 : 0;
}

}  // namespace

void follower_fleet::add_node(const std::string& name, const std::string& zone) {
  serving::node_settings settings;
  settings.node = name;
  settings.availability_zone = zone;
  add_node(settings);
}

void follower_fleet::add_node(const serving::node_settings& settings) {
  fleet_node& added = nodes[settings.node];
  added.state =
      serving::make_node(settings, static_cast<std::uint32_t>(nodes.size()) + 1);
  added.availability_zone = settings.availability_zone;
  carry_out(settings.node, serving::start(added.state, now_));
}

void follower_fleet::lose_power(const std::string& name) {
  fleet_node& lost = nodes.at(name);
  lost.alive = false;
  lost.lost_power = true;
}

void follower_fleet::announce_nodes() {
  for (auto& [name, node] : nodes) {
    if (!node.alive) {
      continue;
    }
    serving::nodes_counted counted;
    counted.count = nodes.size();
    counted.self = true;
    for (const auto& [other, state] : nodes) {
      if (other != name) {
        counted.peers.push_back({other, other + ":1", state.availability_zone});
      }
    }
    deliver_event(name, counted);
  }
}

void follower_fleet::configure(std::uint64_t version) {
  serving::catalog catalog = make_catalog(version, {"s0"}, "one");
  serving::index_routes(catalog);
  configuration_ = std::make_shared<const serving::catalog>(std::move(catalog));
  serving::topic_changed change;
  change.topic = serving::store_topic::configuration;
  change.configuration = configuration_;
  publish_change(std::move(change));
}

void follower_fleet::add_leaf(const std::string& id) {
  serving::leaf_record record;
  record.id = id;
  record.service = "one";
  record.address = "10.0.0.1:1";
  record.availability_zone = "zone";
  record.slots = 2;
  record.started_at = base::milliseconds(1);
  leafs_[id] = record;
  serving::topic_changed change;
  change.topic = serving::store_topic::leafs;
  change.leafs.push_back({id, record});
  publish_change(std::move(change));
}

void follower_fleet::remove_leaf(const std::string& id) {
  leafs_.erase(id);
  serving::topic_changed change;
  change.topic = serving::store_topic::leafs;
  change.leafs.push_back({id, std::nullopt});
  publish_change(std::move(change));
}

void follower_fleet::evacuate(const std::string& zone) {
  evacuated_zones_.insert(zone);
  serving::topic_changed change;
  change.topic = serving::store_topic::evacuations;
  change.zones.push_back({zone, true});
  publish_change(std::move(change));
}

void follower_fleet::end_evacuation(const std::string& zone) {
  evacuated_zones_.erase(zone);
  serving::topic_changed change;
  change.topic = serving::store_topic::evacuations;
  change.zones.push_back({zone, false});
  publish_change(std::move(change));
}

void follower_fleet::publish_change(serving::topic_changed change) {
  change.revision = {era_, ++revision_};
  changes_.push_back(std::move(change));
  complete_watches();
}

void follower_fleet::drop_history() {
  oldest_revision_ = ++revision_;
  cut_watches();
}

void follower_fleet::take_backup() {
  backup_ = {revision_, changes_, configuration_, leafs_, evacuated_zones_};
}

void follower_fleet::restore_backup() {
  restore_backup_silently();
  cut_watches();
}

void follower_fleet::restore_backup_silently() {
  silence_watches();
  ++era_;
  std::tie(revision_, changes_, configuration_, leafs_, evacuated_zones_) = backup_;
}

void follower_fleet::cut_watches() {
  const auto closed_watches = std::move(watches_);
  watches_.clear();
  for (const pending_watch& watch : closed_watches) {
    after(store_delay, [this, watch] {
      deliver_event(watch.node, serving::store_call_failed{
                                    watch.topic, serving::store_failure::unreachable,
                                    "connection closed"});
    });
  }
}

void follower_fleet::silence_watches() {
  for (pending_watch& watch : watches_) {
    watch.silenced = true;
  }
}

void follower_fleet::drop_history_silently() {
  silence_watches();
  oldest_revision_ = ++revision_;
}

void follower_fleet::run_for(base::duration time) {
  const base::time_point end = now_ + time;
  // Answers the watches of nodes that could not reach the store before.
  complete_watches();
  while (true) {
    std::optional<base::time_point> next;
    std::string due;
    for (const auto& [name, node] : nodes) {
      const auto tick = serving::next_tick(node.state);
      if (node.alive && !node.paused && tick && (!next || *tick < *next)) {
        next = tick;
        due = name;
      }
    }
    const auto action_at = queue_.next_at();
    if (action_at && (!next || *action_at <= *next)) {
      next = action_at;
      due.clear();
    }
    if (!next || *next > end) {
      break;
    }
    now_ = std::max(now_, *next);
    if (!due.empty()) {
      deliver_event(due, serving::tick{});
      continue;
    }
    queue_.run_next();
  }
  now_ = end;
}

std::size_t follower_fleet::count_nodes_at_version(std::uint64_t version) const {
  return static_cast<std::size_t>(
      std::count_if(nodes.begin(), nodes.end(), [version](const auto& entry) {
        const serving::catalog_ptr& known = entry.second.state.configuration;
        return entry.second.alive && known && known->version == version;
      }));
}

std::size_t follower_fleet::count_nodes_knowing_leaf(const std::string& leaf) const {
  return static_cast<std::size_t>(
      std::count_if(nodes.begin(), nodes.end(), [&leaf](const auto& entry) {
        return entry.second.alive && entry.second.state.leafs.contains(leaf);
      }));
}

std::size_t follower_fleet::count_nodes_evacuating(const std::string& zone) const {
  return static_cast<std::size_t>(
      std::count_if(nodes.begin(), nodes.end(), [&zone](const auto& entry) {
        return entry.second.alive && entry.second.state.evacuated_zones.contains(zone);
      }));
}

std::uint64_t follower_fleet::count_watches() const {
  std::uint64_t total = 0;
  for (const auto& [name, node] : nodes) {
    total += node.watch_count;
  }
  return total;
}

void follower_fleet::after(base::duration delay, std::function<void()> action) {
  queue_.add(now_ + delay, std::move(action));
}

void follower_fleet::deliver_event(const std::string& node,
                                   const serving::event& event) {
  fleet_node& target = nodes.at(node);
  if (!target.alive) {
    return;
  }
  if (target.paused) {
    after(refusal_delay, [this, node, event] { deliver_event(node, event); });
    return;
  }
  carry_out(node, serving::reduce(target.state, event, now_));
}

void follower_fleet::carry_out(const std::string& node,
                               const serving::effects& effects) {
  for (const serving::effect& effect : effects) {
    if (const auto* list = std::get_if<serving::list_topic>(&effect)) {
      on_store_call(node, *list);
    } else if (const auto* watch = std::get_if<serving::watch_topic>(&effect)) {
      on_store_call(node, *watch);
    } else if (const auto* cancel = std::get_if<serving::cancel_store_call>(&effect)) {
      ++call_serials_[node][cancel->topic];
    } else if (const auto* query = std::get_if<serving::query_peer>(&effect)) {
      on_query_peer(node, *query);
    } else if (const auto* reply = std::get_if<serving::reply_to_peer>(&effect)) {
      on_reply_to_peer(node, *reply);
    } else if (const auto* probe = std::get_if<serving::probe_store>(&effect)) {
      const fleet_node& self = nodes.at(node);
      const bool answered = !self.partitioned_from_store;
      const bool served = answered && !self.rejected_by_store;
      after(answered ? base::duration(2 * store_delay) : base::duration(probe->limit),
            [this, node, answered, served, sent_at = probe->sent_at] {
              serving::store_probed probed{answered, sent_at, {}};
              if (served) {
                probed.revision = serving::store_revision{era_, revision_};
              }
              deliver_event(node, probed);
            });
    }
  }
}

void follower_fleet::on_store_call(const std::string& node,
                                   const serving::list_topic& effect) {
  fleet_node& self = nodes.at(node);
  ++self.list_count;
  count_evacuation_call(self, effect.topic);
  const std::uint64_t serial = ++call_serials_[node][effect.topic];
  if (self.partitioned_from_store) {
    return;
  }
  after(2 * store_delay, [this, node, effect, serial] {
    if (call_serials_[node][effect.topic] != serial) {
      return;
    }
    if (nodes.at(node).rejected_by_store) {
      deliver_event(node, serving::store_call_failed{
                              effect.topic, serving::store_failure::busy, "busy"});
      return;
    }
    serving::topic_listed listed;
    listed.topic = effect.topic;
    listed.revision = {era_, revision_};
    if (effect.topic == serving::store_topic::configuration) {
      listed.configuration = configuration_;
    } else if (effect.topic == serving::store_topic::evacuations) {
      for (const std::string& zone : evacuated_zones_) {
        listed.zones.push_back({zone, true});
      }
    } else {
      for (const auto& [id, record] : leafs_) {
        listed.leafs.push_back({id, record});
      }
    }
    deliver_event(node, listed);
  });
}

void follower_fleet::on_store_call(const std::string& node,
                                   const serving::watch_topic& effect) {
  fleet_node& self = nodes.at(node);
  ++self.watch_count;
  count_evacuation_call(self, effect.topic);
  const std::uint64_t serial = ++call_serials_[node][effect.topic];
  if (self.partitioned_from_store) {
    return;
  }
  after(store_delay, [this, node, effect, serial] {
    if (nodes.at(node).rejected_by_store) {
      deliver_event(node, serving::store_call_failed{
                              effect.topic, serving::store_failure::busy, "busy"});
      return;
    }
    watches_.push_back(
        {node, effect.topic, serial, effect.revision.number, now_ + effect.wait});
    after(effect.wait, [this] { complete_watches(); });
    complete_watches();
  });
}

bool follower_fleet::try_complete(const pending_watch& watch) {
  if (call_serials_[watch.node][watch.topic] != watch.serial) {
    return true;
  }
  const bool wait_over = now_ >= watch.until;
  const fleet_node& watcher = nodes.at(watch.node);
  const bool cut_off = watcher.partitioned_from_store || watcher.rejected_by_store;
  if (cut_off || (watch.silenced && !wait_over)) {
    return false;
  }
  if (watch.revision < oldest_revision_ || watch.revision > revision_) {
    after(store_delay, [this, watch] {
      deliver_event(watch.node,
                    serving::store_call_failed{
                        watch.topic, serving::store_failure::history_dropped, ""});
    });
    return true;
  }
  const serving::topic_changed changes = changes_since(watch.topic, watch.revision);
  if (!has_changes(changes) && !wait_over) {
    return false;
  }
  after(store_delay, [this, watch, changes] { deliver_event(watch.node, changes); });
  return true;
}

void follower_fleet::complete_watches() {
  std::erase_if(watches_,
                [this](const pending_watch& watch) { return try_complete(watch); });
}

serving::topic_changed follower_fleet::changes_since(serving::store_topic topic,
                                                     std::uint64_t revision) {
  serving::topic_changed changes;
  changes.topic = topic;
  changes.revision = {era_, revision_};
  for (const serving::topic_changed& change : changes_) {
    if (change.topic != topic || change.revision.number <= revision) {
      continue;
    }
    changes.leafs.insert(changes.leafs.end(), change.leafs.begin(), change.leafs.end());
    changes.zones.insert(changes.zones.end(), change.zones.begin(), change.zones.end());
    changes.configuration = change.configuration;
  }
  const std::string text = std::to_string(static_cast<int>(topic)) + ' ' +
                           std::to_string(revision) + ' ' + std::to_string(revision_) +
                           ' ' + std::to_string(era_);
  changes_by_text_[text] = changes;
  changes.text = std::make_shared<const std::string>(text);
  return changes;
}

bool follower_fleet::can_reach(const std::string& from, const std::string& to) const {
  const auto found = nodes.find(to);
  return found != nodes.end() && found->second.alive &&
         !(is_partitioned && is_partitioned(from, to));
}

void follower_fleet::on_query_peer(const std::string& node,
                                   const serving::query_peer& effect) {
  count_evacuation_call(nodes.at(node), effect.topic);
  const auto target = nodes.find(effect.to.node);
  if (target == nodes.end() || !target->second.alive) {
    const bool hangs = target != nodes.end() && target->second.lost_power;
    after(hangs ? connect_timeout : refusal_delay, [this, node, effect] {
      serving::peer_replied failure{
          effect.to.node, effect.serial, serving::peer_reply_status::unreachable, {}};
      failure.update.topic = effect.topic;
      deliver_event(node, failure);
    });
    return;
  }
  if (!can_reach(node, effect.to.node)) {
    return;
  }
  after(peer_delay, [this, node, effect] {
    deliver_event(effect.to.node,
                  serving::peer_query_received{node, effect.topic, effect.serial,
                                               stated_revision(node, effect.revision)});
  });
}

serving::store_revision follower_fleet::stated_revision(
    const std::string& node, const serving::store_revision& revision) const {
  return {nodes.at(node).states_no_era ? 0 : revision.era, revision.number};
}

void follower_fleet::on_reply_to_peer(const std::string& node,
                                      const serving::reply_to_peer& effect) {
  if (!can_reach(node, effect.node)) {
    return;
  }
  serving::peer_replied reply{node, effect.serial, effect.kind, {}, effect.age};
  reply.update.topic = effect.topic;
  reply.update.revision = stated_revision(node, effect.revision);
  for (const auto& text : effect.texts) {
    const serving::topic_changed& change = changes_by_text_.at(*text);
    reply.update.leafs.insert(reply.update.leafs.end(), change.leafs.begin(),
                              change.leafs.end());
    reply.update.zones.insert(reply.update.zones.end(), change.zones.begin(),
                              change.zones.end());
    reply.update.configuration = change.configuration;
  }
  after(peer_delay, [this, to = effect.node, reply] { deliver_event(to, reply); });
}

}  // namespace ibis::standins
