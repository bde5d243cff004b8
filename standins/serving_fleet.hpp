/// Simulates the environment of one serving node on virtual time: leafs, the store and
/// callers. The node's reducer receives the same events as with real sockets.
#pragma once

#include <functional>  // for function
#include <map>         // for map
#include <memory>      // for shared_ptr
#include <optional>    // for optional
#include <random>      // for mt19937_64
#include <set>         // for set
#include <string>      // for string
#include <utility>     // for pair
#include <vector>      // for vector

#include "ibis/serving/node.hpp"  // for node_state
#include "virtual_queue.hpp"      // for virtual_queue

namespace ibis::standins {

/// What a simulated leaf does with a request.
enum class leaf_reaction : std::uint8_t {
  answer,              ///< Runs it and answers with status 200.
  refuse,              ///< Answers with status 503 and says that it did not run it.
  fail,                ///< Runs it and answers with status 500.
  run_and_disconnect,  ///< Runs it; the connection breaks before the answer.
  ignore,              ///< Neither runs nor answers it.
};

/// A simulated leaf and how it behaves; tests change the members at any time.
struct fleet_leaf {
  serving::leaf_record record;
  std::function<base::duration(std::mt19937_64&)> service_time;
  std::function<leaf_reaction(std::mt19937_64&)> reaction;
  /// If set, the leaf has as many slots as its record states, and a queue. Returns the
  /// time for which a request needs a slot; replaces `service_time`.
  std::function<base::duration(const serving::inbound_request&, std::mt19937_64&)> work;
  double pace = 1.0;          ///< Factor of the times of `work`.
  bool reports_load = false;  ///< It adds its load and pace to its answers.
  std::vector<base::time_point> slots_free_at;
  /// When the requests in slots and in the queue start and end.
  std::vector<std::pair<base::time_point, base::time_point>> schedule;
  bool accepts_connections = true;
  bool says_leaving = false;  ///< It says in its answers that it leaves.
  /// If set, it says when it refuses that it wants nothing for that long.
  std::optional<base::milliseconds> retry_after;
  /// If set, the leaf sends each answer a second time, this long after the first.
  std::optional<base::duration> copy_delay;
  base::time_point paused_until{};  ///< Requests do not start to run earlier.
  std::string
      instance;  ///< Id of the leaf that listens at its address; usually its own.
};

/// A request that reached a leaf.
struct leaf_arrival {
  std::string request;
  std::string service;
  std::string leaf;
  base::time_point at;
  bool ran = false;
};

/// A refusal by which a leaf asked for no more requests for a while.
struct leaf_refusal {
  std::string leaf;
  base::time_point at{};  ///< When the node got it.
  std::optional<base::milliseconds> retry_after;
};

/// The node's answer to a caller.
struct client_answer {
  base::caller_id caller;
  std::string request;
  serving::caller_answer answer;
  base::time_point at;
};

/// How the simulated store handles calls.
enum class store_mode : std::uint8_t {
  healthy,
  stalled,         ///< Calls wait and are answered once the store is healthy again.
  busy,            ///< Calls fail at once because of overload.
  dropping_calls,  ///< Calls are lost, and get no answer even after the store recovers.
};

/// One serving node with simulated leafs, store and callers.
///
///     serving_fleet fleet(1);
///     fleet.add_leaf("leaf-0", "s0");
///     fleet.add_leaf("leaf-1", "one");
///     fleet.configure(make_catalog(1, {"s0"}, "one"));
///     fleet.start();
///     const auto caller = fleet.send_request("r1", "/read/");
///     fleet.run_for(std::chrono::seconds(1));
///     const auto* answer = fleet.find_answer(caller);
class serving_fleet {
 public:
  explicit serving_fleet(std::uint64_t seed,
                         const serving::node_settings& settings = {});

  /// Number of nodes that have a record in the store, with the simulated one's.
  static constexpr std::size_t counted_nodes = serving::initial_node_estimate;

  /// Adds a leaf that answers in about 5 ms, and registers it in the store.
  fleet_leaf& add_leaf(const std::string& id, const std::string& service);
  /// Marks a leaf's record in the store as draining.
  void set_draining(const std::string& id);
  /// Removes a leaf's record from the store; the leaf itself still answers.
  void unregister(const std::string& id);
  /// Writes a configuration to the store.
  void configure(serving::catalog catalog);
  /// Writes an evacuation of an availability zone to the store.
  void evacuate(const std::string& zone);
  /// Removes an evacuation from the store.
  void end_evacuation(const std::string& zone);
  /// Makes the store report no change on the open watches; new ones get all changes.
  void silence_watches();
  /// Changes how the store handles calls, including those that wait for an answer.
  void set_store(store_mode mode);
  /// Drops the store's history of changes: open watches are disconnected, and watches
  /// from an older revision fail, so that the node must list again.
  void drop_history();

