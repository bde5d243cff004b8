#include "ibis/runtime/node_runner.hpp"

#include <asio/executor_work_guard.hpp>  // for make_work_guard
#include <asio/io_context.hpp>           // for io_context
#include <asio/post.hpp>                 // for post
#include <asio/signal_set.hpp>           // for signal_set
#include <atomic>                        // for atomic
#include <csignal>                       // for SIGTERM
#include <deque>                         // for deque
#include <future>                        // for promise
#include <mutex>                         // for mutex
#include <random>                        // for random_device
#include <unordered_map>                 // for unordered_map
#include <utility>                       // for move

#include "ibis/runtime/leaf_client.hpp"      // for leaf_client
#include "ibis/runtime/log.hpp"              // for write_log
#include "ibis/runtime/metrics.hpp"          // for write_metrics
#include "ibis/runtime/peer_transport.hpp"   // for peer_transport
#include "ibis/runtime/platform_client.hpp"  // for platform_client
#include "ibis/runtime/steady_timer.hpp"     // for steady_timer

namespace ibis::runtime {
namespace {

using policy::node_role;

void add_seed(std::vector<wire::member>& seeds, const config::seed& seed,
              node_role role, const std::string& address) {
  if (address.empty()) {
    return;
  }
  seeds.push_back({policy::node_name(seed.vm, role), seed.vm, seed.zone,
                   std::string(policy::to_string(role)), address, "", 0,
                   wire::member_status::alive});
}

policy::node_identity make_identity(const config::process_settings& settings,
                                    node_role role, const std::string& address,
                                    const std::string& http) {
  policy::node_identity identity;
  identity.http = http;
  identity.role = role;
  identity.vm = settings.vm;
  identity.zone = settings.zone;
  identity.address = address;
  identity.incarnation = static_cast<std::uint64_t>(base::unix_now().count());
  identity.random_seed = std::random_device{}();
  for (const config::seed& seed : settings.seeds) {
    add_seed(identity.seeds, seed, node_role::entry, seed.entry);
    add_seed(identity.seeds, seed, node_role::relay, seed.relay);
  }
  return identity;
}

}  // namespace

struct node_runner::state {
  config::process_settings settings;
  node_role role;
  asio::io_context io{1};
  policy::node_state node;
  steady_timer timer{io};
  asio::signal_set signals{io};
  std::unique_ptr<peer_transport> peers;
  std::unique_ptr<leaf_client> leafs;
  std::unique_ptr<platform_client> platform;
  answer_metrics answers;
  std::deque<policy::event> pending_events;  ///< In order; effects may add events.
  bool is_reducing = false;
  std::size_t aborted_requests = 0;
  std::function<void()> on_finish;
  std::atomic<std::uint64_t> next_caller{1};
  std::mutex callers_mutex;
  std::unordered_map<base::caller_id, answer_callback> callers;

  state(config::process_settings own_settings, node_role own_role)
      : settings(std::move(own_settings)), role(own_role) {}

  void post(policy::event value) {
    asio::post(io, [this, value = std::move(value)]() mutable {
      process_event(std::move(value));
    });
  }

  /// Reduces an event and carries out its effects. Events that the effects give rise to
  /// are processed afterwards, not recursively.
  void process_event(policy::event value) {
    pending_events.push_back(std::move(value));
    if (is_reducing) {
      return;
    }
    is_reducing = true;
    while (!pending_events.empty()) {
      const policy::event next = std::move(pending_events.front());
      pending_events.pop_front();
      carry_out(policy::reduce(node, next, base::clock::now()));
    }
    is_reducing = false;
    arm_timer();
  }

  void arm_timer() {
    const auto due = node.shared.timers.next_due();
    if (!due) {
      return;
    }
    timer.expires_at(*due);
    timer.async_wait([this](const asio::error_code& failure) {
      if (!failure) {
        process_event(policy::tick{base::unix_now()});
      }
    });
  }

  void carry_out(policy::effects effects) {
    for (policy::effect& effect : effects) {
      std::visit([this](auto& value) { carry_out(value); }, effect);
    }
  }

  void carry_out(policy::answer_caller& effect) {
    record_answer(answers, effect.answer);
    answer_callback callback;
    {
      const std::lock_guard lock(callers_mutex);
      const auto found = callers.find(effect.caller);
      if (found == callers.end()) {
        return;
      }
      callback = std::move(found->second);
      callers.erase(found);
    }
    callback(std::move(effect.answer));
  }
  void carry_out(policy::send_message& effect) {
    peers->send(effect.node, effect.channel, effect.address, std::move(effect.body));
  }
  void carry_out(policy::reset_peer_connections& effect) {
    peers->reset(effect.node, effect.channel);
  }
  void carry_out(policy::open_connection& effect) { leafs->open(effect); }
  void carry_out(policy::close_connection& effect) { leafs->close(effect.connection); }
  void carry_out(policy::send_leaf_request& effect) { leafs->send(effect); }
  void carry_out(policy::cancel_leaf_request& effect) { leafs->cancel(effect); }
  void carry_out(policy::poll_status& effect) { leafs->poll(effect); }
  void carry_out(policy::close_control_connection& effect) {
    leafs->close_control(effect.leaf);
  }
  void carry_out(policy::call_platform& effect) { platform->call(std::move(effect)); }
  void carry_out(policy::configuration_applied& effect) {
    write_log({policy::log_level::info,
               "configuration in force",
               {{"generation", std::to_string(effect.generation)}}});
  }
  void carry_out(policy::log_line& effect) { write_log(effect); }
  void carry_out(policy::finish_process& effect) {
    aborted_requests = effect.aborted_requests;
    write_log({effect.aborted_requests == 0 ? policy::log_level::info
                                            : policy::log_level::warning,
               "process stops",
               {{"cut_requests", std::to_string(effect.aborted_requests)}}});
    answer_aborted_callers();
    on_finish();
  }

