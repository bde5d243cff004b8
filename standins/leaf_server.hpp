/// The HTTP interface of a stand-in leaf, with simulated connection faults.
#pragma once

#include <memory>  // for shared_ptr
#include <string>  // for string

#include "ibis/base/error.hpp"  // for result
#include "leaf_model.hpp"       // for leaf_model

namespace ibis::standins {

/// Serves the leaf protocol for a `leaf_model`, and paths to change its faults
/// ("/v1/faults") and to read its counters ("/v1/stats", "/v1/runs").
class leaf_server {
 public:
  /// @param connections How many connections are served at once; further ones wait
  /// without an answer.
  leaf_server(std::shared_ptr<leaf_model> model, std::size_t connections);
  ~leaf_server();
  leaf_server(const leaf_server&) = delete;
  leaf_server& operator=(const leaf_server&) = delete;

  /// Binds and starts to serve on threads of its own.
  /// @param port 0 for any free port.
  /// @return The bound address, "ip:port".
  base::result<std::string> start(const std::string& ip, int port);
  /// Stops the server and waits for its threads.
  void stop();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace ibis::standins
