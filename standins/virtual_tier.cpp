#include "virtual_tier.hpp"

#include <algorithm>  // for max
#include <utility>    // for move

#include "ibis/base/hash.hpp"        // for content_hash
#include "ibis/config/manifest.hpp"  // for write_manifest
#include "ibis/wire/codec.hpp"       // for encode

namespace ibis::standins {
namespace {

constexpr base::duration leaf_link_delay = std::chrono::microseconds(100);
constexpr base::duration platform_timeout = std::chrono::milliseconds(2000);

std::string part_text_hash(const std::string& text) {
  return base::content_hash(text);
}

}  // namespace

virtual_tier::virtual_tier(std::uint64_t seed) : random(seed) {}

void virtual_tier::after(base::duration delay, std::function<void()> run) {
  queue_.push({now_ + delay, ++last_order_, std::move(run)});
}

void virtual_tier::run_for(base::duration time) {
  const base::time_point until = now_ + time;
  while (!queue_.empty() && queue_.top().at <= until) {
    const action next = queue_.top();
    queue_.pop();
    now_ = std::max(now_, next.at);
    next.run();
  }
  now_ = until;
}

std::string virtual_tier::add_node(const std::string& vm, const std::string& zone,
                                   policy::node_role role) {
  std::string name = policy::node_name(vm, role);
  virtual_node& node = nodes[name];
  node.identity.role = role;
  node.identity.vm = vm;
  node.identity.zone = zone;
  node.identity.address = name;
  for (const auto& [other, running] : nodes) {
    if (other != name) {
      node.identity.seeds.push_back(running.state.members.self);
      node.identity.seeds.back().incarnation = 0;
    }
  }
  start(node);
  return name;
}

void virtual_tier::add_vm(const std::string& vm, const std::string& zone) {
  add_node(vm, zone, policy::node_role::relay);
  add_node(vm, zone, policy::node_role::entry);
}

void virtual_tier::start(virtual_node& node) {
  node.identity.incarnation = ++incarnations_;
  node.identity.random_seed = random();
  node.state = policy::make_node(node.identity);
  node.alive = true;
  node.paused = false;
  node.finished = false;
  node.next_tick_at = {};
  if (state_initializer) {
    state_initializer(node.state);
  }
  const std::string name = node.state.members.self.node;
  carry_out(name, policy::start(node.state, now_));
  schedule_tick(name);
}

void virtual_tier::add_leaf(virtual_leaf leaf) {
  const std::string name = leaf.name;
  leafs[name] = std::move(leaf);
}

std::uint64_t virtual_tier::apply(const config::configuration& value) {
  const auto present = store.get(config::manifest_key);
  config::manifest manifest;
  manifest.generation = 1;
  if (present) {
    manifest.generation = config::read_manifest(present->value).value().generation + 1;
  }
  manifest.token = "t" + std::to_string(manifest.generation);
  manifest.author = "test";
  stored_object ignored;
  for (const auto& [name, text] : config::split_parts(value)) {
    manifest.parts[name] = part_text_hash(text);
    store.put(config::part_key(manifest.parts[name]), text, {}, ignored);
  }
  store.put(config::manifest_key, config::write_manifest(manifest), {}, ignored);
  return manifest.generation;
}

void virtual_tier::apply_without_platform(const config::configuration& value,
                                          std::uint64_t generation) {
  const auto shared = std::make_shared<const config::configuration>(value);
  for (auto& [name, node] : nodes) {
    policy::set_configuration(node.state.shared.nodes, shared, generation);
    node.state.configuration.changed = true;
    post(name, policy::tick{});
  }
}

void virtual_tier::post(const std::string& node, policy::event value) {
  after(base::duration::zero(),
        [this, node, value = std::move(value)] { deliver(node, value); });
}

base::caller_id virtual_tier::query(const std::string& entry,
                                    const std::string& service, const std::string& text,
                                    base::milliseconds timeout) {
  policy::query_received event;
  event.caller = {++next_caller_};
  event.service = service;
  event.text = text;
  event.limit = 1000;
  event.tenant = "tenant";
  event.timeout = timeout;
  post(entry, event);
  return event.caller;
}

void virtual_tier::deliver(const std::string& name, const policy::event& value) {
  const auto found = nodes.find(name);
  if (found == nodes.end() || !found->second.alive) {
    return;
  }
  virtual_node& node = found->second;
  if (node.paused) {
    node.deferred_events.push_back(value);
    return;
  }
  const auto started = std::chrono::steady_clock::now();
  const policy::effects effects = policy::reduce(node.state, value, now_);
  node.reducer_time += std::chrono::steady_clock::now() - started;
  ++node.events;
  carry_out(name, effects);
  schedule_tick(name);
}

void virtual_tier::schedule_tick(const std::string& name) {
  virtual_node& node = nodes.at(name);
  const auto due = node.state.shared.timers.next_due();
  if (!due || (node.next_tick_at > now_ && node.next_tick_at <= *due)) {
    return;
  }
  node.next_tick_at = std::max(*due, now_);
  const base::time_point next_tick_at = node.next_tick_at;
  after(next_tick_at - now_, [this, name, next_tick_at] {
    virtual_node& owner = nodes.at(name);
    if (owner.next_tick_at != next_tick_at) {
      return;
    }
    owner.next_tick_at = {};
    const auto since_start = std::chrono::duration_cast<base::milliseconds>(
        now_.time_since_epoch() - std::chrono::hours(1));
    deliver(name, policy::tick{unix_start_ + since_start});
  });
}

void virtual_tier::kill(const std::string& name, bool silently) {
  nodes.at(name).alive = false;
  for (auto& [leaf_name, leaf] : leafs) {
    for (auto item = leaf.connections.begin(); item != leaf.connections.end();) {
      item = item->second == name ? leaf.connections.erase(item) : std::next(item);
    }
  }
  for (const auto& [other, node] : nodes) {
    if (other != name && node.alive && !silently) {
      after(link_delay(name, other), [this, other = other, name] {
        deliver(other, policy::peer_connection_lost{name});
      });
    }
  }
}

void virtual_tier::pause(const std::string& node) {
  nodes.at(node).paused = true;
}

void virtual_tier::resume(const std::string& name) {
  virtual_node& node = nodes.at(name);
  node.paused = false;
  std::vector<policy::event> deferred_events = std::move(node.deferred_events);
  node.deferred_events.clear();
  for (const policy::event& value : deferred_events) {
    deliver(name, value);
  }
}

void virtual_tier::restart(const std::string& name) {
  virtual_node& node = nodes.at(name);
  node.deferred_events.clear();
  start(node);
}

base::duration virtual_tier::link_delay(const std::string& from,
                                        const std::string& to) {
  std::uniform_int_distribution<base::duration::rep> delay_distribution(
      links.min_delay.count(), links.max_delay.count());
  const base::duration delay(delay_distribution(random));
  const bool same_zone = nodes.at(from).identity.zone == nodes.at(to).identity.zone;
  return same_zone ? delay : delay + links.cross_zone_delay;
}

const received_answer* virtual_tier::find_answer(base::caller_id caller) const {
  for (const received_answer& received : answers) {
    if (received.caller == caller) {
      return &received;
    }
  }
  return nullptr;
}

void virtual_tier::carry_out(const std::string& from, const policy::effects& effects) {
  for (const policy::effect& effect : effects) {
    if (effect_observer) {
      effect_observer(from, effect);
    }
    std::visit([&](const auto& value) { on(from, value); }, effect);
  }
}

void virtual_tier::on(const std::string& from, const policy::answer_caller& effect) {
  answers.push_back({from, effect.caller, effect.answer, now_});
}

void virtual_tier::on(const std::string& from, const policy::send_message& effect) {
  const bool control = effect.channel == wire::channel::control;
  if (control) {
    virtual_node& sender = nodes.at(from);
    sender.control_bytes += wire::encode(effect.body).size();
    ++sender.control_messages;
  }
  const auto target = nodes.find(effect.node);
  if (target == nodes.end() || !target->second.alive) {
    after(leaf_link_delay, [this, from, effect] {
      deliver(from, policy::message_undeliverable{effect.node, effect.body});
    });
    return;
  }
  std::uniform_real_distribution<double> fraction(0.0, 1.0);
  const bool is_partitioned =
      links.is_partitioned && links.is_partitioned(from, effect.node);
  if (is_partitioned || (control && fraction(random) < links.loss)) {
    return;
  }
  const int copies = fraction(random) < links.duplicate ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    after(link_delay(from, effect.node), [this, from, effect] {
      deliver(effect.node, policy::message_received{from, effect.body});
    });
  }
}

