/// The HTTP interface of a process, for callers and for operators.
#pragma once

#include <memory>  // for unique_ptr
#include <string>  // for string

#include "ibis/base/error.hpp"           // for result
#include "ibis/runtime/node_runner.hpp"  // for node_runner

namespace ibis::runtime {

/// An HTTP server in front of a node. On an entry it serves queries and submits of
/// callers as well as the paths for operators (health, readiness, metrics, status); on
/// a relay only the latter.
class http_api {
 public:
  /// @param node Must outlive the server.
  /// @param threads The number of worker threads; each serves one connection at a time.
  http_api(node_runner& node, policy::node_role role, std::size_t threads);
  ~http_api();
  http_api(const http_api&) = delete;
  http_api& operator=(const http_api&) = delete;

  /// Binds to an address; port 0 takes any free port.
  /// @return The bound address, "ip:port"; `unavailable` if it cannot be bound.
  base::result<std::string> bind(const std::string& ip, std::uint16_t port);

  /// Serves requests until `stop` is called and the requests in flight are answered.
  /// Call `bind` first.
  void serve();
  /// Makes `serve` return. May be called from any thread.
  void stop();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace ibis::runtime
