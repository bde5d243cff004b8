#include "ibis/reactor/node_loop.hpp"

#include <asio/post.hpp>  // for post
#include <csignal>        // for SIGTERM
#include <functional>     // for hash
#include <future>         // for promise
#include <utility>        // for move
#include <variant>        // for get_if, visit
#include <vector>         // for vector

#include "ibis/reactor/node_log.hpp"  // for write_log, flush_log
#include "ibis/runtime/address.hpp"   // for to_endpoint

namespace ibis::reactor {
namespace {

constexpr int accept_backlog = 1024;
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;
constexpr std::chrono::milliseconds sweep_period{500};
constexpr std::size_t sweeps_between_reloads = 4;
constexpr std::chrono::milliseconds unregister_wait{300};

http::response text_response(unsigned status, std::string body) {
  http::response value;
  value.status = status;
  value.fields.push_back({"Content-Type", "text/plain"});
  value.body = std::move(body);
  return value;
}

std::uint32_t make_random_seed(const std::string& node) {
  const auto time = base::clock::now().time_since_epoch().count();
  return static_cast<std::uint32_t>(std::hash<std::string>{}(node) ^
                                    static_cast<std::size_t>(time));
}

}  // namespace

node_loop::node_loop(process_settings settings, protocol platform_protocol,
                     reload_callback reload_settings)
    : settings_(std::move(settings)),
      protocol_(std::move(platform_protocol)),
      reload_settings_(std::move(reload_settings)),
      node_(serving::make_node(settings_.serving, make_random_seed(settings_.node))),
      timer_(io_),
      sweep_timer_(io_),
      signals_(io_),
      client_listener_(io_),
      readiness_listener_(io_),
      metrics_listener_(io_) {
  set_hooks();
}

void node_loop::set_hooks() {
  const auto limits = [this] {
    return node_.configuration ? node_.configuration->limits : serving::client_limits{};
  };
  for (listener* target :
       {&client_listener_, &readiness_listener_, &metrics_listener_}) {
    target->hooks.limits = limits;
    target->hooks.on_client_disconnected = [](server_session&) {};
    target->hooks.on_closed = [target](server_session& session) {
      target->sessions.erase(session.shared_from_this());
    };
  }
  client_listener_.hooks.on_request =
      [this](const std::shared_ptr<server_session>& session, http::request&& value) {
        on_client_request(session, std::move(value));
      };
  client_listener_.hooks.on_client_disconnected = [this](server_session& session) {
    const auto found = callers_by_session_.find(&session);
    if (found != callers_by_session_.end()) {
      const base::caller_id caller = found->second;
      callers_by_session_.erase(found);
      sessions_by_caller_.erase(caller);
      dispatch_event(serving::caller_disconnected{caller});
    }
  };
  readiness_listener_.hooks.on_request =
      [this](const std::shared_ptr<server_session>& session,
             const http::request& value) {
        session->answer(make_readiness_response(value));
      };
  metrics_listener_.hooks.on_request =
      [this](const std::shared_ptr<server_session>& session, const http::request&) {
        session->answer(make_metrics_response());
      };
}

base::result<void> node_loop::bind(listener& target, const std::string& address) {
  const auto endpoint = runtime::to_endpoint(address);
  if (!endpoint) {
    return endpoint.error();
  }
  asio::error_code ec;
  target.acceptor.open(endpoint.value().protocol(), ec);
  if (!ec) {
    target.acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  }
  if (!ec) {
    target.acceptor.bind(endpoint.value(), ec);
  }
  if (!ec) {
    target.acceptor.listen(accept_backlog, ec);
  }
  if (ec) {
    return base::error{base::error_code::unavailable, "listen", address, ec.message()};
  }
  accept(target);
  return boost::outcome_v2::success();
}

base::result<void> node_loop::start_peer_link() {
  peers_ = std::make_unique<peer_link>(
      io_, settings_.node, protocol_,
      [this](serving::event value) { dispatch_event(std::move(value)); });
  if (settings_.peer_address.empty()) {
    return boost::outcome_v2::success();
  }
  const auto bound = peers_->listen(settings_.peer_address);
  if (!bound) {
    return bound.error();
  }
  peer_address_ = bound.value();
  return boost::outcome_v2::success();
}

base::result<void> node_loop::open() {
  const auto store = runtime::to_endpoint(settings_.store_address);
  if (!store) {
    return store.error();
  }
  store_ = std::make_unique<store_client>(
      io_, store.value(), protocol_,
      [this](serving::event value) { dispatch_event(std::move(value)); });
  if (auto bound = bind(client_listener_, settings_.client_address); !bound) {
    return bound.error();
  }
  if (auto bound = bind(readiness_listener_, settings_.readiness_address); !bound) {
    return bound.error();
  }
  if (auto bound = start_peer_link(); !bound) {
    return bound.error();
  }
  if (!settings_.metrics_address.empty()) {
    if (auto bound = bind(metrics_listener_, settings_.metrics_address); !bound) {
      return bound.error();
    }
  }
  return boost::outcome_v2::success();
}

void node_loop::request_stop() {
  asio::post(io_, [this] { dispatch_event(serving::stop_requested{}); });
}

std::uint64_t node_loop::configuration_version() {
  std::promise<std::uint64_t> version;
  asio::post(io_, [this, &version] {
    version.set_value(node_.configuration ? node_.configuration->version : 0);
  });
  return version.get_future().get();
}

std::string node_loop::client_address() const {
  return runtime::to_text(client_listener_.acceptor.local_endpoint());
}

std::string node_loop::readiness_address() const {
  return runtime::to_text(readiness_listener_.acceptor.local_endpoint());
}

std::string node_loop::metrics_address() const {
  if (!metrics_listener_.acceptor.is_open()) {
    return {};
  }
  return runtime::to_text(metrics_listener_.acceptor.local_endpoint());
}

void node_loop::accept(listener& target) {
  target.acceptor.async_accept(
      [this, &target](const asio::error_code& ec, asio::ip::tcp::socket socket) {
        if (!target.acceptor.is_open()) {
          return;
        }
        if (ec) {
          write_log({"accept_failed", true, {{"detail", ec.message()}}});
          accept_later(target);
          return;
        }
        const auto session =
            std::make_shared<server_session>(std::move(socket), target.hooks);
        target.sessions.insert(session);
        session->start();
        accept(target);
      });
}

void node_loop::accept_later(listener& target) {
  // An error such as a lack of descriptors would return at once.
  constexpr std::chrono::milliseconds delay{100};
  target.retry_timer.expires_after(delay);
  target.retry_timer.async_wait([this, &target](const asio::error_code& ec) {
    if (!ec && target.acceptor.is_open()) {
      accept(target);
    }
  });
}

void node_loop::on_client_request(const std::shared_ptr<server_session>& session,
                                  http::request&& value) {
  const base::caller_id caller{++last_caller_id_};
  sessions_by_caller_.emplace(caller, session);
  callers_by_session_[session.get()] = caller;
  dispatch_event(
      serving::request_arrived{caller,
                               std::make_shared<serving::inbound_request>(
                                   protocol_.decode_request(std::move(value))),
                               session->request_count() == 1});
}

http::response node_loop::make_readiness_response(const http::request& value) {
  if (value.target != protocol_.readiness_path) {
    return text_response(status_not_found, "no such page\n");
  }
  const serving::readiness now = serving::check_readiness(node_, base::clock::now());
  return now.ready ? text_response(status_ok, "ready\n")
                   : text_response(status_unavailable, std::string(now.reason) + '\n');
}

http::response node_loop::make_metrics_response() {
  turns_.name_turn("metrics");
  return text_response(status_ok,
                       format_metrics(metrics_, turns_, node_, base::clock::now()));
}

void node_loop::dispatch_event(serving::event value) {
  turns_.name_turn(serving::event_name(value));
  event_queue_.push_back(std::move(value));
  if (draining_queue_) {
    return;
  }
  draining_queue_ = true;
  while (!event_queue_.empty()) {
    const serving::event next = std::move(event_queue_.front());
    event_queue_.pop_front();
    serving::effects effects = serving::reduce(node_, next, base::clock::now());
    execute(effects);
  }
  draining_queue_ = false;
  arm_timer();
}

void node_loop::execute(serving::effects& effects) {
  for (serving::effect& effect : effects) {
    execute(effect);
  }
}

bool node_loop::execute_shards_effect(const serving::effect& effect) {
  if (const auto* request = std::get_if<serving::request_shards>(&effect)) {
    peers_->send_shards_request(*request);
  } else if (const auto* reply = std::get_if<serving::reply_shards>(&effect)) {
    peers_->send_shards_reply(*reply);
  } else if (const auto* cancel = std::get_if<serving::cancel_shards>(&effect)) {
    peers_->send_cancel(*cancel);
  } else if (const auto* tokens = std::get_if<serving::request_quota>(&effect)) {
    peers_->send_quota_request(*tokens);
  } else if (const auto* grant = std::get_if<serving::grant_quota>(&effect)) {
    peers_->send_quota_grant(*grant);
  } else if (const auto* connect = std::get_if<serving::connect_peer>(&effect)) {
    peers_->connect(*connect);
  } else if (const auto* reset =
                 std::get_if<serving::reset_holder_connection>(&effect)) {
    peers_->reset_connection(*reset);
  } else {
    return false;
  }
  return true;
}

bool node_loop::execute_store_or_peer_effect(const serving::effect& effect) {
  if (const auto* list = std::get_if<serving::list_topic>(&effect)) {
    store_->list(*list);
  } else if (const auto* watch = std::get_if<serving::watch_topic>(&effect)) {
    store_->watch(*watch);
  } else if (const auto* cancel = std::get_if<serving::cancel_store_call>(&effect)) {
    store_->cancel(cancel->topic);
  } else if (const auto* probe = std::get_if<serving::probe_store>(&effect)) {
    store_->probe(*probe);
  } else if (const auto* query = std::get_if<serving::query_peer>(&effect)) {
    peers_->send_query(*query);
  } else if (const auto* reply = std::get_if<serving::reply_to_peer>(&effect)) {
    peers_->send_reply(*reply);
  } else if (const auto* reset = std::get_if<serving::reset_peer_connection>(&effect)) {
    peers_->reset_connection(*reset);
  } else if (const auto* record = std::get_if<serving::register_node>(&effect)) {
    store_->register_node(*record, peer_address_);
  } else if (const auto* count = std::get_if<serving::count_nodes>(&effect)) {
    store_->count_nodes(*count);
  } else if (std::holds_alternative<serving::unregister_node>(effect)) {
    store_->unregister_node([] {});
  } else {
    return false;
  }
  return true;
}

void node_loop::execute(serving::effect& effect) {
  if (execute_store_or_peer_effect(effect) || execute_shards_effect(effect)) {
    return;
  }
  if (auto* answered = std::get_if<serving::answer_caller>(&effect)) {
    answer(*answered);
  } else if (const auto* sent = std::get_if<serving::send_to_leaf>(&effect)) {
    const auto found = leaf_connections_.find(sent->connection);
    if (found != leaf_connections_.end()) {
      found->second->send(*sent);
    }
  } else if (const auto* opened = std::get_if<serving::open_connection>(&effect)) {
    open_leaf_connection(*opened);
  } else if (const auto* closed = std::get_if<serving::close_connection>(&effect)) {
    close_leaf_connection(closed->connection);
  } else if (const auto* line = std::get_if<serving::log_line>(&effect)) {
    write_log(*line);
  } else if (const auto* ended = std::get_if<serving::record_request_end>(&effect)) {
    record(metrics_, *ended);
  } else if (std::holds_alternative<serving::stop_accepting>(effect)) {
    stop_accepting();
  } else if (const auto* done = std::get_if<serving::finish_process>(&effect)) {
    schedule_exit(done->aborted_requests);
  }
}

void node_loop::answer(serving::answer_caller& effect) {
  const auto found = sessions_by_caller_.find(effect.caller);
  if (found == sessions_by_caller_.end()) {
    return;
  }
  const std::shared_ptr<server_session> session = std::move(found->second);
  sessions_by_caller_.erase(found);
  callers_by_session_.erase(session.get());
  session->answer(protocol_.encode_answer(effect.answer));
}

void node_loop::open_leaf_connection(const serving::open_connection& effect) {
  const auto endpoint = runtime::to_endpoint(effect.address);
  if (!endpoint) {
    dispatch_event(serving::connection_failed{effect.connection,
                                              base::describe(endpoint.error())});
    return;
  }
  const base::connection_id id = effect.connection;
  const auto connection = std::make_shared<leaf_connection>(
      io_, id, protocol_, [this, id](serving::event value) {
        const auto* answered = std::get_if<serving::leaf_answered>(&value);
        const bool connection_ended =
            std::holds_alternative<serving::connection_lost>(value) ||
            std::holds_alternative<serving::connection_failed>(value) ||
            (answered != nullptr && !answered->reusable);
        if (connection_ended) {
          leaf_connections_.erase(id);
        }
        dispatch_event(std::move(value));
      });
  leaf_connections_.emplace(id, connection);
  connection->open(endpoint.value());
}

void node_loop::close_leaf_connection(base::connection_id id) {
  const auto found = leaf_connections_.find(id);
  if (found != leaf_connections_.end()) {
    found->second->close();
    leaf_connections_.erase(found);
  }
}

void node_loop::stop_accepting() {
  asio::error_code ignored;  // The acceptor is not used again in any case.
  client_listener_.acceptor.close(ignored);
  const auto sessions = client_listener_.sessions;
  for (const auto& session : sessions) {
    session->close_if_idle();
  }
}

void node_loop::schedule_exit(std::size_t unanswered) {
  unanswered_requests_ = unanswered;
  // The last responses have been passed to the kernel. The short wait also lets the
  // store respond to the unregister call.
  timer_.expires_after(unregister_wait);
  timer_.async_wait([this](const asio::error_code& /*ec*/) { io_.stop(); });
}

void node_loop::arm_timer() {
  const auto next = serving::next_tick(node_);
  if (!next || node_.stop.finished || (timer_armed_ && timer_due_at_ <= *next)) {
    return;
  }
  timer_armed_ = true;
  timer_due_at_ = *next;
  // The timer fires this much late, so that deadlines within this time of each other
  // share one wake-up.
  constexpr base::microseconds timer_coalescing{500};
  const auto wait = *next - base::clock::now() + timer_coalescing;
  timer_.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(wait));
  timer_.async_wait([this](const asio::error_code& ec) {
    if (ec) {
      return;
    }
    // Handlers of data that has arrived are queued by now. They run first, so that a
    // process that was stalled does not take its peers for late.
    asio::post(io_, [this] {
      timer_armed_ = false;
      dispatch_event(serving::tick{});
    });
  });
}