void virtual_tier::on(const std::string& /*from*/,
                      const policy::reset_peer_connections& /*effect*/) {}

void virtual_tier::on(const std::string& from, const policy::open_connection& effect) {
  const auto found = leafs.find(effect.leaf);
  const bool refused =
      found == leafs.end() || found->second.dead ||
      found->second.connections.size() >= found->second.connection_limit;
  if (refused) {
    after(leaf_link_delay, [this, from, effect] {
      deliver(from, policy::connection_failed{effect.connection, "refused"});
    });
    return;
  }
  virtual_leaf& leaf = found->second;
  leaf.connections[effect.connection] = from;
  leaf.peak_connections = std::max(leaf.peak_connections, leaf.connections.size());
  leaf_of_connection_[effect.connection] = effect.leaf;
  after(leaf.connection_setup, [this, from, effect] {
    const virtual_leaf& opened = leafs.at(effect.leaf);
    if (opened.dead) {
      deliver(from, policy::connection_failed{effect.connection, "dead"});
    } else if (!opened.unresponsive) {
      deliver(from, policy::connection_opened{effect.connection, status_of(opened)});
    }
  });
}

void virtual_tier::on(const std::string& /*from*/,
                      const policy::close_connection& effect) {
  const auto leaf = leaf_of_connection_.find(effect.connection);
  if (leaf != leaf_of_connection_.end()) {
    leafs.at(leaf->second).connections.erase(effect.connection);
  }
}