  /// Starts the node and runs it for a second, so that it reads the store and warms up.
  void start();
  /// Sends a GET request to the node.
  /// @param target The path, which selects the route.
  base::caller_id send_request(const std::string& request_id, const std::string& target,
                               std::optional<base::milliseconds> deadline = {});
  /// Delivers a request for shards from another node. The replies are effects.
  void ask_for_shards(const std::string& node, const wire::shards_request& request);
  /// Closes the connection of a caller that may still wait for its answer.
  void disconnect_caller(base::caller_id caller);
  /// Changes the settings of the running node.
  void change_settings(const serving::node_settings& settings);
  /// Requests a graceful stop of the node.
  void stop();
  /// Advances the virtual time and runs everything that becomes due.
  void run_for(base::duration time);

  [[nodiscard]] base::time_point now() const { return now_; }
  /// @return The answer to a request, or nullptr.
  [[nodiscard]] const client_answer* find_answer(base::caller_id caller) const;

  serving::node_state node;
  std::map<std::string, fleet_leaf> leafs;      ///< By id.
  std::vector<leaf_arrival> arrivals;           ///< In the order of sending.
  std::vector<leaf_refusal> refusals;           ///< With a time to return, in order.
  std::vector<client_answer> answers;           ///< In the order of answering.
  std::vector<std::uint64_t> applied_versions;  ///< Of the configuration, in order.
  std::size_t open_connections = 0;             ///< From the node to leafs.
  bool accepting = true;  ///< Whether the node accepts new callers.
  /// Requests that the node aborted when it stopped; set once it has finished.
  std::optional<std::size_t> aborted_requests;
  /// If set, is passed each call of the reducer as a function that it must run, so that
  /// benchmarks can measure the call.
  std::function<void(const std::function<void()>&)> reduce_wrapper;
  /// If set, is called with each effect before it is carried out.
  std::function<void(const serving::effect&)> effect_observer;

 private:
  /// A connection of the node; `serial` is the number of its last request.
  struct leaf_connection {
    std::string leaf;
    std::uint64_t serial = 0;
    std::string request_in_flight;  ///< Id of the unanswered request; empty if none.
  };
  /// The last list or watch call of a topic.
  struct pending_call {
    bool listing = false;
    std::uint64_t revision = 0;
    bool active = false;
    std::uint64_t serial = 0;
    bool silenced = false;  ///< It is told no change.
  };

  void after(base::duration delay, std::function<void()> action);
  void deliver_event(const serving::event& event);
  void carry_out(const serving::effects& effects);
  /// Gives a request the next free slot of a leaf.
  /// @param starts_at When the leaf's pause ends.
  /// @return How long after its arrival there it is done.
  base::duration queue_request(fleet_leaf& leaf,
                               const serving::inbound_request& request,
                               base::time_point starts_at);
  void note_refusal(const std::string& leaf, const serving::leaf_answer& answer);
  void on_count(const serving::count_nodes& effect);
  void on_open(const serving::open_connection& effect);
  void on_send(const serving::send_to_leaf& effect);
  void deliver_answer(base::connection_id id,
                      const std::shared_ptr<serving::leaf_answer>& answer);
  /// Delivers a late second copy of an answer. As on a real connection, it answers the
  /// request in flight if that has the same id, and is unexpected if there is none.
  void deliver_copy(base::connection_id id, const std::string& request,
                    const std::shared_ptr<serving::leaf_answer>& answer);
  void on_answer(const serving::answer_caller& effect);
  void on_store_call(serving::store_topic topic, bool listing, std::uint64_t revision);
  void end_watch_after(serving::store_topic topic, base::milliseconds wait);
  /// Answers the pending call of a topic, unless it has to wait longer.
  void answer_store_call(serving::store_topic topic);
  void notify_watch(serving::store_topic topic);
  serving::event make_listing(serving::store_topic topic) const;
  serving::event make_changes(serving::store_topic topic, std::uint64_t since) const;

  std::mt19937_64 random_;
  base::time_point now_{std::chrono::hours(1)};
  virtual_queue queue_;
  std::uint64_t last_caller_ = 0;
  std::map<base::caller_id, std::string> request_ids_;
  std::map<base::connection_id, leaf_connection> connections_;
  /// Leaf id to revision of its record.
  std::map<std::string, std::uint64_t> registered_;
  /// Leaf id to revision of its removal.
  std::map<std::string, std::uint64_t> removed_;
  /// Zone to the revision at which its evacuation began or ended, and which of them.
  std::map<std::string, std::pair<std::uint64_t, bool>> evacuations_;
  serving::catalog_ptr configuration_;
  std::uint64_t configuration_revision_ = 0;
  std::uint64_t revision_ = 1;
  std::uint64_t oldest_revision_ = 0;  ///< Watches from an older one must list again.
  store_mode store_mode_ = store_mode::healthy;
  std::map<serving::store_topic, pending_call> calls_;
};

/// @return Settings with a budget of extra requests that is never exhausted.
serving::node_settings unlimited_budget_settings();

/// Makes an answer body of fixed length whose records differ and are unordered.
/// @param seed The body differs for each seed.
std::string make_records(const std::string& seed);

/// Makes a configuration with four routes for the host "h": a fan-out over `shards` at
/// "/q/", and routes to the service `single` at "/read/" (idempotent), "/urgent/"
/// (idempotent, of higher priority) and "/write/" (not idempotent).
serving::catalog make_catalog(std::uint64_t version,
                              const std::vector<std::string>& shards,
                              const std::string& single);

}  // namespace ibis::standins