void node_loop::wait_for_signals() {
  signals_.async_wait([this](const asio::error_code& ec, int signal) {
    if (ec) {
      return;
    }
    if (signal == SIGHUP) {
      reload_settings(true);
    } else {
      dispatch_event(serving::stop_requested{});
    }
    wait_for_signals();
  });
}

void node_loop::reload_settings(bool forced) {
  if (auto new_settings = reload_settings_(forced)) {
    dispatch_event(serving::settings_changed{std::move(*new_settings)});
  }
}

void node_loop::sweep() {
  turns_.name_turn("sweep");
  if (++sweep_count_ % sweeps_between_reloads == 0) {
    reload_settings(false);
  }
  const base::time_point now = base::clock::now();
  for (listener* target :
       {&client_listener_, &readiness_listener_, &metrics_listener_}) {
    const std::vector<std::shared_ptr<server_session>> sessions(
        target->sessions.begin(), target->sessions.end());
    for (const auto& session : sessions) {
      session->enforce_timeouts(now);
    }
  }
  flush_log();
  sweep_timer_.expires_after(sweep_period);
  sweep_timer_.async_wait([this](const asio::error_code& ec) {
    if (!ec) {
      sweep();
    }
  });
}

void node_loop::run_turns() {
  while (io_.run_one() > 0) {
    const auto line = turns_.end_turn(thread_processor_time(), base::clock::now());
    if (line) {
      write_log(*line);
    }
  }
}

std::size_t node_loop::run() {
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  signals_.add(SIGHUP);
  wait_for_signals();
  sweep();
  serving::effects effects = serving::start(node_, base::clock::now());
  execute(effects);
  arm_timer();
  run_turns();
  flush_log();
  return unanswered_requests_;
}

}  // namespace ibis::reactor