void virtual_tier::on(const std::string& from,
                      const policy::send_leaf_request& effect) {
  const std::string name = leaf_of_connection_.at(effect.connection);
  after(leaf_link_delay, [this, from, effect, name] {
    virtual_leaf& leaf = leafs.at(name);
    const bool refused = leaf.dead || leaf.connections.count(effect.connection) == 0;
    if (refused) {
      deliver(from, policy::attempt_lost{effect.attempt, true});
      return;
    }
    if (leaf.unresponsive || leaf.silent_connections.count(effect.connection) != 0) {
      return;
    }
    if (const auto outcome = find_refusal(leaf, effect)) {
      leaf.shed += *outcome == policy::leaf_outcome::shed ? 1 : 0;
      policy::leaf_replied reply;
      reply.attempt = effect.attempt;
      reply.outcome = *outcome;
      reply.status = status_of(leaf);
      after(leaf_link_delay, [this, from, reply] { deliver(from, reply); });
      return;
    }
    if (leaf.busy >= leaf.slots) {
      leaf.waiting.push_back({from, effect});
      return;
    }
    run_on_leaf(leaf, from, effect);
  });
}

void virtual_tier::run_on_leaf(virtual_leaf& leaf, const std::string& node,
                               const policy::send_leaf_request& request) {
  ++leaf.busy;
  ++leaf.started_requests;
  leaf.last_started = now_;
  leaf.running[request.attempt] = node;
  if (request.kind == wire::request_kind::submit) {
    ++leaf.runs[request.idempotency_key];
  } else {
    ++leaf.runs_by_query[request.query];
  }
  after(leaf.service_time(random), [this, name = leaf.name, node, request] {
    finish_on_leaf(name, node, request);
  });
}

void virtual_tier::finish_on_leaf(const std::string& name, const std::string& node,
                                  const policy::send_leaf_request& request) {
  virtual_leaf& leaf = leafs.at(name);
  if (leaf.running.erase(request.attempt) == 0) {
    return;  // The request was cancelled.
  }
  --leaf.busy;
  if (leaf.dead) {
    deliver(node, policy::attempt_lost{request.attempt, true});
    return;
  }
  const policy::leaf_replied reply = make_reply(leaf, request);
  if (!leaf.unresponsive && leaf.silent_connections.count(request.connection) == 0) {
    after(leaf_link_delay, [this, node, reply] { deliver(node, reply); });
  }
  if (!leaf.waiting.empty()) {
    const virtual_leaf::waiting_request next = leaf.waiting.front();
    leaf.waiting.pop_front();
    run_on_leaf(leaf, next.node, next.request);
  }
}

void virtual_tier::on(const std::string& from,
                      const policy::cancel_leaf_request& effect) {
  after(leaf_link_delay, [this, from, effect] {
    virtual_leaf& leaf = leafs.at(effect.leaf);
    policy::leaf_replied reply;
    reply.attempt = effect.attempt;
    reply.outcome = policy::leaf_outcome::cancelled;
    reply.status = status_of(leaf);
    if (leaf.dead || leaf.unresponsive) {
      return;
    }
    if (leaf.running.erase(effect.attempt) > 0) {
      --leaf.busy;
      after(leaf_link_delay, [this, from, reply] { deliver(from, reply); });
      if (!leaf.waiting.empty()) {
        const virtual_leaf::waiting_request next = leaf.waiting.front();
        leaf.waiting.pop_front();
        run_on_leaf(leaf, next.node, next.request);
      }
      return;
    }
    for (auto item = leaf.waiting.begin(); item != leaf.waiting.end(); ++item) {
      if (item->request.attempt == effect.attempt) {
        leaf.waiting.erase(item);
        after(leaf_link_delay, [this, from, reply] { deliver(from, reply); });
        return;
      }
    }
  });
}

