/// The event loop of a node process: a single thread that feeds events from sockets,
/// timers and signals to the reducer (`serving::reduce`) and executes the effects that
/// it returns.
#pragma once

#include <asio/io_context.hpp>    // for io_context
#include <asio/ip/tcp.hpp>        // for tcp
#include <asio/signal_set.hpp>    // for signal_set
#include <asio/steady_timer.hpp>  // for steady_timer
#include <deque>                  // for deque
#include <functional>             // for function
#include <memory>                 // for shared_ptr
#include <optional>               // for optional
#include <string>                 // for string
#include <unordered_map>          // for unordered_map
#include <unordered_set>          // for unordered_set

#include "ibis/base/error.hpp"                // for result
#include "ibis/reactor/leaf_connection.hpp"   // for leaf_connection
#include "ibis/reactor/node_metrics.hpp"      // for node_metrics
#include "ibis/reactor/peer_link.hpp"         // for peer_link
#include "ibis/reactor/process_settings.hpp"  // for process_settings
#include "ibis/reactor/protocol.hpp"          // for protocol
#include "ibis/reactor/server_session.hpp"    // for server_session
#include "ibis/reactor/store_client.hpp"      // for store_client
#include "ibis/reactor/turn_meter.hpp"        // for turn_meter
#include "ibis/serving/node.hpp"              // for node_state

namespace ibis::reactor {

/// Runs one node: serves clients, readiness probes, metrics and peers, and connects to
/// leafs and to the platform's store. Usage:
///
///     node_loop loop(settings, platform::make_protocol(identity), reload_settings);
///     if (const auto opened = loop.open(); !opened) report(opened.error());
///     const std::size_t unanswered = loop.run();
class node_loop {
 public:
  /// Reads the settings again if they changed.
  /// @param forced Reads them even if they seem unchanged.
  /// @return The new settings, or nothing if they did not change or have errors.
  using reload_callback =
      std::function<std::optional<serving::node_settings>(bool forced)>;

  /// @param reload_settings Called on SIGHUP with `forced`, and periodically without
  /// it, since settings may change without a signal.
  node_loop(process_settings settings, protocol platform_protocol,
            reload_callback reload_settings);

  /// Binds all listening addresses and creates the client of the store.
  /// @return An error if an address is invalid or cannot be bound.
  base::result<void> open();
  /// Serves until SIGTERM, SIGINT or `request_stop` and the graceful shutdown after it.
  /// @return How many requests were still unanswered when the shutdown ended.
  std::size_t run();

  /// Starts a graceful shutdown, as SIGTERM does. Thread-safe.
  void request_stop();
  /// Returns the version of the configuration in force, or 0 before the first one.
  /// Thread-safe. It waits for the event loop, so it blocks unless `run` is active.
  [[nodiscard]] std::uint64_t configuration_version();

  /// Returns the bound address ("ip:port") for clients, with the actual port if the
  /// settings leave it to the system.
  [[nodiscard]] std::string client_address() const;
  /// Returns the bound address ("ip:port") for readiness probes.
  [[nodiscard]] std::string readiness_address() const;
  /// Returns the bound address ("ip:port") for metrics, or "" if they are not served.
  [[nodiscard]] std::string metrics_address() const;

 private:
  struct listener {
    explicit listener(asio::io_context& io) : acceptor(io), retry_timer(io) {}
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer retry_timer;  ///< Delays accepting after an error.
    session_hooks hooks;
    std::unordered_set<std::shared_ptr<server_session>> sessions;
  };

  base::result<void> bind(listener& target, const std::string& address);
  base::result<void> start_peer_link();
  void accept(listener& target);
  /// Accepts again after a delay.
  void accept_later(listener& target);
  void set_hooks();
  void on_client_request(const std::shared_ptr<server_session>& session,
                         http::request&& value);
  http::response make_readiness_response(const http::request& value);
  http::response make_metrics_response();

  void dispatch_event(serving::event value);
  void execute(serving::effects& effects);
  void execute(serving::effect& effect);
  /// Executes an effect if it concerns the store or peers.
  /// @return Whether it did.
  bool execute_store_or_peer_effect(const serving::effect& effect);
  /// Executes an effect if it concerns shards that other nodes query.
  /// @return Whether it did.
  bool execute_shards_effect(const serving::effect& effect);
  void answer(serving::answer_caller& effect);
  void open_leaf_connection(const serving::open_connection& effect);
  void close_leaf_connection(base::connection_id id);
  void stop_accepting();
  void schedule_exit(std::size_t unanswered);
  void arm_timer();
  void run_turns();
  void wait_for_signals();
  void sweep();
  void reload_settings(bool forced);

  // Declared first so that it is destroyed last: the other members hold handlers that
  // it runs.
  asio::io_context io_{1};
  process_settings settings_;
  protocol protocol_;
  reload_callback reload_settings_;
  serving::node_state node_;
  node_metrics metrics_;
  turn_meter turns_;
  asio::steady_timer timer_;
  asio::steady_timer sweep_timer_;
  asio::signal_set signals_;
  base::time_point timer_due_at_{};
  bool timer_armed_ = false;
  listener client_listener_;
  listener readiness_listener_;
  listener metrics_listener_;
  std::unique_ptr<store_client> store_;
  std::unique_ptr<peer_link> peers_;
  std::string peer_address_;  ///< The bound address; empty if peers are not served.
  std::deque<serving::event> event_queue_;
  bool draining_queue_ = false;
  std::uint64_t last_caller_id_ = 0;
  std::unordered_map<base::caller_id, std::shared_ptr<server_session>>
      sessions_by_caller_;
  std::unordered_map<server_session*, base::caller_id> callers_by_session_;
  std::unordered_map<base::connection_id, std::shared_ptr<leaf_connection>>
      leaf_connections_;
  std::size_t unanswered_requests_ = 0;
  std::size_t sweep_count_ = 0;
};

}  // namespace ibis::reactor
