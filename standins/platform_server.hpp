/// The HTTP interface of the stand-in platform, with faults that can be switched on
/// and off while it runs.
#pragma once

#include <memory>  // for unique_ptr
#include <string>  // for string

#include "ibis/base/error.hpp"  // for result

namespace ibis::standins {

/// Serves the platform's object API from memory, and paths to change its faults
/// ("/v1/faults") and to read the number of calls ("/v1/stats").
class platform_server {
 public:
  platform_server();
  ~platform_server();
  platform_server(const platform_server&) = delete;
  platform_server& operator=(const platform_server&) = delete;

  /// Binds and starts to serve on threads of its own.
  /// @param port 0 for any free port.
  /// @return The bound address, "ip:port".
  base::result<std::string> start(const std::string& ip, int port);
  /// Ends all watches, stops the server and waits for its threads.
  void stop();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace ibis::standins