  /// Answers the callers of aborted requests, whose outcome is unknown.
  void answer_aborted_callers() {
    std::unordered_map<base::caller_id, answer_callback> remaining;
    {
      const std::lock_guard lock(callers_mutex);
      remaining.swap(callers);
    }
    for (const auto& [caller, callback] : remaining) {
      policy::answer answer;
      answer.outcome = policy::outcome::unknown;
      answer.reason = "the process was stopped before the request ended";
      callback(std::move(answer));
    }
  }

  void wait_for_signal() {
    signals.async_wait([this](const asio::error_code& failure, int /*signal*/) {
      if (failure) {
        return;
      }
      write_log({policy::log_level::info, "stop requested", {}});
      process_event(policy::stop_requested{});
      wait_for_signal();
    });
  }

  peer_hooks make_peer_hooks() {
    return {[this](const std::string& from, wire::message body) {
              process_event(policy::message_received{from, std::move(body)});
            },
            [this](const std::string& to, wire::message body) {
              process_event(policy::message_undeliverable{to, std::move(body)});
            },
            [this](const std::string& lost) {
              process_event(policy::peer_connection_lost{lost});
            },
            [](const base::error& problem) { log_error(problem); }};
  }

  void shut_down() {
    if (leafs) {
      leafs->stop();
    }
    if (platform) {
      platform->stop();
    }
    if (peers) {
      peers->close();
    }
  }
};

node_runner::node_runner(const config::process_settings& settings, node_role role)
    : state_(std::make_unique<state>(settings, role)) {
  state_->peers = std::make_unique<peer_transport>(
      state_->io,
      wire::hello{policy::node_name(settings.vm, role), settings.vm, settings.zone,
                  std::string(policy::to_string(role)), "", wire::channel::data},
      state_->make_peer_hooks());
  const auto post_to_reducer = [this](policy::event value) { post(std::move(value)); };
  state_->leafs = std::make_unique<leaf_client>(state_->io, post_to_reducer);
  state_->platform =
      std::make_unique<platform_client>(settings.platform, post_to_reducer);
}

node_runner::~node_runner() {
  state_->shut_down();
}

base::result<std::string> node_runner::listen(const std::string& http) {
  const config::process_settings& settings = state_->settings;
  const std::uint32_t port =
      state_->role == node_role::entry ? settings.entry_port : settings.relay_port;
  auto address = state_->peers->listen(settings.ip + ':' + std::to_string(port));
  if (!address) {
    return address.error();
  }
  state_->node =
      policy::make_node(make_identity(settings, state_->role, address.value(), http));
  state_->node.stop.tuning.handover = settings.stop_handover;
  state_->node.stop.tuning.limit = settings.stop_limit;
  state_->node.queries.tuning.max_in_flight = settings.max_in_flight;
  return address;
}

std::size_t node_runner::run(std::function<void()> on_finish) {
  state_->on_finish = std::move(on_finish);
  state_->signals.add(SIGTERM);
  state_->signals.add(SIGINT);
  state_->wait_for_signal();
  state_->carry_out(policy::start(state_->node, base::clock::now()));
  state_->node.unix_time = base::unix_now();
  state_->arm_timer();
  const auto guard = asio::make_work_guard(state_->io);
  state_->io.run();
  return state_->aborted_requests;
}

void node_runner::stop() {
  state_->io.stop();
}

void node_runner::post(policy::event value) {
  state_->post(std::move(value));
}

base::caller_id node_runner::register_caller(answer_callback callback) {
  const base::caller_id id{state_->next_caller.fetch_add(1)};
  const std::lock_guard lock(state_->callers_mutex);
  state_->callers[id] = std::move(callback);
  return id;
}

std::string node_runner::inspect(
    const std::function<std::string(const policy::node_state&)>& read) {
  const auto done = std::make_shared<std::promise<std::string>>();
  auto result = done->get_future();
  asio::post(state_->io, [this, done, read] { done->set_value(read(state_->node)); });
  constexpr base::milliseconds response_timeout{1000};
  if (result.wait_for(response_timeout) != std::future_status::ready) {
    return {};
  }
  return result.get();
}

std::string node_runner::metrics() {
  return inspect([this](const policy::node_state& node) {
    return write_metrics(state_->answers, node, state_->peers->traffic());
  });
}

std::string node_runner::status() {
  return inspect([this](const policy::node_state& node) {
    return write_status(node, state_->peers->traffic());
  });
}

policy::readiness node_runner::ready() {
  const std::string reason = inspect([](const policy::node_state& node) {
    const policy::readiness found = policy::check_readiness(node);
    return found.ready ? std::string("ready") : found.reason;
  });
  if (reason == "ready") {
    return {true, ""};
  }
  return {false, reason.empty() ? "the process does not respond" : reason};
}

}  // namespace ibis::runtime
