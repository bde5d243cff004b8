#include "follower_fleet.hpp"

#include <algorithm>  // for count_if
#include <utility>    // for move

#include "serving_fleet.hpp"  // for make_catalog

namespace ibis::standins {
namespace {

constexpr base::microseconds to_store{500};
constexpr base::microseconds to_peer{300};
constexpr base::milliseconds refused_after{1};

}  // namespace

void follower_fleet::add_node(const std::string& name, const std::string& zone) {
  serving::node_settings settings;
  settings.node = name;
  settings.availability_zone = zone;
  member& added = nodes[name];
  added.state =
      serving::make_node(settings, static_cast<std::uint32_t>(nodes.size()) + 1);
  added.availability_zone = zone;
  carry_out(name, serving::start(added.state, now_));
}

void follower_fleet::count() {
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
    take(name, counted);
  }
}

void follower_fleet::configure(std::uint64_t version) {
  serving::catalog value = make_catalog(version, {"s0"}, "one");
  serving::index_routes(value);
  configuration_ = std::make_shared<const serving::catalog>(std::move(value));
  serving::topic_changed change;
  change.topic = serving::store_topic::configuration;
  change.configuration = configuration_;
  add_change(std::move(change));
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
  add_change(std::move(change));
}

void follower_fleet::remove_leaf(const std::string& id) {
  leafs_.erase(id);
  serving::topic_changed change;
  change.topic = serving::store_topic::leafs;
  change.leafs.push_back({id, std::nullopt});
  add_change(std::move(change));
}

void follower_fleet::add_change(serving::topic_changed change) {
  change.revision = ++revision_;
  changes_.push_back(std::move(change));
  serve_watches();
}

void follower_fleet::drop_history() {
  oldest_ = ++revision_;
  const auto cut_off = std::move(watches_);
  watches_.clear();
  for (const waiting_watch& watch : cut_off) {
    after(to_store, [this, watch] {
      take(watch.node, serving::store_call_failed{
                           watch.topic, serving::store_failure::unreachable, "cut"});
    });
  }
}

void follower_fleet::run_for(base::duration time) {
  const base::time_point end = now_ + time;
  // What waited for a node that was cut off is sent again once it is reached.
  serve_watches();
  while (true) {
    std::optional<base::time_point> next;
    std::string due;
    for (const auto& [name, node] : nodes) {
      const auto tick = serving::next_tick(node.state);
      if (node.alive && !node.frozen && tick && (!next || *tick < *next)) {
        next = tick;
        due = name;
      }
    }
    if (!queue_.empty() && (!next || queue_.top().at <= *next)) {
      next = queue_.top().at;
      due.clear();
    }
    if (!next || *next > end) {
      break;
    }
    now_ = std::max(now_, *next);
    if (!due.empty()) {
      take(due, serving::tick{});
      continue;
    }
    const auto what = queue_.top().what;
    queue_.pop();
    what();
  }
  now_ = end;
}

std::size_t follower_fleet::count_in_force(std::uint64_t version) const {
  return static_cast<std::size_t>(
      std::count_if(nodes.begin(), nodes.end(), [version](const auto& entry) {
        const serving::catalog_ptr& known = entry.second.state.configuration;
        return entry.second.alive && known && known->version == version;
      }));
}

std::size_t follower_fleet::count_knowing(const std::string& leaf) const {
  return static_cast<std::size_t>(
      std::count_if(nodes.begin(), nodes.end(), [&leaf](const auto& entry) {
        return entry.second.alive && entry.second.state.leafs.contains(leaf);
      }));
}

std::uint64_t follower_fleet::count_watches() const {
  std::uint64_t total = 0;
  for (const auto& [name, node] : nodes) {
    total += node.watches;
  }
  return total;
}

void follower_fleet::after(base::duration delay, std::function<void()> what) {
  queue_.push({now_ + delay, ++last_order_, std::move(what)});
}

void follower_fleet::take(const std::string& node, const serving::event& value) {
  member& target = nodes.at(node);
  if (!target.alive) {
    return;
  }
  if (target.frozen) {
    after(refused_after, [this, node, value] { take(node, value); });
    return;
  }
  carry_out(node, serving::reduce(target.state, value, now_));
}

void follower_fleet::carry_out(const std::string& node, const serving::effects& todo) {
  for (const serving::effect& what : todo) {
    if (const auto* list = std::get_if<serving::list_topic>(&what)) {
      on_store_call(node, *list);
    } else if (const auto* watch = std::get_if<serving::watch_topic>(&what)) {
      on_store_call(node, *watch);
    } else if (const auto* cancel = std::get_if<serving::cancel_store_call>(&what)) {
      ++call_serials_[node][cancel->topic];
    } else if (const auto* asked = std::get_if<serving::query_peer>(&what)) {
      on_ask(node, *asked);
    } else if (const auto* told = std::get_if<serving::reply_to_peer>(&what)) {
      on_tell(node, *told);
    } else if (const auto* probe = std::get_if<serving::probe_store>(&what)) {
      const member& self = nodes.at(node);
      const bool answered = !self.cut_from_store;
      const bool served = answered && !self.turned_away;
      after(answered ? base::duration(2 * to_store) : base::duration(probe->limit),
            [this, node, answered, served] {
              take(node, serving::store_probed{answered, served});
            });
    }
  }
}

