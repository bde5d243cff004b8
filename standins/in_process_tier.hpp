/// A platform, two leafs, a relay and an entry in one process, over real sockets.
#pragma once

#include <memory>  // for unique_ptr
#include <string>  // for string
#include <thread>  // for thread

#include "ibis/runtime/http_api.hpp"     // for http_api
#include "ibis/runtime/node_runner.hpp"  // for node_runner
#include "leaf_server.hpp"               // for leaf_server
#include "platform_server.hpp"           // for platform_server

namespace ibis::standins {

/// An entry or a relay that runs on threads of its own from construction on.
class in_process_node {
 public:
  in_process_node(const config::process_settings& settings, policy::node_role role);
  ~in_process_node();
  in_process_node(const in_process_node&) = delete;
  in_process_node& operator=(const in_process_node&) = delete;

  std::string http_address;   ///< Of its HTTP interface, "ip:port".
  std::string frame_address;  ///< For connections of other nodes, "ip:port".

  /// Requests a graceful stop and waits for it.
  /// @return The number of requests that were aborted.
  std::size_t stop_gracefully();

 private:
  runtime::node_runner runner_;
  runtime::http_api api_;
  std::size_t aborted_requests_ = 0;
  std::thread runner_thread_;
  std::thread http_thread_;
};

/// A running tier with four shards. One leaf serves the service "search" (queries) and
/// another one the service "store" (submits).
struct in_process_tier {
  /// Starts all parts and waits until the entry answers a query.
  in_process_tier();

  platform_server platform;
  std::string platform_address;
  std::shared_ptr<leaf_model> search_leaf;
  std::shared_ptr<leaf_model> store_leaf;
  std::unique_ptr<leaf_server> search_server;
  std::unique_ptr<leaf_server> store_server;
  std::string search_address;  ///< Of `search_server`, "ip:port".
  dataset data;                ///< Of both leafs.
  std::unique_ptr<in_process_node> relay;
  std::unique_ptr<in_process_node> entry;
};

}  // namespace ibis::standins
