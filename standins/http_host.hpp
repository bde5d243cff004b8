/// Runs an HTTP server on a thread of its own.
#pragma once

#include <httplib.h>  // for Server

#include <string>  // for string
#include <thread>  // for thread

#include "ibis/base/error.hpp"  // for result

namespace ibis::standins {

class http_host {
 public:
  /// @param threads Connections that are served at once; more wait.
  explicit http_host(std::size_t threads);
  ~http_host();
  http_host(const http_host&) = delete;
  http_host& operator=(const http_host&) = delete;

  httplib::Server server;  ///< To which routes are added before `start`.

  /// Binds and serves.
  /// @return "ip:port".
  base::result<std::string> start(const std::string& ip, int port);
  void stop();

 private:
  std::thread thread_;
};

}  // namespace ibis::standins
