#include "holder_fleet.hpp"

#include <algorithm>  // for max
#include <utility>    // for move

#include "ibis/serving/holders.hpp"  // for find_block

namespace ibis::standins {
namespace {

using std::chrono::milliseconds;

constexpr base::microseconds leaf_delay{500};   ///< One way.
constexpr base::microseconds peer_delay{1000};  ///< One way.
constexpr milliseconds service_time{5};
constexpr unsigned status_ok = 200;
constexpr std::chrono::seconds warm_up_time{4};

}  // namespace

holder_fleet::holder_fleet(std::uint64_t seed, std::uint32_t connection_limit)
    : random_(seed), connection_limit_(connection_limit) {}

void holder_fleet::add_node(const std::string& name, const std::string& zone,
                            serving::node_settings settings) {
  settings.node = name;
  settings.availability_zone = zone;
  nodes[name].state = serving::make_node(settings, ++started_nodes_);
}

void holder_fleet::add_leaf(const std::string& id, const std::string& service,
                            const std::string& zone) {
  serving::leaf_record record;
  record.id = id;
  record.service = service;
  record.address = "10.0.0.1:" + std::to_string(1000 + leafs.size());
  record.availability_zone = zone;
  record.slots = 2;
  record.started_at = milliseconds(1 + leafs.size());
  leafs[id] = {record, false, connection_limit_};
}

void holder_fleet::remove_leaf(const std::string& id) {
  for (const auto& [name, node] : nodes) {
    serving::topic_changed change;
    change.topic = serving::store_topic::leafs;
    change.revision = {1, node.state.topics[1].revision.number + 1};
    change.leafs.push_back({id, std::nullopt});
    deliver_event(name, change);
  }
}

void holder_fleet::evacuate(const std::string& zone) {
  for (const auto& [name, node] : nodes) {
    serving::topic_changed change;
    change.topic = serving::store_topic::evacuations;
    change.revision = {1, node.state.topics[2].revision.number + 1};
    change.zones.push_back({zone, true});
    deliver_event(name, change);
  }
}

void holder_fleet::configure(serving::catalog catalog) {
  for (auto& [name, service] : catalog.services) {
    service.max_connections = connection_limit_;
  }
  serving::index_routes(catalog);
  configuration_ = std::make_shared<const serving::catalog>(std::move(catalog));
}

void holder_fleet::start_node(const std::string& name) {
  serving::topic_listed configuration;
  configuration.revision = {1, 1};
  configuration.configuration = configuration_;
  serving::topic_listed listing;
  listing.topic = serving::store_topic::leafs;
  listing.revision = {1, 1};
  for (const auto& [id, leaf] : leafs) {
    listing.leafs.push_back({id, leaf.record});
  }
  carry_out(name, serving::start(nodes.at(name).state, now_));
  serving::nodes_counted counted;
  counted.count = nodes.size();
  counted.self = true;
  for (const auto& [other, state] : nodes) {
    if (other != name) {
      counted.peers.push_back(
          {other, other + ":1", state.state.settings.availability_zone});
    }
  }
  deliver_event(name, counted);
  deliver_event(name, configuration);
  deliver_event(name, listing);
  if (nodes.at(name).state.settings.store.follow_evacuations) {
    serving::topic_listed evacuations;
    evacuations.topic = serving::store_topic::evacuations;
    evacuations.revision = {1, 1};
    deliver_event(name, evacuations);
  }
}

void holder_fleet::start() {
  for (const auto& [name, node] : nodes) {
    start_node(name);
  }
  run_for(warm_up_time);
}

void holder_fleet::restart(const std::string& node) {
  close_connections_of(node);
  serving::node_state& state = nodes.at(node).state;
  state = serving::make_node(serving::node_settings(state.settings), ++started_nodes_);
  start_node(node);
}

base::caller_id holder_fleet::send_request(const std::string& node,
                                           const std::string& request_id,
                                           const std::string& target) {
  const base::caller_id caller{++last_caller_};
  request_ids_[caller] = request_id;
  auto request = std::make_shared<serving::inbound_request>();
  request->method = "GET";
  request->host = "h";
  request->id = request_id;
  request->target = target;
  prepare_request(*request);
  deliver_event(node, serving::request_arrived{caller, request});
  return caller;
}

void holder_fleet::disconnect_caller(const std::string& node, base::caller_id caller) {
  deliver_event(node, serving::caller_disconnected{caller});
}

void holder_fleet::stop(const std::string& node) {
  deliver_event(node, serving::stop_requested{});
}

void holder_fleet::close_connections_of(const std::string& node) {
  std::vector<connection_key> lost;
  for (const auto& [key, connection] : connections_) {
    if (key.first == node) {
      lost.push_back(key);
    }
  }
  for (const connection_key& key : lost) {
    close(key);
  }
}

void holder_fleet::kill(const std::string& node) {
  nodes.at(node).alive = false;
  close_connections_of(node);
  for (const auto& [other, state] : nodes) {
    after(peer_delay, [this, other = other, node] {
      deliver_event(other, serving::peer_lost{node});
    });
  }
}

void holder_fleet::run_for(base::duration time) {
  const base::time_point end = now_ + time;
  while (true) {
    std::optional<base::time_point> next;
    std::string due;
    for (const auto& [name, node] : nodes) {
      auto tick = serving::next_tick(node.state);
      if (tick) {
        tick = std::max(*tick, node.stalled_until);
      }
      if (node.alive && tick && (!next || *tick < *next)) {
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
    if (due.empty()) {
      queue_.run_next();
    } else {
      deliver_event(due, serving::tick{});
    }
  }
  now_ = end;
}

const client_answer* holder_fleet::find_answer(base::caller_id caller) const {
  for (const client_answer& answer : answers) {
    if (answer.caller == caller) {
      return &answer;
    }
  }
  return nullptr;
}

std::string holder_fleet::first_holder(const std::string& node,
                                       const std::string& service) const {
  const auto* block = serving::find_block(nodes.at(node).state, service);
  return block == nullptr || block->holders.empty() ? "" : block->holders.front().node;
}

void holder_fleet::after(base::duration delay, std::function<void()> action) {
  queue_.add(now_ + delay, std::move(action));
}

void holder_fleet::deliver_event(const std::string& node, const serving::event& event) {
  fleet_node& target = nodes.at(node);
  if (target.stalled_until > now_) {
    queue_.add(target.stalled_until, [this, node, event, arrived = now_] {
      serving::event delayed = event;
      if (auto* request = std::get_if<serving::shards_requested>(&delayed)) {
        request->delay = std::chrono::duration_cast<base::microseconds>(now_ - arrived);
      }
      deliver_event(node, delayed);
    });
    return;
  }
  if (target.alive) {
    carry_out(node, serving::reduce(target.state, event, now_));
  }
}

void holder_fleet::carry_out(const std::string& node, const serving::effects& effects) {
  for (const serving::effect& effect : effects) {
    observe_effect(node, effect);
    if (carry_out_peer_effect(node, effect)) {
      continue;
    }
    if (const auto* opened = std::get_if<serving::open_connection>(&effect)) {
      on_open(node, *opened);
    } else if (const auto* sent = std::get_if<serving::send_to_leaf>(&effect)) {
      on_send(node, *sent);
    } else if (const auto* closed = std::get_if<serving::close_connection>(&effect)) {
      close({node, closed->connection});
    } else if (const auto* answered = std::get_if<serving::answer_caller>(&effect)) {
      answers.push_back({answered->caller, request_ids_.at(answered->caller),
                         answered->answer, now_});
    } else if (const auto* done = std::get_if<serving::finish_process>(&effect)) {
      nodes.at(node).aborted_requests = done->aborted_requests;
    } else if (const auto* probe = std::get_if<serving::probe_store>(&effect)) {
      after(milliseconds(1), [this, node, sent_at = probe->sent_at] {
        deliver_event(
            node, serving::store_probed{true, sent_at, serving::store_revision{1, 0}});
      });
    }
  }
}

bool holder_fleet::carry_out_peer_effect(const std::string& node,
                                         const serving::effect& effect) {
  if (const auto* request = std::get_if<serving::request_shards>(&effect)) {
    on_request_shards(node, *request);
  } else if (const auto* reply = std::get_if<serving::reply_shards>(&effect)) {
    pass_on(node, reply->node, serving::shards_replied{node, reply->reply});
  } else if (const auto* cancel = std::get_if<serving::cancel_shards>(&effect)) {
    pass_on(node, cancel->node, serving::shards_cancelled{node, cancel->call});
  } else if (const auto* reset =
                 std::get_if<serving::reset_holder_connection>(&effect)) {
    const std::string lost = reset->node;
    after(base::duration(0),
          [this, node, lost] { deliver_event(node, serving::peer_lost{lost}); });
  } else {
    return false;
  }
  return true;
}

void holder_fleet::on_request_shards(const std::string& node,
                                     const serving::request_shards& effect) {
  const std::string to = effect.to.node;
  if (!nodes.at(to).alive) {
    after(2 * peer_delay, [this, node, to, call = effect.request.call] {
      deliver_event(node, serving::shards_undeliverable{to, call});
    });
    return;
  }
  pass_on(node, to, serving::shards_requested{node, effect.request});
}

void holder_fleet::pass_on(const std::string& from, const std::string& to,
                           const serving::event& event) {
  after(peer_delay, [this, from, to, event] {
    if (!nodes.at(from).silent && !nodes.at(to).silent) {
      ++peer_messages;
      deliver_event(to, event);
    }
  });
}

void holder_fleet::on_open(const std::string& node,
                           const serving::open_connection& effect) {
  const connection_key key{node, effect.connection};
  for (auto& [id, leaf] : leafs) {
    if (leaf.record.address != effect.address) {
      continue;
    }
    const bool over_limit = leaf.connections >= leaf.connection_limit;
    leaf.resets += over_limit ? 1 : 0;
    if (!over_limit) {
      connections_[key] = {node, id, 0};
      leaf.most_connections = std::max(leaf.most_connections, ++leaf.connections);
    }
    after(2 * leaf_delay, [this, key, over_limit] {
      if (over_limit) {
        deliver_event(key.first, serving::connection_failed{key.second, "reset"});
      } else if (connections_.contains(key)) {
        deliver_event(key.first, serving::connection_opened{key.second});
      }
    });
    return;
  }
}

void holder_fleet::on_send(const std::string& node,
                           const serving::send_to_leaf& effect) {
  const connection_key key{node, effect.connection};
  leaf_connection& connection = connections_.at(key);
  const std::uint64_t serial = ++connection.serial;
  shared_leaf& leaf = leafs.at(connection.leaf);
  arrivals.push_back({effect.request->id, leaf.record.service, leaf.record.id,
                      now_ + leaf_delay, true});
  const base::time_point starts_at = std::max(now_, leaf.paused_until);
  const base::duration delay = 2 * leaf_delay + (starts_at - now_) + service_time +
                               base::microseconds(random_() % 1000);
  const std::string signature = connection.leaf + '/' + effect.request->id;
  after(delay, [this, key, serial, signature] {
    const auto found = connections_.find(key);
    if (found == connections_.end() || found->second.serial != serial) {
      return;
    }
    auto answer = std::make_shared<serving::leaf_answer>();
    answer->status = status_ok;
    answer->signature = signature;
    answer->leaf_leaving = leafs.at(found->second.leaf).says_leaving;
    answer->body = make_records(signature);
    deliver_event(key.first, serving::leaf_answered{key.second, answer, true, {}});
  });
}

void holder_fleet::close(const connection_key& key) {
  const auto found = connections_.find(key);
  if (found != connections_.end()) {
    --leafs.at(found->second.leaf).connections;
    connections_.erase(found);
  }
}

}  // namespace ibis::standins