void virtual_tier::on(const std::string& from, const policy::poll_status& effect) {
  after(leaf_link_delay, [this, from, effect] {
    const auto leaf = leafs.find(effect.leaf);
    if (leaf == leafs.end() || leaf->second.dead || leaf->second.unresponsive) {
      deliver(from, policy::status_polled{effect.leaf, std::nullopt});
      return;
    }
    deliver(from, policy::status_polled{effect.leaf, status_of(leaf->second)});
  });
}

void virtual_tier::on(const std::string& /*from*/,
                      const policy::close_control_connection& /*effect*/) {}

policy::platform_replied virtual_tier::call_store(const policy::call_platform& call) {
  using policy::platform_outcome;
  using policy::platform_verb;
  policy::platform_replied reply{call.call, platform_outcome::ok, {}};
  const auto add = [&](const stored_object& object) {
    reply.objects.push_back({object.key, object.version, object.value});
  };
  if (call.verb == platform_verb::list) {
    for (const stored_object& object : store.list(call.key, 200)) {
      add(object);
    }
    return reply;
  }
  if (call.verb == platform_verb::get || call.verb == platform_verb::watch) {
    auto object = store.get(call.key);
    if (platform.stale_reads > 0 && store.get_previous(call.key)) {
      --platform.stale_reads;
      object = store.get_previous(call.key);
    }
    if (object) {
      add(*object);
    }
    reply.outcome = object ? platform_outcome::ok : platform_outcome::not_found;
    return reply;
  }
  write_condition condition;
  condition.must_be_absent = call.verb == platform_verb::create;
  if (call.verb == platform_verb::update || call.verb == platform_verb::remove) {
    condition.version = call.expected_version;
  }
  stored_object present;
  const write_outcome outcome =
      call.verb == platform_verb::remove
          ? store.remove(call.key, condition)
          : store.put(call.key, call.value, condition, present);
  add(present);
  if (outcome != write_outcome::ok) {
    reply.outcome = platform_outcome::conflict;
  }
  if (platform.lose_replies > 0) {
    --platform.lose_replies;
    return {call.call, platform_outcome::unavailable, {}};
  }
  return reply;
}

void virtual_tier::on(const std::string& from, const policy::call_platform& effect) {
  ++platform.calls;
  const auto answer = [this, from](policy::platform_replied reply) {
    deliver(from, std::move(reply));
  };
  if (platform.down) {
    after(platform_timeout, [answer, effect] {
      answer({effect.call, policy::platform_outcome::unavailable, {}});
    });
    return;
  }
  if (effect.verb == policy::platform_verb::watch) {
    const auto present = store.get(effect.key);
    const bool newer = present && present->version > effect.expected_version;
    if (!newer || platform.watches_miss_updates) {
      // The simulated long poll checks the store every 20 ms until it times out.
      const base::duration step = std::chrono::milliseconds(20);
      const bool timed_out = effect.timeout <= step;
      after(std::min<base::duration>(step, effect.timeout),
            [this, from, effect, timed_out, step] {
              policy::call_platform next_poll = effect;
              next_poll.timeout = effect.timeout - step;
              --platform.calls;
              if (timed_out) {
                deliver(from, policy::platform_replied{
                                  effect.call, policy::platform_outcome::ok, {}});
                ++platform.calls;
                return;
              }
              on(from, next_poll);
            });
      return;
    }
  }
  after(platform.delay, [this, answer, effect] {
    if (platform.down) {
      answer({effect.call, policy::platform_outcome::unavailable, {}});
      return;
    }
    answer(call_store(effect));
  });
}

void virtual_tier::on(const std::string& /*from*/,
                      const policy::configuration_applied& /*effect*/) {}

void virtual_tier::on(const std::string& /*from*/, const policy::log_line& /*effect*/) {
}

void virtual_tier::on(const std::string& from, const policy::finish_process& effect) {
  virtual_node& node = nodes.at(from);
  node.finished = true;
  node.aborted_requests = effect.aborted_requests;
  after(base::duration::zero(), [this, from] { kill(from); });
}

}  // namespace ibis::standins