void follower_fleet::on_store_call(const std::string& node,
                                   const serving::list_topic& what) {
  member& self = nodes.at(node);
  ++self.listings;
  const std::uint64_t serial = ++call_serials_[node][what.topic];
  if (self.cut_from_store) {
    return;
  }
  after(2 * to_store, [this, node, what, serial] {
    if (call_serials_[node][what.topic] != serial) {
      return;
    }
    if (nodes.at(node).turned_away) {
      take(node, serving::store_call_failed{what.topic, serving::store_failure::busy,
                                            "busy"});
      return;
    }
    serving::topic_listed listed;
    listed.topic = what.topic;
    listed.revision = revision_;
    if (what.topic == serving::store_topic::configuration) {
      listed.configuration = configuration_;
    } else {
      for (const auto& [id, record] : leafs_) {
        listed.leafs.push_back({id, record});
      }
    }
    take(node, listed);
  });
}

void follower_fleet::on_store_call(const std::string& node,
                                   const serving::watch_topic& what) {
  member& self = nodes.at(node);
  ++self.watches;
  const std::uint64_t serial = ++call_serials_[node][what.topic];
  if (self.cut_from_store) {
    return;
  }
  after(to_store, [this, node, what, serial] {
    if (nodes.at(node).turned_away) {
      take(node, serving::store_call_failed{what.topic, serving::store_failure::busy,
                                            "busy"});
      return;
    }
    watches_.push_back({node, what.topic, serial, what.revision});
    serve_watches();
  });
}

bool follower_fleet::try_serve(const waiting_watch& watch) {
  if (call_serials_[watch.node][watch.topic] != watch.serial) {
    return true;
  }
  if (nodes.at(watch.node).cut_from_store) {
    return false;
  }
  if (watch.revision < oldest_) {
    after(to_store, [this, watch] {
      take(watch.node, serving::store_call_failed{
                           watch.topic, serving::store_failure::history_dropped, ""});
    });
    return true;
  }
  const serving::topic_changed news = changes_since(watch.topic, watch.revision);
  if (news.leafs.empty() && !news.configuration) {
    return false;
  }
  after(to_store, [this, watch, news] { take(watch.node, news); });
  return true;
}

void follower_fleet::serve_watches() {
  std::erase_if(watches_,
                [this](const waiting_watch& watch) { return try_serve(watch); });
}

serving::topic_changed follower_fleet::changes_since(serving::store_topic topic,
                                                     std::uint64_t revision) {
  serving::topic_changed news;
  news.topic = topic;
  news.revision = revision_;
  for (const serving::topic_changed& change : changes_) {
    if (change.topic != topic || change.revision <= revision) {
      continue;
    }
    news.leafs.insert(news.leafs.end(), change.leafs.begin(), change.leafs.end());
    news.configuration = change.configuration;
  }
  const std::string text = std::to_string(static_cast<int>(topic)) + ' ' +
                           std::to_string(revision) + ' ' + std::to_string(revision_);
  by_text_[text] = news;
  news.text = std::make_shared<const std::string>(text);
  return news;
}

bool follower_fleet::reaches(const std::string& from, const std::string& to) const {
  const auto found = nodes.find(to);
  return found != nodes.end() && found->second.alive && !(cut && cut(from, to));
}

void follower_fleet::on_ask(const std::string& node, const serving::query_peer& what) {
  if (!nodes.contains(what.to.node) || !nodes.at(what.to.node).alive) {
    after(refused_after, [this, node, what] {
      serving::peer_replied refused{
          what.to.node, what.serial, serving::peer_reply_status::unreachable, {}};
      refused.news.topic = what.topic;
      take(node, refused);
    });
    return;
  }
  if (!reaches(node, what.to.node)) {
    return;
  }
  after(to_peer, [this, node, what] {
    take(what.to.node,
         serving::peer_query_received{node, what.topic, what.serial, what.revision});
  });
}

void follower_fleet::on_tell(const std::string& node,
                             const serving::reply_to_peer& what) {
  if (!reaches(node, what.node)) {
    return;
  }
  serving::peer_replied told{node, what.serial, what.kind, {}};
  told.news.topic = what.topic;
  told.news.revision = what.revision;
  for (const auto& text : what.texts) {
    const serving::topic_changed& change = by_text_.at(*text);
    told.news.leafs.insert(told.news.leafs.end(), change.leafs.begin(),
                           change.leafs.end());
    told.news.configuration = change.configuration;
  }
  after(to_peer, [this, to = what.node, told] { take(to, told); });
}

}  // namespace ibis::standins
