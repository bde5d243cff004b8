#include "http_host.hpp"

#include "ibis/runtime/http_bind.hpp"  // for bind_http

namespace ibis::standins {

http_host::http_host(std::size_t threads) {
  constexpr std::time_t keep_alive_s = 600;
  server.new_task_queue = [threads] {
    return new httplib::ThreadPool(threads);  // NOLINT(*-owning-memory)
  };
  server.set_keep_alive_timeout(keep_alive_s);
}

http_host::~http_host() {
  stop();
}

base::result<std::string> http_host::start(const std::string& ip, int port) {
  auto address = runtime::bind_http(server, ip, static_cast<std::uint16_t>(port));
  if (!address) {
    return address.error();
  }
  thread_ = std::thread([this] { server.listen_after_bind(); });
  while (!server.is_running()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return address;
}

void http_host::stop() {
  server.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

}  // namespace ibis::standins
