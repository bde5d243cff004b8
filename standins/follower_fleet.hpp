/// Simulates several serving nodes and their common store on virtual time, for tests of
/// how the nodes follow the store and forward its changes to each other. No requests
/// are served.
#pragma once

#include <functional>  // for function
#include <map>         // for map
#include <set>         // for set
#include <string>      // for string
#include <tuple>       // for tuple
#include <vector>      // for vector

#include "ibis/serving/node.hpp"  // for node_state
#include "virtual_queue.hpp"      // for virtual_queue

namespace ibis::standins {

/// Serving nodes, the links between them, and the store that they follow.
class follower_fleet {
 public:
  /// A node and its faults; tests change the members at any time.
  struct fleet_node {
    serving::node_state state;
    std::string availability_zone;
    bool alive = true;
    /// Its VM is gone for good, and connections to it hang until they time out.
    bool lost_power = false;
    bool paused = false;  ///< Its timers do not fire, and its events are deferred.
    /// The store answers its calls with "busy", and its open watches with nothing.
    bool rejected_by_store = false;
    bool partitioned_from_store = false;  ///< Its calls of the store get no answer.
    /// It is of an earlier release, whose messages to its peers have no era.
    bool states_no_era = false;
    std::uint64_t watch_count = 0;  ///< Watch calls that it made to the store.
    std::uint64_t list_count = 0;   ///< List calls that it made to the store.
    /// List, watch and peer calls about evacuations.
    std::uint64_t evacuation_calls = 0;
  };

  /// Adds a node and starts it at once.
  void add_node(const std::string& name, const std::string& zone);
  /// Adds a node with settings of its own and starts it at once.
  void add_node(const serving::node_settings& settings);
  /// Ends a node for good, without notice. Its record stays in the store.
  void lose_power(const std::string& name);
  /// Sends each live node the list of all nodes, as the store records it.
  void announce_nodes();
  /// Writes a configuration of this version to the store.
  void configure(std::uint64_t version);
  /// Writes a leaf's record to the store.
  void add_leaf(const std::string& id);
  /// Deletes a leaf's record from the store.
  void remove_leaf(const std::string& id);
  /// Writes an evacuation of an availability zone to the store.
  void evacuate(const std::string& zone);
  /// Removes an evacuation from the store.
  void end_evacuation(const std::string& zone);
  /// Drops the store's history of changes: open watches are disconnected, and watches
  /// from an older revision fail.
  void drop_history();
  /// Makes the open watches get no changes any more. New ones get all changes.
  void silence_watches();
  /// Silences the open watches and drops the store's history of changes, so that
  /// watches from an older revision fail.
  void drop_history_silently();
  /// Keeps a copy of the store's data.
  void take_backup();
  /// Restores the store from that copy: what was written since is lost, and a new era
  /// begins. Open watches are disconnected.
  void restore_backup();
  /// Restores the store as `restore_backup` does, but the open watches get no changes
  /// any more.
  void restore_backup_silently();
  /// Advances the virtual time and runs everything that becomes due.
  void run_for(base::duration time);

  [[nodiscard]] base::time_point now() const { return now_; }
  /// @return The number of live nodes that have applied a configuration version.
  [[nodiscard]] std::size_t count_nodes_at_version(std::uint64_t version) const;
  /// @return The number of live nodes that know a leaf.
  [[nodiscard]] std::size_t count_nodes_knowing_leaf(const std::string& leaf) const;
  /// @return The number of live nodes that know that a zone is evacuated.
  [[nodiscard]] std::size_t count_nodes_evacuating(const std::string& zone) const;
  /// @return The number of watch calls that all nodes have made to the store.
  [[nodiscard]] std::uint64_t count_watches() const;

  std::map<std::string, fleet_node> nodes;  ///< By name.
  /// How long a call travels to the store, and as long its answer.
  base::duration store_delay = std::chrono::microseconds(500);
  /// If set, returns whether messages from one node to another are lost.
  std::function<bool(const std::string&, const std::string&)> is_partitioned;

 private:
  /// A watch call that waits for a change after `revision`.
  struct pending_watch {
    std::string node;
    serving::store_topic topic;
    std::uint64_t serial;
    std::uint64_t revision;
    base::time_point until;
    bool silenced = false;  ///< It gets no changes before its wait is over.
  };

  void after(base::duration delay, std::function<void()> action);
  void deliver_event(const std::string& node, const serving::event& event);
  void carry_out(const std::string& node, const serving::effects& effects);
  void on_store_call(const std::string& node, const serving::list_topic& effect);
  void on_store_call(const std::string& node, const serving::watch_topic& effect);
  void on_query_peer(const std::string& node, const serving::query_peer& effect);
  void on_reply_to_peer(const std::string& node, const serving::reply_to_peer& effect);
  void publish_change(serving::topic_changed change);
  void complete_watches();
  /// Disconnects the open watches.
  void cut_watches();
  /// @return A revision as a node's message to a peer states it.
  [[nodiscard]] serving::store_revision stated_revision(
      const std::string& node, const serving::store_revision& revision) const;
  /// @return Whether the watch is over: answered, failed or replaced by a later call.
  bool try_complete(const pending_watch& watch);
  [[nodiscard]] bool can_reach(const std::string& from, const std::string& to) const;
  [[nodiscard]] serving::topic_changed changes_since(serving::store_topic topic,
                                                     std::uint64_t revision);

  base::time_point now_{std::chrono::hours(1)};
  virtual_queue queue_;
  std::uint64_t era_ = 1;
  std::uint64_t revision_ = 1;
  std::uint64_t oldest_revision_ = 0;  ///< Watches from an older one must list again.
  std::vector<serving::topic_changed> changes_;
  serving::catalog_ptr configuration_;
  std::map<std::string, serving::leaf_record> leafs_;
  std::set<std::string> evacuated_zones_;
  /// Revision, changes, configuration, leafs and evacuations of the latest backup.
  std::tuple<std::uint64_t, std::vector<serving::topic_changed>, serving::catalog_ptr,
             std::map<std::string, serving::leaf_record>, std::set<std::string>>
      backup_;
  std::vector<pending_watch> watches_;
  /// The serial number of each node's last call for each topic; earlier calls are
  /// obsolete.
  std::map<std::string, std::map<serving::store_topic, std::uint64_t>> call_serials_;
  /// The store's answers by their text. Nodes forward only the text to peers, and this
  /// map decodes it.
  std::map<std::string, serving::topic_changed> changes_by_text_;
};

}  // namespace ibis::standins
