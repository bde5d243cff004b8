/// Simulates several serving nodes that share leafs with connection limits, on virtual
/// time. The nodes' reducers exchange requests for shards as over real connections.
#pragma once

#include <functional>  // for function
#include <map>         // for map
#include <optional>    // for optional
#include <random>      // for mt19937_64
#include <string>      // for string
#include <vector>      // for vector

#include "ibis/serving/node.hpp"  // for node_state
#include "serving_fleet.hpp"      // for client_answer, leaf_arrival
#include "virtual_queue.hpp"      // for virtual_queue

namespace ibis::standins {

/// Nodes and leafs in several availability zones. All nodes know all others and have
/// the same configuration.
///
///     holder_fleet fleet(1);
///     for (...) fleet.add_node("node-1", "zone-0");
///     for (...) fleet.add_leaf("s0-a", "s0", "zone-0");
///     fleet.configure(make_catalog(1, {"s0"}, "one"));
///     fleet.start();
///     const auto caller = fleet.send_request("node-1", "r1", "/q/");
///     fleet.run_for(std::chrono::seconds(1));
class holder_fleet {
 public:
  /// A node and its faults; tests change the members at any time.
  struct fleet_node {
    serving::node_state state;
    bool alive = true;    ///< A dead node refuses connections.
    bool silent = false;  ///< Messages to and from it are lost without notice.
    /// Until when it does not run; what arrives meanwhile is read then.
    base::time_point stalled_until{};
    std::optional<std::size_t> aborted_requests;  ///< Set once it has stopped.
  };
  /// A leaf; tests change the members at any time.
  struct shared_leaf {
    serving::leaf_record record;
    bool says_leaving = false;  ///< It says in its answers that it leaves.
    std::size_t connection_limit = 0;
    std::size_t connections = 0;
    std::size_t most_connections = 0;
    std::size_t resets = 0;  ///< Connections that exceeded the limit.
    base::time_point paused_until{};
  };

  explicit holder_fleet(std::uint64_t seed, std::uint32_t connection_limit = 60);

  void add_node(const std::string& name, const std::string& zone,
                serving::node_settings settings = {});
  void add_leaf(const std::string& id, const std::string& service,
                const std::string& zone);
  /// Removes a leaf's record at all nodes.
  void remove_leaf(const std::string& id);
  /// Tells all nodes that an availability zone is evacuated.
  void evacuate(const std::string& zone);
  void configure(serving::catalog catalog);
  /// Starts all nodes with the configuration, all leafs and the list of nodes, and runs
  /// them for some seconds, so that they warm up.
  void start();
  /// Sends a GET request of a client to a node.
  base::caller_id send_request(const std::string& node, const std::string& request_id,
                               const std::string& target);
  /// Closes the connection of a client.
  void disconnect_caller(const std::string& node, base::caller_id caller);
  /// Requests a graceful stop of a node.
  void stop(const std::string& node);
  /// Starts a node again after a loss of power, which the others do not notice: they
  /// still reply to its earlier calls. It knows the leafs at once.
  void restart(const std::string& node);
  /// Kills a node: its connections are reset.
  void kill(const std::string& node);
  void run_for(base::duration time);

  [[nodiscard]] base::time_point now() const { return now_; }
  /// @return The answer to a request, or nullptr.
  [[nodiscard]] const client_answer* find_answer(base::caller_id caller) const;
  /// @return The first holder of a service, as seen by a node.
  [[nodiscard]] std::string first_holder(const std::string& node,
                                         const std::string& service) const;

  std::map<std::string, fleet_node> nodes;   ///< By name.
  std::map<std::string, shared_leaf> leafs;  ///< By id.
  std::vector<leaf_arrival> arrivals;
  std::vector<client_answer> answers;
  std::size_t peer_messages = 0;  ///< Requests and replies for shards, delivered.
  /// Is called with each request of a client before a node gets it.
  std::function<void(serving::inbound_request&)> prepare_request =
      [](serving::inbound_request&) {};
  /// Is called with each effect of a node, by its name, before it is carried out.
  std::function<void(const std::string&, const serving::effect&)> observe_effect =
      [](const std::string&, const serving::effect&) {};

 private:
  struct leaf_connection {
    std::string node;
    std::string leaf;
    std::uint64_t serial = 0;
  };
  using connection_key = std::pair<std::string, base::connection_id>;

  void start_node(const std::string& name);
  /// Closes all connections of a node to leafs.
  void close_connections_of(const std::string& node);
  void after(base::duration delay, std::function<void()> action);
  void deliver_event(const std::string& node, const serving::event& event);
  void carry_out(const std::string& node, const serving::effects& effects);
  /// Carries out an effect if it concerns other nodes.
  /// @return Whether it did.
  bool carry_out_peer_effect(const std::string& node, const serving::effect& effect);
  void on_open(const std::string& node, const serving::open_connection& effect);
  void on_send(const std::string& node, const serving::send_to_leaf& effect);
  void close(const connection_key& key);
  void on_request_shards(const std::string& node,
                         const serving::request_shards& effect);
  /// Delivers a message between nodes, unless it is lost.
  void pass_on(const std::string& from, const std::string& to,
               const serving::event& event);

  std::mt19937_64 random_;
  std::uint32_t started_nodes_ = 0;  ///< Including restarts.
  std::uint32_t connection_limit_;
  base::time_point now_{std::chrono::hours(1)};
  virtual_queue queue_;
  std::uint64_t last_caller_ = 0;
  std::map<base::caller_id, std::string> request_ids_;
  std::map<connection_key, leaf_connection> connections_;
  serving::catalog_ptr configuration_;
};

}  // namespace ibis::standins
