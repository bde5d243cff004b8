/// Simulates a tier on virtual time: runs the reducers of several nodes, connected by
/// links with delay and loss, and simulates leafs and the platform. It contains no
/// logic of the tier itself.
#pragma once

#include <functional>  // for function
#include <map>         // for map
#include <memory>      // for unique_ptr
#include <queue>       // for priority_queue
#include <random>      // for mt19937_64
#include <set>         // for set
#include <string>      // for string
#include <vector>      // for vector

#include "ibis/policy/node.hpp"  // for node_state
#include "object_store.hpp"      // for object_store
#include "virtual_leaf.hpp"      // for virtual_leaf

namespace ibis::standins {

/// Delays and faults of the messages between nodes.
struct link_settings {
  base::duration min_delay = std::chrono::microseconds(100);
  base::duration max_delay = std::chrono::microseconds(300);
  /// Added between nodes of different availability zones.
  base::duration cross_zone_delay = std::chrono::microseconds(4500);
  double loss = 0;       ///< Fraction of control messages that are lost.
  double duplicate = 0;  ///< Fraction of all messages that arrive twice.
  /// If set, returns whether messages from one node to another are lost.
  std::function<bool(const std::string&, const std::string&)> is_partitioned;
};

/// Delay and faults of the simulated platform, and its count of calls.
struct platform_settings {
  bool down = false;                                    ///< Calls fail as unavailable.
  base::duration delay = std::chrono::milliseconds(2);  ///< Until the answer to a call.
  int lose_replies = 0;  ///< How many of the next writes take effect without an answer.
  /// How many of the next reads get the value before the last write.
  int stale_reads = 0;
  bool watches_miss_updates = false;  ///< Watches time out even if there is an update.
  std::uint64_t calls = 0;            ///< The number of calls so far.
};

/// An answer that a node gave to a caller.
struct received_answer {
  std::string node;
  base::caller_id caller;
  policy::answer answer;
  base::time_point at{};
};

/// A simulated process: a node's reducer with its state.
struct virtual_node {
  policy::node_identity identity;
  policy::node_state state;
  bool alive = true;
  bool paused = false;
  bool finished = false;             ///< It ended after a graceful stop.
  std::size_t aborted_requests = 0;  ///< By the graceful stop.
  /// Events that arrived while it was paused.
  std::vector<policy::event> deferred_events;
  std::uint64_t control_bytes = 0;           ///< Sent, as encoded.
  std::uint64_t control_messages = 0;        ///< Sent.
  base::time_point next_tick_at{};           ///< When its next timer is due.
  std::chrono::nanoseconds reducer_time{0};  ///< Real time spent in the reducer.
  std::uint64_t events = 0;                  ///< Events that the reducer handled.
};

/// A tier of simulated processes. Tests add nodes and leafs, inject faults through the
/// public members and advance the time with `run_for`.
class virtual_tier {
 public:
  explicit virtual_tier(std::uint64_t seed);

  link_settings links;
  platform_settings platform;
  object_store store;  ///< The platform's objects.
  std::map<std::string, virtual_leaf> leafs;
  std::map<std::string, virtual_node> nodes;
  std::vector<received_answer> answers;
  /// If set, is called with each effect before it is carried out.
  std::function<void(const std::string& node, const policy::effect&)> effect_observer;
  /// If set, may change a node's state before the node starts.
  std::function<void(policy::node_state&)> state_initializer;

  /// Starts a node that knows all nodes added before as seeds.
  /// @return The node's name.
  std::string add_node(const std::string& vm, const std::string& zone,
                       policy::node_role role);
  /// Starts a relay and an entry.
  void add_vm(const std::string& vm, const std::string& zone);
  /// Adds a leaf under its name.
  void add_leaf(virtual_leaf leaf);
  /// Writes a configuration to the platform.
  /// @return Its generation.
  std::uint64_t apply(const config::configuration& value);
  /// Sets the configuration of all nodes directly, without the platform.
  void apply_without_platform(const config::configuration& value,
                              std::uint64_t generation);

  /// Schedules an event for a node at the current time.
  void post(const std::string& node, policy::event value);
  /// Sends a search to an entry.
  base::caller_id query(const std::string& entry, const std::string& service,
                        const std::string& text, base::milliseconds timeout);
  /// Kills a node's process.
  /// @param silently Whether its peers see no broken connection, as after a power loss.
  void kill(const std::string& node, bool silently = false);
  /// Stops a node's process from handling events, until `resume`.
  void pause(const std::string& node);
  /// Resumes a paused node, which then handles the events that arrived meanwhile.
  void resume(const std::string& node);
  /// Restarts a killed node's process with an empty state.
  void restart(const std::string& node);

  /// Advances the virtual time and runs everything that becomes due.
  void run_for(base::duration time);
  /// Schedules a function to run after a delay.
  void after(base::duration delay, std::function<void()> action);
  [[nodiscard]] base::time_point now() const { return now_; }
  /// @return The first answer to a caller, or nullptr.
  [[nodiscard]] const received_answer* find_answer(base::caller_id caller) const;
  std::mt19937_64 random;  ///< The source of all randomness of the simulation.

 private:
  /// An action scheduled on virtual time; `order` keeps actions with the same time in
  /// sequence.
  struct action {
    base::time_point at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const action& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  void deliver(const std::string& node, const policy::event& value);
  void schedule_tick(const std::string& name);
  void start(virtual_node& node);
  base::duration link_delay(const std::string& from, const std::string& to);

  void carry_out(const std::string& from, const policy::effects& effects);
  void on(const std::string& from, const policy::answer_caller& effect);
  void on(const std::string& from, const policy::send_message& effect);
  void on(const std::string& from, const policy::reset_peer_connections& effect);
  void on(const std::string& from, const policy::open_connection& effect);
  void on(const std::string& from, const policy::close_connection& effect);
  void on(const std::string& from, const policy::send_leaf_request& effect);
  void on(const std::string& from, const policy::cancel_leaf_request& effect);
  void on(const std::string& from, const policy::poll_status& effect);
  void on(const std::string& from, const policy::close_control_connection& effect);
  void on(const std::string& from, const policy::call_platform& effect);
  void on(const std::string& from, const policy::configuration_applied& effect);
  void on(const std::string& from, const policy::log_line& effect);
  void on(const std::string& from, const policy::finish_process& effect);

  void run_on_leaf(virtual_leaf& leaf, const std::string& node,
                   const policy::send_leaf_request& request);
  void finish_on_leaf(const std::string& leaf, const std::string& node,
                      const policy::send_leaf_request& request);
  policy::platform_replied call_store(const policy::call_platform& call);

  base::time_point now_{std::chrono::hours(1)};
  base::milliseconds unix_start_{1'790'000'000'000};  ///< Wall-clock time at the start.
  std::uint64_t last_order_ = 0;
  std::uint64_t next_caller_ = 0;
  std::uint64_t incarnations_ = 1;
  std::priority_queue<action> queue_;
  std::map<base::connection_id, std::string> leaf_of_connection_;
};

}  // namespace ibis::standins
