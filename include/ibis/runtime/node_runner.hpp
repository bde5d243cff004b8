/// Runs a node. All decisions are made by a reducer without I/O (ibis/policy); the
/// runner feeds it frames, HTTP replies and timers as events and carries out the
/// effects that it returns. The reducer runs on one strand: the thread that calls
/// `node_runner::run`.
#pragma once

#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string

#include "ibis/base/error.hpp"       // for result
#include "ibis/config/settings.hpp"  // for process_settings
#include "ibis/policy/node.hpp"      // for node_role, event, answer

namespace ibis::runtime {

/// Receives the answer to a caller's request. Called once, on the strand.
using answer_callback = std::function<void(policy::answer)>;

/// An entry or relay: its state, its connections and its event loop.
///
/// Example:
///
///     node_runner node(settings, policy::node_role::entry);
///     const auto address = node.listen(http_address);
///     std::thread strand([&] { aborted = node.run([&] { api.stop(); }); });
///     api.serve();  // Returns when the node has stopped.
///     node.stop();
///     strand.join();
class node_runner {
 public:
  node_runner(const config::process_settings& settings, policy::node_role role);
  ~node_runner();
  node_runner(const node_runner&) = delete;
  node_runner& operator=(const node_runner&) = delete;

  /// Listens for connections from peers. Call it once, before `run`.
  /// @param http The address of this process's HTTP server, which is announced to the
  /// other members.
  /// @return The bound address, "ip:port", or an error if it cannot be bound.
  base::result<std::string> listen(const std::string& http);

  /// Runs the event loop until `stop` is called. SIGTERM and SIGINT start a graceful
  /// stop of the node; a second signal ends it at once.
  /// @param on_finish Called on the strand when the node has stopped; it should stop
  /// the servers that post events. `stop` still has to be called.
  /// @return The number of requests that were aborted; 0 after a graceful stop.
  std::size_t run(std::function<void()> on_finish);

  /// Makes `run` return. May be called from any thread.
  void stop();

  /// Queues an event for the reducer. May be called from any thread.
  void post(policy::event value);

  /// Registers a callback for the answer to a request. May be called from any thread.
  /// @return The id to put into the request's event.
  base::caller_id register_caller(answer_callback callback);

  /// Runs a function on the strand with the node's state and waits for its result. Must
  /// not be called on the strand.
  /// @return The result, or an empty text if the strand does not respond within 1 s.
  std::string inspect(
      const std::function<std::string(const policy::node_state&)>& read);

  /// @return The metrics in the Prometheus text exposition format.
  [[nodiscard]] std::string metrics();
  /// @return The node's status as JSON text.
  [[nodiscard]] std::string status();
  /// @return Whether the node is ready for requests, and if not, why.
  [[nodiscard]] policy::readiness ready();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace ibis::runtime
