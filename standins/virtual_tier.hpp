/// Reducers of a few nodes joined by fakes on virtual time: links with delay and loss,
/// leafs, and a platform. It holds no logic of the tier.
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

/// How messages between nodes fare.
struct link_rules {
  base::duration shortest = std::chrono::microseconds(100);
  base::duration longest = std::chrono::microseconds(300);
  base::duration across_zones = std::chrono::microseconds(4500);
  double loss = 0;       ///< Share of control messages that vanish.
  double duplicate = 0;  ///< Share of all messages that arrive twice.
  /// Whether nothing passes between two nodes.
  std::function<bool(const std::string&, const std::string&)> cut;
};

struct platform_rules {
  bool down = false;
  base::duration delay = std::chrono::milliseconds(2);
  int lose_replies = 0;  ///< Writes that take effect without an answer.
  int stale_reads = 0;   ///< Reads that give the value before the last write.
  bool deaf_watches = false;
  std::uint64_t calls = 0;  ///< How many were made.
};

struct given_answer {
  std::string node;
  base::caller_id caller;
  policy::answer answer;
  base::time_point at{};
};

struct virtual_node {
  policy::node_identity identity;
  policy::node_state state;
  bool alive = true;
  bool paused = false;
  bool finished = false;
  std::size_t cut = 0;
  std::vector<policy::event> held;  ///< While paused.
  std::uint64_t control_bytes = 0;  ///< Sent.
  std::uint64_t control_messages = 0;
  base::time_point armed{};              ///< When its next timer is due.
  std::chrono::nanoseconds reducing{0};  ///< Processor time spent in the reducer.
  std::uint64_t events = 0;
};

class virtual_tier {
 public:
  explicit virtual_tier(std::uint64_t seed);

  link_rules links;
  platform_rules platform;
  object_store store;
  std::map<std::string, virtual_leaf> leafs;
  std::map<std::string, virtual_node> nodes;
  std::vector<given_answer> answers;
  /// Sees each effect before it is carried out.
  std::function<void(const std::string& node, const policy::effect&)> observe;
  /// Adjusts a node's state before it starts.
  std::function<void(policy::node_state&)> adjust;

  /// Starts a node whose seeds are the nodes that run already.
  std::string add_node(const std::string& vm, const std::string& zone,
                       policy::node_role role);
  /// Starts an entry and a relay.
  void add_vm(const std::string& vm, const std::string& zone);
  void add_leaf(virtual_leaf leaf);
  /// Writes a configuration to the platform.
  /// @return Its generation.
  std::uint64_t apply(const config::configuration& value);
  /// Puts a configuration in force on all nodes at once, without the platform.
  void force(const config::configuration& value, std::uint64_t generation);

  /// Hands an event to a node now.
  void post(const std::string& node, policy::event value);
  base::caller_id query(const std::string& entry, const std::string& service,
                        const std::string& text, base::milliseconds timeout);
  /// @param silently Nobody is told by a broken connection, as when power is lost.
  void kill(const std::string& node, bool silently = false);
  void pause(const std::string& node);
  void resume(const std::string& node);
  /// Starts a killed node anew, with nothing kept.
  void restart(const std::string& node);

  void run_for(base::duration time);
  /// Runs a function at a time from now.
  void after(base::duration delay, std::function<void()> action);
  [[nodiscard]] base::time_point now() const { return now_; }
  /// @return The answer to a caller, or null.
  [[nodiscard]] const given_answer* answer_to(base::caller_id caller) const;
  std::mt19937_64 random;

 private:
  struct action {
    base::time_point at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const action& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  void deliver(const std::string& node, const policy::event& value);
  void arm(const std::string& name);
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
  policy::platform_replied ask_store(const policy::call_platform& call);

  base::time_point now_{std::chrono::hours(1)};
  base::milliseconds unix_start_{1'790'000'000'000};
  std::uint64_t order_ = 0;
  std::uint64_t next_caller_ = 0;
  std::uint64_t incarnations_ = 1;
  std::priority_queue<action> queue_;
  std::map<base::connection_id, std::string> leaf_of_connection_;
};

}  // namespace ibis::standins
