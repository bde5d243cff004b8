#include "serving_fleet.hpp"

#include <algorithm>  // for max, min_element
#include <utility>    // for move

namespace ibis::standins {
namespace {

using std::chrono::milliseconds;

constexpr base::microseconds one_way_delay{500};  ///< To a leaf or to the store.
constexpr milliseconds typical_service_time{5};
constexpr unsigned status_ok = 200;
constexpr unsigned status_failed = 500;
constexpr unsigned status_refused = 503;
constexpr unsigned status_misdirected = 421;

/// @return What a leaf reports with an answer that it sends at a time.
cost::load_report report_load(const fleet_leaf& leaf, base::time_point at) {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  for (const auto& [begin, end] : leaf.schedule) {
    running += begin <= at && at < end ? 1 : 0;
    waiting += begin > at ? 1 : 0;
  }
  return {running, waiting, leaf.record.slots, leaf.pace};
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
    return base::duration(typical_service_time) + base::microseconds(random() % 1000);
  };
  leaf.reaction = [](std::mt19937_64&) { return leaf_reaction::answer; };
  fleet_leaf& added = leafs[id] = std::move(leaf);
  registered_[id] = ++revision_;
  notify_watch(serving::store_topic::leafs);
  return added;
}

void serving_fleet::set_draining(const std::string& id) {
  leafs.at(id).record.draining = true;
  registered_[id] = ++revision_;
  notify_watch(serving::store_topic::leafs);
}

void serving_fleet::unregister(const std::string& id) {
  registered_.erase(id);
  removed_[id] = ++revision_;
  notify_watch(serving::store_topic::leafs);
}

void serving_fleet::configure(serving::catalog catalog) {
  serving::index_routes(catalog);
  configuration_ = std::make_shared<const serving::catalog>(std::move(catalog));
  configuration_revision_ = ++revision_;
  notify_watch(serving::store_topic::configuration);
}

void serving_fleet::set_store(store_mode mode) {
  store_mode_ = mode;
  for (const auto topic :
       {serving::store_topic::configuration, serving::store_topic::leafs,
        serving::store_topic::evacuations}) {
    notify_watch(topic);
  }
}

void serving_fleet::evacuate(const std::string& zone) {
  evacuations_[zone] = {++revision_, true};
  notify_watch(serving::store_topic::evacuations);
}

void serving_fleet::end_evacuation(const std::string& zone) {
  evacuations_[zone] = {++revision_, false};
  notify_watch(serving::store_topic::evacuations);
}

void serving_fleet::silence_watches() {
  for (auto& [topic, call] : calls_) {
    call.silenced = !call.listing;
  }
}

void serving_fleet::drop_history() {
  oldest_revision_ = ++revision_;
  for (auto& [topic, call] : calls_) {
    if (call.active && !call.listing) {
      call.active = false;
      after(one_way_delay, [this, topic = topic] {
        deliver_event(serving::store_call_failed{
            topic, serving::store_failure::unreachable, "connection closed"});
      });
    }
  }
}

void serving_fleet::start() {
  carry_out(serving::start(node, now_));
  run_for(milliseconds(1000));
}

base::caller_id serving_fleet::send_request(const std::string& request_id,
                                            const std::string& target,
                                            std::optional<milliseconds> deadline) {
  const base::caller_id caller{++last_caller_};
  request_ids_[caller] = request_id;
  auto request = std::make_shared<serving::inbound_request>();
  request->method = "GET";
  request->host = "h";
  request->id = request_id;
  request->target = target;
  request->deadline = deadline;
  deliver_event(serving::request_arrived{caller, request});
  return caller;
}

void serving_fleet::ask_for_shards(const std::string& from,
                                   const wire::shards_request& request) {
  deliver_event(serving::shards_requested{from, request, {}});
}

void serving_fleet::disconnect_caller(base::caller_id caller) {
  deliver_event(serving::caller_disconnected{caller});
}

void serving_fleet::stop() {
  deliver_event(serving::stop_requested{});
}

void serving_fleet::change_settings(const serving::node_settings& settings) {
  deliver_event(serving::settings_changed{settings});
}

void serving_fleet::run_for(base::duration time) {
  const base::time_point end = now_ + time;
  while (true) {
    const auto tick = serving::next_tick(node);
    const auto action_at = queue_.next_at();
    const bool action_first = action_at && (!tick || *action_at <= *tick);
    const auto next = action_first ? action_at : tick;
    if (!next || *next > end) {
      break;
    }
    now_ = std::max(now_, *next);
    if (!action_first) {
      deliver_event(serving::tick{});
      continue;
    }
    queue_.run_next();
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

void serving_fleet::after(base::duration delay, std::function<void()> action) {
  queue_.add(now_ + delay, std::move(action));
}

void serving_fleet::deliver_event(const serving::event& event) {
  serving::effects effects;
  const auto reduce = [&] { effects = serving::reduce(node, event, now_); };
  if (reduce_wrapper) {
    reduce_wrapper(reduce);
  } else {
    reduce();
  }
  carry_out(effects);
  if (node.configuration && (applied_versions.empty() ||
                             applied_versions.back() != node.configuration->version)) {
    applied_versions.push_back(node.configuration->version);
  }
}

void serving_fleet::carry_out(const serving::effects& effects) {
  for (const serving::effect& effect : effects) {
    if (effect_observer) {
      effect_observer(effect);
    }
    if (const auto* opened = std::get_if<serving::open_connection>(&effect)) {
      on_open(*opened);
    } else if (const auto* sent = std::get_if<serving::send_to_leaf>(&effect)) {
      on_send(*sent);
    } else if (const auto* closed = std::get_if<serving::close_connection>(&effect)) {
      open_connections -= connections_.erase(closed->connection);
    } else if (const auto* answered = std::get_if<serving::answer_caller>(&effect)) {
      on_answer(*answered);
    } else if (const auto* list = std::get_if<serving::list_topic>(&effect)) {
      on_store_call(list->topic, true, 0);
    } else if (const auto* watch = std::get_if<serving::watch_topic>(&effect)) {
      on_store_call(watch->topic, false, watch->revision.number);
      end_watch_after(watch->topic, watch->wait);
    } else if (const auto* cancel = std::get_if<serving::cancel_store_call>(&effect)) {
      calls_[cancel->topic].active = false;
    } else if (const auto* probe = std::get_if<serving::probe_store>(&effect)) {
      const bool answered =
          store_mode_ == store_mode::healthy || store_mode_ == store_mode::busy;
      after(answered ? 2 * one_way_delay : base::duration(probe->limit),
            [this, answered, sent_at = probe->sent_at] {
              serving::store_probed probed{answered, sent_at, {}};
              if (store_mode_ == store_mode::healthy) {
                probed.revision = serving::store_revision{1, revision_};
              }
              deliver_event(probed);
            });
    } else if (const auto* count = std::get_if<serving::count_nodes>(&effect)) {
      on_count(*count);
    } else if (std::holds_alternative<serving::stop_accepting>(effect)) {
      accepting = false;
    } else if (const auto* finished = std::get_if<serving::finish_process>(&effect)) {
      aborted_requests = finished->aborted_requests;
    }
  }
}

void serving_fleet::on_count(const serving::count_nodes& effect) {
  if (store_mode_ == store_mode::healthy) {
    after(2 * one_way_delay, [this] {
      deliver_event(serving::nodes_counted{counted_nodes, true, {}, ""});
    });
    return;
  }
  after(store_mode_ == store_mode::busy ? 2 * one_way_delay
                                        : base::duration(effect.limit),
        [this] { deliver_event(serving::node_count_failed{}); });
}

void serving_fleet::on_open(const serving::open_connection& effect) {
  const base::connection_id id = effect.connection;
  for (const auto& [name, leaf] : leafs) {
    if (leaf.record.address != effect.address) {
      continue;
    }
    if (!leaf.accepts_connections) {
      break;
    }
    connections_[id] = {name, 0, ""};
    ++open_connections;
    after(2 * one_way_delay, [this, id] {
      if (connections_.contains(id)) {
        deliver_event(serving::connection_opened{id});
      }
    });
    return;
  }
  after(2 * one_way_delay, [this, id] {
    deliver_event(serving::connection_failed{id, "refused"});
  });
}

void serving_fleet::on_send(const serving::send_to_leaf& effect) {
  leaf_connection& connection = connections_.at(effect.connection);
  ++connection.serial;
  connection.request_in_flight = effect.request->id;
  fleet_leaf& leaf = leafs.at(connection.leaf);
  const leaf_reaction reaction = leaf.reaction(random_);
  const bool wrong_instance = leaf.instance != effect.leaf_id;
  const bool runs = !wrong_instance && reaction != leaf_reaction::refuse &&
                    reaction != leaf_reaction::ignore;
  arrivals.push_back({effect.request->id, leaf.record.service, leaf.record.id,
                      now_ + one_way_delay, runs});
  if (reaction == leaf_reaction::ignore) {
    return;
  }
  base::duration delay = 2 * one_way_delay;
  if (runs) {
    const base::time_point starts_at = std::max(now_, leaf.paused_until);
    delay += leaf.work ? queue_request(leaf, *effect.request, starts_at)
                       : (starts_at - now_) + leaf.service_time(random_);
  }
  after(delay, [this, effect, connection, reaction, wrong_instance] {
    const auto found = connections_.find(effect.connection);
    if (found == connections_.end() || found->second.serial != connection.serial) {
      return;
    }
    if (reaction == leaf_reaction::run_and_disconnect) {
      connections_.erase(found);
      --open_connections;
      deliver_event(serving::connection_lost{effect.connection, "reset",
                                             leafs.at(connection.leaf).says_leaving});
      return;
    }
    auto answer = std::make_shared<serving::leaf_answer>();
    answer->status = wrong_instance                      ? status_misdirected
                     : reaction == leaf_reaction::refuse ? status_refused
                     : reaction == leaf_reaction::fail   ? status_failed
                                                         : status_ok;
    answer->instance_mismatch = wrong_instance;
    answer->leaf_leaving = leafs.at(connection.leaf).says_leaving;
    answer->not_executed = wrong_instance || reaction == leaf_reaction::refuse;
    if (reaction == leaf_reaction::refuse) {
      answer->retry_after = leafs.at(connection.leaf).retry_after;
      note_refusal(connection.leaf, *answer);
    }
    if (leafs.at(connection.leaf).reports_load) {
      answer->load = report_load(leafs.at(connection.leaf), now_ - one_way_delay);
    }
    if (!answer->not_executed) {
      answer->signature = connection.leaf + '/' + effect.request->id;
      answer->body = make_records(answer->signature);
    }
    deliver_answer(effect.connection, answer);
    if (const auto copy_delay = leafs.at(connection.leaf).copy_delay) {
      after(*copy_delay, [this, effect, answer] {
        deliver_copy(effect.connection, effect.request->id, answer);
      });
    }
  });
}

base::duration serving_fleet::queue_request(fleet_leaf& leaf,
                                            const serving::inbound_request& request,
                                            base::time_point starts_at) {
  const base::time_point arrives = now_ + one_way_delay;
  leaf.slots_free_at.resize(leaf.record.slots);
  const auto slot =
      std::min_element(leaf.slots_free_at.begin(), leaf.slots_free_at.end());
  const base::time_point begin = std::max({arrives, starts_at, *slot});
  const base::time_point end = begin + std::chrono::duration_cast<base::duration>(
                                           leaf.work(request, random_) * leaf.pace);
  *slot = end;
  std::erase_if(leaf.schedule, [this](const auto& entry) {
    return entry.second < now_ - 2 * one_way_delay;
  });
  leaf.schedule.emplace_back(begin, end);
  return end - arrives;
}

void serving_fleet::note_refusal(const std::string& leaf,
                                 const serving::leaf_answer& answer) {
  if (answer.retry_after) {
    refusals.push_back({leaf, now_, answer.retry_after});
  }
}

void serving_fleet::deliver_answer(
    base::connection_id id, const std::shared_ptr<serving::leaf_answer>& answer) {
  connections_.at(id).request_in_flight.clear();
  deliver_event(serving::leaf_answered{id, answer, true, {}});
}

void serving_fleet::deliver_copy(base::connection_id id, const std::string& request,
                                 const std::shared_ptr<serving::leaf_answer>& answer) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  if (found->second.request_in_flight == request) {
    deliver_answer(id, answer);
    return;
  }
  if (found->second.request_in_flight.empty()) {
    connections_.erase(found);
    --open_connections;
    deliver_event(serving::connection_lost{id, "unexpected bytes"});
  }
}

void serving_fleet::on_answer(const serving::answer_caller& effect) {
  answers.push_back(
      {effect.caller, request_ids_.at(effect.caller), effect.answer, now_});
}

void serving_fleet::on_store_call(serving::store_topic topic, bool listing,
                                  std::uint64_t revision) {
  pending_call& call = calls_[topic];
  call = {listing, revision, true, call.serial + 1, false};
  after(one_way_delay, [this, topic, serial = call.serial] {
    if (calls_[topic].serial == serial) {
      answer_store_call(topic);
    }
  });
}

void serving_fleet::end_watch_after(serving::store_topic topic,
                                    base::milliseconds wait) {
  after(wait, [this, topic, serial = calls_[topic].serial] {
    pending_call& call = calls_[topic];
    if (call.active && call.serial == serial && store_mode_ == store_mode::healthy) {
      call.active = false;
      deliver_event(
          serving::topic_changed{topic, {1, revision_}, {}, nullptr, nullptr, {}});
    }
  });
}

void serving_fleet::answer_store_call(serving::store_topic topic) {
  pending_call& call = calls_[topic];
  if (store_mode_ == store_mode::dropping_calls) {
    call.active = false;
  }
  if (!call.active || call.silenced || store_mode_ == store_mode::stalled) {
    return;
  }
  if (store_mode_ == store_mode::busy) {
    call.active = false;
    after(one_way_delay, [this, topic] {
      deliver_event(
          serving::store_call_failed{topic, serving::store_failure::busy, "busy"});
    });
    return;
  }
  const bool too_old = !call.listing && call.revision < oldest_revision_;
  if (too_old) {
    call.active = false;
    after(one_way_delay, [this, topic] {
      deliver_event(serving::store_call_failed{
          topic, serving::store_failure::history_dropped, ""});
    });
    return;
  }
  serving::event answer =
      call.listing ? make_listing(topic) : make_changes(topic, call.revision);
  const auto* changed = std::get_if<serving::topic_changed>(&answer);
  if (changed != nullptr && !has_changes(*changed)) {
    return;  // There is no change, so the watch stays pending.
  }
  call.active = false;
  after(one_way_delay, [this, answer] { deliver_event(answer); });
}

void serving_fleet::notify_watch(serving::store_topic topic) {
  answer_store_call(topic);
}

serving::event serving_fleet::make_listing(serving::store_topic topic) const {
  serving::topic_listed event;
  event.topic = topic;
  event.revision = {1, revision_};
  if (topic == serving::store_topic::configuration) {
    event.configuration = configuration_;
    return event;
  }
  if (topic == serving::store_topic::evacuations) {
    for (const auto& [zone, change] : evacuations_) {
      if (change.second) {
        event.zones.push_back({zone, true});
      }
    }
    return event;
  }
  for (const auto& [id, revision] : registered_) {
    event.leafs.push_back({id, leafs.at(id).record});
  }
  return event;
}

serving::event serving_fleet::make_changes(serving::store_topic topic,
                                           std::uint64_t since) const {
  serving::topic_changed event;
  event.topic = topic;
  event.revision = {1, revision_};
  if (topic == serving::store_topic::configuration) {
    event.configuration = configuration_revision_ > since ? configuration_ : nullptr;
    return event;
  }
  if (topic == serving::store_topic::evacuations) {
    for (const auto& [zone, change] : evacuations_) {
      if (change.first > since) {
        event.zones.push_back({zone, change.second});
      }
    }
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

serving::node_settings unlimited_budget_settings() {
  serving::node_settings settings;
  constexpr double ample = 1e5;
  settings.budget.slack = ample;
  return settings;
}

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

serving::catalog make_catalog(std::uint64_t version,
                              const std::vector<std::string>& shards,
                              const std::string& single) {
  constexpr std::uint32_t connections = 60;
  serving::catalog catalog;
  catalog.version = version;
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
  catalog.routes.push_back(query);
  serving::route read = query;
  read.name = "read";
  read.prefix = "/read/";
  read.shape = serving::route_shape::single;
  read.shards.clear();
  read.targets = {{single, 1.0}};
  read.priority = 1;
  catalog.routes.push_back(read);
  serving::route write = read;
  write.name = "write";
  write.prefix = "/write/";
  write.idempotent = false;
  catalog.routes.push_back(write);
  serving::route urgent = read;
  urgent.name = "urgent";
  urgent.prefix = "/urgent/";
  urgent.priority = 0;
  catalog.routes.push_back(urgent);
  for (const std::string& shard : shards) {
    catalog.services[shard] = {shard, connections};
  }
  catalog.services[single] = {single, connections};
  return catalog;
}

}  // namespace ibis::standins
