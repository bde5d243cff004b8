/// Runs an HTTP server on a thread of its own.
#pragma once

#include <httplib.h>  // for Server

#include <string>  // for string
#include <thread>  // for thread

#include "ibis/base/error.hpp"  // for result

namespace ibis::standins {

/// An HTTP server that listens on a background thread until it is stopped or destroyed.
class http_host {
 public:
  /// @param threads How many connections are served at once; further ones wait.
  explicit http_host(std::size_t threads);
  ~http_host();
  http_host(const http_host&) = delete;
  http_host& operator=(const http_host&) = delete;

  httplib::Server server;  ///< Add its routes before `start`.

  /// Binds and starts to serve.
  /// @param port 0 for any free port.
  /// @return The bound address, "ip:port".
  base::result<std::string> start(const std::string& ip, int port);
  /// Stops the server and waits for its thread.
  void stop();

 private:
  std::thread thread_;
};

}  // namespace ibis::standins
