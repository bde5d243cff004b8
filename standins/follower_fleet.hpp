/// Several serving nodes around one store on virtual time, for how they follow it and
/// tell each other. No requests are served.
#pragma once

#include <functional>  // for function
#include <map>         // for map
#include <queue>       // for priority_queue
#include <set>         // for set
#include <string>      // for string
#include <vector>      // for vector

#include "ibis/serving/node.hpp"  // for node_state

namespace ibis::standins {

class follower_fleet {
 public:
  struct member {
    serving::node_state state;
    std::string availability_zone;
    bool alive = true;
    bool frozen = false;          ///< Neither answers nor moves.
    bool turned_away = false;     ///< By the store.
    bool cut_from_store = false;  ///< Calls get no answer.
    std::uint64_t watches = 0;    ///< Asked of the store.
    std::uint64_t listings = 0;
  };

  /// Adds a node, which starts at once.
  void add_node(const std::string& name, const std::string& zone);
  /// Tells all nodes who there is, as the store's records do.
  void count();
  void configure(std::uint64_t version);
  void add_leaf(const std::string& id);
  void remove_leaf(const std::string& id);
  /// Forgets all changes so far, and cuts the watches.
  void drop_history();
  void run_for(base::duration time);

  [[nodiscard]] base::time_point now() const { return now_; }
  /// @return The nodes that live and have a version in force.
  [[nodiscard]] std::size_t count_in_force(std::uint64_t version) const;
  [[nodiscard]] std::size_t count_knowing(const std::string& leaf) const;
  [[nodiscard]] std::uint64_t count_watches() const;

  std::map<std::string, member> nodes;
  /// Whether nothing passes between two nodes.
  std::function<bool(const std::string&, const std::string&)> cut;

 private:
  struct scheduled {
    base::time_point at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const scheduled& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct waiting_watch {
    std::string node;
    serving::store_topic topic;
    std::uint64_t serial;
    std::uint64_t revision;
  };

  void after(base::duration delay, std::function<void()> what);
  void take(const std::string& node, const serving::event& value);
  void carry_out(const std::string& node, const serving::effects& todo);
  void on_store_call(const std::string& node, const serving::list_topic& what);
  void on_store_call(const std::string& node, const serving::watch_topic& what);
  void on_ask(const std::string& node, const serving::query_peer& what);
  void on_tell(const std::string& node, const serving::reply_to_peer& what);
  void add_change(serving::topic_changed change);
  void serve_watches();
  bool try_serve(const waiting_watch& watch);
  [[nodiscard]] bool reaches(const std::string& from, const std::string& to) const;
  [[nodiscard]] serving::topic_changed changes_since(serving::store_topic topic,
                                                     std::uint64_t revision);

  base::time_point now_{std::chrono::hours(1)};
  std::priority_queue<scheduled> queue_;
  std::uint64_t last_order_ = 0;
  std::uint64_t revision_ = 1;
  std::uint64_t oldest_ = 0;
  std::vector<serving::topic_changed> changes_;
  serving::catalog_ptr configuration_;
  std::map<std::string, serving::leaf_record> leafs_;
  std::vector<waiting_watch> watches_;
  std::map<std::string, std::map<serving::store_topic, std::uint64_t>> call_serials_;
  /// The store's answers by their text, which peers pass on.
  std::map<std::string, serving::topic_changed> by_text_;
};

}  // namespace ibis::standins
