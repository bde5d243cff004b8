#include "serving_fleet.hpp"

#include <utility>  // for move

namespace ibis::standins {
namespace {

using std::chrono::milliseconds;

constexpr base::microseconds travel{500};  ///< One way, to a leaf or to the store.
constexpr milliseconds usual_service{5};
constexpr unsigned status_ok = 200;
constexpr unsigned status_failed = 500;
constexpr unsigned status_refused = 503;
constexpr unsigned status_other = 421;

/// Records that are all different and of no particular order.
std::string make_records(const std::string& seed) {
  constexpr int count = 7;
  std::string body;
  std::uint64_t value = std::hash<std::string>{}(seed);
  for (int i = 0; i < count * 2; ++i) {
    constexpr std::uint64_t multiplier = 6364136223846793005;
    value = value * multiplier + 1442695040888963407;
    for (int byte = 0; byte < 8; ++byte) {
      body.push_back(static_cast<char>(value >> (8 * byte)));
    }
  }
  return body + "rest";
}

}  // namespace

serving_fleet::serving_fleet(std::uint64_t seed, const serving::node_settings& settings)
    : node(serving::make_node(settings, static_cast<std::uint32_t>(seed) + 1)),
      random_(seed) {}

fleet_leaf& serving_fleet::add_leaf(const std::string& id, const std::string& service) {
  fleet_leaf leaf;
  leaf.record.id = id;
  leaf.record.service = service;
  leaf.record.address = "10.0.0.1:" + std::to_string(1000 + leafs.size());
  leaf.record.availability_zone = "zone";
  leaf.record.slots = 2;
  leaf.record.started_at = milliseconds(1 + leafs.size());
  leaf.instance = id;
  leaf.service_time = [](std::mt19937_64& random) {
    return base::duration(usual_service) + base::microseconds(random() % 1000);
  };
  leaf.reaction = [](std::mt19937_64&) { return leaf_reaction::answer; };
  fleet_leaf& added = leafs[id] = std::move(leaf);
  registered_[id] = ++revision_;
  change(serving::store_topic::leafs);
  return added;
}

void serving_fleet::set_draining(const std::string& id) {
  leafs.at(id).record.draining = true;
  registered_[id] = ++revision_;
  change(serving::store_topic::leafs);
}

void serving_fleet::unregister(const std::string& id) {
  registered_.erase(id);
  removed_[id] = ++revision_;
  change(serving::store_topic::leafs);
}

void serving_fleet::configure(serving::catalog value) {
  serving::index_routes(value);
  configuration_ = std::make_shared<const serving::catalog>(std::move(value));
  configuration_revision_ = ++revision_;
  change(serving::store_topic::configuration);
}

void serving_fleet::set_store(store_mode mode) {
  store_ = mode;
  for (const auto topic :
       {serving::store_topic::configuration, serving::store_topic::leafs}) {
    change(topic);
  }
}

void serving_fleet::drop_history() {
  oldest_ = ++revision_;
  for (auto& [topic, call] : calls_) {
    if (call.active && !call.listing) {
      call.active = false;
      after(travel, [this, topic = topic] {
        take(serving::store_call_failed{topic, serving::store_failure::unreachable,
                                        "cut"});
      });
    }
  }
}

void serving_fleet::start() {
  carry_out(serving::start(node, now_));
  run_for(milliseconds(1000));
}

base::caller_id serving_fleet::ask(const std::string& id, const std::string& target,
                                   std::optional<milliseconds> deadline) {
  const base::caller_id caller{++last_caller_};
  callers_[caller] = id;
  auto request = std::make_shared<serving::inbound_request>();
  request->method = "GET";
  request->host = "h";
  request->id = id;
  request->target = target;
  request->deadline = deadline;
  take(serving::request_arrived{caller, request});
  return caller;
}

void serving_fleet::leave(base::caller_id caller) {
  take(serving::caller_disconnected{caller});
}

void serving_fleet::stop() {
  take(serving::stop_requested{});
}

void serving_fleet::change_settings(const serving::node_settings& settings) {
  take(serving::settings_changed{settings});
}

void serving_fleet::run_for(base::duration time) {
  const base::time_point end = now_ + time;
  while (true) {
    const auto tick = serving::next_tick(node);
    const bool scheduled_first = !queue_.empty() && (!tick || queue_.top().at <= *tick);
    const auto next = scheduled_first ? std::optional(queue_.top().at) : tick;
    if (!next || *next > end) {
      break;
    }
    now_ = std::max(now_, *next);
    if (!scheduled_first) {
      take(serving::tick{});
      continue;
    }
    const auto what = queue_.top().what;
    queue_.pop();
    what();
  }
  now_ = end;
}

const client_answer* serving_fleet::find_answer(base::caller_id caller) const {
  for (const client_answer& answer : answers) {
    if (answer.caller == caller) {
      return &answer;
    }
  }
  return nullptr;
}

void serving_fleet::after(base::duration delay, std::function<void()> what) {
  queue_.push({now_ + delay, ++last_order_, std::move(what)});
}

void serving_fleet::take(const serving::event& value) {
  serving::effects todo;
  const auto reduce = [&] { todo = serving::reduce(node, value, now_); };
  if (around_reduce) {
    around_reduce(reduce);
  } else {
    reduce();
  }
  carry_out(todo);
  if (node.configuration && (versions_in_force.empty() ||
                             versions_in_force.back() != node.configuration->version)) {
    versions_in_force.push_back(node.configuration->version);
  }
}

void serving_fleet::carry_out(const serving::effects& todo) {
  for (const serving::effect& what : todo) {
    if (watch_effects) {
      watch_effects(what);
    }
    if (const auto* opened = std::get_if<serving::open_connection>(&what)) {
      on_open(*opened);
    } else if (const auto* sent = std::get_if<serving::send_to_leaf>(&what)) {
      on_send(*sent);
    } else if (const auto* closed = std::get_if<serving::close_connection>(&what)) {
      connections_open -= links_.erase(closed->connection);
    } else if (const auto* answered = std::get_if<serving::answer_caller>(&what)) {
      on_answer(*answered);
    } else if (const auto* list = std::get_if<serving::list_topic>(&what)) {
      on_store_call(list->topic, true, 0);
    } else if (const auto* watch = std::get_if<serving::watch_topic>(&what)) {
      on_store_call(watch->topic, false, watch->revision);
      end_watch_after(watch->topic, watch->wait);
    } else if (const auto* cancel = std::get_if<serving::cancel_store_call>(&what)) {
      calls_[cancel->topic].active = false;
    } else if (const auto* probe = std::get_if<serving::probe_store>(&what)) {
      const bool answered = store_ == store_mode::well || store_ == store_mode::busy;
      after(answered ? 2 * travel : base::duration(probe->limit), [this, answered] {
        take(serving::store_probed{answered, store_ == store_mode::well});
      });
    } else if (std::holds_alternative<serving::stop_accepting>(what)) {
      accepting = false;
    } else if (const auto* done = std::get_if<serving::finish_process>(&what)) {
      cut = done->cut;
    }
  }
}

void serving_fleet::on_open(const serving::open_connection& what) {
  const base::connection_id id = what.connection;
  for (const auto& [name, leaf] : leafs) {
    if (leaf.record.address != what.address) {
      continue;
    }
    if (!leaf.accepts) {
      break;
    }
    links_[id] = {name, 0};
    ++connections_open;
    after(2 * travel, [this, id] {
      if (links_.contains(id)) {
        take(serving::connection_opened{id});
      }
    });
    return;
  }
  after(2 * travel, [this, id] { take(serving::connection_failed{id, "refused"}); });
}

void serving_fleet::on_send(const serving::send_to_leaf& what) {
  link& on = links_.at(what.connection);
  ++on.serial;
  fleet_leaf& leaf = leafs.at(on.leaf);
  const leaf_reaction reaction = leaf.reaction(random_);
  const bool other = leaf.instance != what.leaf_id;
  const bool runs =
      !other && reaction != leaf_reaction::refuse && reaction != leaf_reaction::ignore;
  arrivals.push_back(
      {what.request->id, leaf.record.service, leaf.record.id, now_ + travel, runs});
  if (reaction == leaf_reaction::ignore) {
    return;
  }
  base::duration delay = 2 * travel;
  if (runs) {
    const base::time_point begins = std::max(now_, leaf.paused_until);
    delay += (begins - now_) + leaf.service_time(random_);
  }
  after(delay, [this, what, on, reaction, other] {
    const auto found = links_.find(what.connection);
    if (found == links_.end() || found->second.serial != on.serial) {
      return;
    }
    if (reaction == leaf_reaction::run_and_lose) {
      links_.erase(found);
      --connections_open;
      take(serving::connection_lost{what.connection, "reset"});
      return;
    }
    auto answer = std::make_shared<serving::leaf_answer>();
    answer->status = other                               ? status_other
                     : reaction == leaf_reaction::refuse ? status_refused
                     : reaction == leaf_reaction::fail   ? status_failed
                                                         : status_ok;
    answer->instance_mismatch = other;
    answer->not_executed = other || reaction == leaf_reaction::refuse;
    if (!answer->not_executed) {
      answer->signature = on.leaf + '/' + what.request->id;
      answer->body = make_records(answer->signature);
    }
    take(serving::leaf_answered{what.connection, answer, true, {}});
  });
}

void serving_fleet::on_answer(const serving::answer_caller& what) {
  answers.push_back({what.caller, callers_.at(what.caller), what.answer, now_});
}

void serving_fleet::on_store_call(serving::store_topic topic, bool listing,
                                  std::uint64_t revision) {
  pending_call& call = calls_[topic];
  call = {listing, revision, true, call.serial + 1};
  after(travel, [this, topic, serial = call.serial] {
    if (calls_[topic].serial == serial) {
      serve_store(topic);
    }
  });
}

void serving_fleet::end_watch_after(serving::store_topic topic,
                                    base::milliseconds wait) {
  after(wait, [this, topic, serial = calls_[topic].serial] {
    pending_call& call = calls_[topic];
    if (call.active && call.serial == serial && store_ == store_mode::well) {
      call.active = false;
      take(serving::topic_changed{topic, revision_, {}, nullptr, nullptr});
    }
  });
}

void serving_fleet::serve_store(serving::store_topic topic) {
  pending_call& call = calls_[topic];
  if (store_ == store_mode::swallowing) {
    call.active = false;
  }
  if (!call.active || store_ == store_mode::silent) {
    return;
  }
  if (store_ == store_mode::busy) {
    call.active = false;
    after(travel, [this, topic] {
      take(serving::store_call_failed{topic, serving::store_failure::busy, "busy"});
    });
    return;
  }
  const bool too_old = !call.listing && call.revision < oldest_;
  if (too_old) {
    call.active = false;
    after(travel, [this, topic] {
      take(serving::store_call_failed{topic, serving::store_failure::history_dropped,
                                      ""});
    });
    return;
  }
  serving::event answer = call.listing ? listing(topic) : changes(topic, call.revision);
  const auto* changed = std::get_if<serving::topic_changed>(&answer);
  if (changed != nullptr && changed->leafs.empty() && !changed->configuration) {
    return;  // The watch waits on.
  }
  call.active = false;
  after(travel, [this, answer] { take(answer); });
}

void serving_fleet::change(serving::store_topic topic) {
  serve_store(topic);
}

serving::event serving_fleet::listing(serving::store_topic topic) const {
  serving::topic_listed event;
  event.topic = topic;
  event.revision = revision_;
  if (topic == serving::store_topic::configuration) {
    event.configuration = configuration_;
    return event;
  }
  for (const auto& [id, revision] : registered_) {
    event.leafs.push_back({id, leafs.at(id).record});
  }
  return event;
}

serving::event serving_fleet::changes(serving::store_topic topic,
                                      std::uint64_t since) const {
  serving::topic_changed event;
  event.topic = topic;
  event.revision = revision_;
  if (topic == serving::store_topic::configuration) {
    event.configuration = configuration_revision_ > since ? configuration_ : nullptr;
    return event;
  }
  for (const auto& [id, revision] : registered_) {
    if (revision > since) {
      event.leafs.push_back({id, leafs.at(id).record});
    }
  }
  for (const auto& [id, revision] : removed_) {
    if (revision > since) {
      event.leafs.push_back({id, std::nullopt});
    }
  }
  return event;
}

serving::catalog make_catalog(std::uint64_t version,
                              const std::vector<std::string>& shards,
                              const std::string& single) {
  constexpr std::uint32_t connections = 60;
  serving::catalog value;
  value.version = version;
  serving::route query;
  query.name = "query";
  query.host = "h";
  query.prefix = "/q/";
  query.shape = serving::route_shape::fan_out;
  query.idempotent = true;
  query.timeout = milliseconds(800);
  query.objective = milliseconds(100);
  query.max_leafs = 2;
  query.shards = shards;
  query.top = 5;
  query.min_shard_share = 0.75;
  value.routes.push_back(query);
  serving::route read = query;
  read.name = "read";
  read.prefix = "/read/";
  read.shape = serving::route_shape::single;
  read.shards.clear();
  read.targets = {{single, 1.0}};
  read.priority = 1;
  value.routes.push_back(read);
  serving::route write = read;
  write.name = "write";
  write.prefix = "/write/";
  write.idempotent = false;
  value.routes.push_back(write);
  serving::route urgent = read;
  urgent.name = "urgent";
  urgent.prefix = "/urgent/";
  urgent.priority = 0;
  value.routes.push_back(urgent);
  for (const std::string& shard : shards) {
    value.services[shard] = {shard, connections};
  }
  value.services[single] = {single, connections};
  return value;
}

}  // namespace ibis::standins
