#include "platform_server.hpp"

#include <map>                // for map
#include <mutex>              // for mutex
#include <nlohmann/json.hpp>  // for json
#include <thread>             // for sleep_for

#include "http_host.hpp"     // for http_host
#include "object_store.hpp"  // for object_store

namespace ibis::standins {
namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr const char* json_type = "application/json";
constexpr int no_content = 204;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int precondition_failed = 412;
constexpr int too_large = 413;
constexpr int too_many = 429;
constexpr int unavailable = 503;
constexpr std::size_t server_threads = 128;
constexpr std::size_t max_value_size = 1'000'000;

struct platform_faults {
  bool down = false;
  int slow_ms = 0;
  /// How many of the next writes take effect but are answered with 503.
  int lose_replies = 0;
  /// How many of the next writes are answered with 503 without effect.
  int fail_writes = 0;
  /// How many of the next reads get the value before the last write.
  int stale_reads = 0;
  bool replay_watch = false;  ///< Watches return the value before the last write.
  bool silent_watch = false;  ///< Watches never report a change.
  int rate_limit = 0;         ///< Maximum calls per second; 0 for no limit.
};

json write_object(const stored_object& object) {
  return {{"key", object.key}, {"version", object.version}, {"value", object.value}};
}

std::uint64_t parse_number(const std::string& text) {
  std::uint64_t value = 0;
  for (const char character : text) {
    if (character >= '0' && character <= '9') {
      value = value * 10 + static_cast<std::uint64_t>(character - '0');
    }
  }
  return value;
}

write_condition read_condition(const Request& request) {
  write_condition condition;
  condition.must_be_absent = request.get_header_value("If-None-Match") == "*";
  if (request.has_header("If-Match")) {
    condition.version = parse_number(request.get_header_value("If-Match"));
  }
  return condition;
}

}  // namespace

struct platform_server::state {
  object_store store;
  http_host host{server_threads};
  std::mutex mutex;
  platform_faults faults;
  std::map<std::string, std::uint64_t> calls;
  std::chrono::steady_clock::time_point second_started;
  int calls_this_second = 0;

  platform_faults current_faults() {
    const std::lock_guard lock(mutex);
    return faults;
  }

  bool exceeds_rate_limit() {
    const std::lock_guard lock(mutex);
    const auto now = std::chrono::steady_clock::now();
    if (now - second_started > std::chrono::seconds(1)) {
      second_started = now;
      calls_this_second = 0;
    }
    ++calls_this_second;
    return faults.rate_limit > 0 && calls_this_second > faults.rate_limit;
  }

  /// Counts a call and applies the faults that affect all kinds of calls.
  /// @return False if the call was refused.
  bool admit(const char* kind, Response& response) {
    {
      const std::lock_guard lock(mutex);
      ++calls[kind];
    }
    const platform_faults active = current_faults();
    std::this_thread::sleep_for(base::milliseconds(active.slow_ms));
    if (active.down) {
      response.status = unavailable;
      return false;
    }
    if (exceeds_rate_limit()) {
      response.status = too_many;
      return false;
    }
    return true;
  }

  /// @return Whether a counted fault applies to this call; decrements its counter.
  bool consume_fault(int platform_faults::*counter) {
    const std::lock_guard lock(mutex);
    if (faults.*counter <= 0) {
      return false;
    }
    --(faults.*counter);
    return true;
  }

  void on_get(const Request& request, Response& response) {
    if (!admit("get", response)) {
      return;
    }
    const std::string key = request.get_param_value("key");
    auto object = store.get(key);
    if (consume_fault(&platform_faults::stale_reads)) {
      const auto previous = store.get_previous(key);
      object = previous ? previous : object;
    }
    if (!object) {
      response.status = not_found;
      response.set_content("{}", json_type);
      return;
    }
    response.set_content(write_object(*object).dump(), json_type);
  }

  void answer_write(write_outcome outcome, const stored_object& current,
                    Response& response) {
    if (outcome == write_outcome::conflict) {
      response.status = precondition_failed;
    }
    if (outcome == write_outcome::not_found) {
      response.status = not_found;
    }
    response.set_content(write_object(current).dump(), json_type);
  }

  void on_put(const Request& request, Response& response) {
    if (!admit("put", response)) {
      return;
    }
    if (request.body.size() > max_value_size) {
      response.status = too_large;
      return;
    }
    if (consume_fault(&platform_faults::fail_writes)) {
      response.status = unavailable;
      return;
    }
    stored_object current;
    const auto outcome = store.put(request.get_param_value("key"), request.body,
                                   read_condition(request), current);
    if (consume_fault(&platform_faults::lose_replies)) {
      response.status = unavailable;
      return;
    }
    answer_write(outcome, current, response);
  }

  void on_delete(const Request& request, Response& response) {
    if (!admit("delete", response)) {
      return;
    }
    const auto outcome =
        store.remove(request.get_param_value("key"), read_condition(request));
    answer_write(outcome, {request.get_param_value("key"), 0, ""}, response);
  }

  void on_list(const Request& request, Response& response) {
    if (!admit("list", response)) {
      return;
    }
    json items = json::array();
    for (const stored_object& object :
         store.list(request.get_param_value("prefix"),
                    parse_number(request.get_param_value("limit")))) {
      items.push_back(write_object(object));
    }
    response.set_content(items.dump(), json_type);
  }

  void on_watch(const Request& request, Response& response) {
    if (!admit("watch", response)) {
      return;
    }
    const std::string key = request.get_param_value("key");
    const base::milliseconds timeout(
        parse_number(request.get_param_value("timeout_ms")));
    const bool silent = current_faults().silent_watch;
    const std::uint64_t after =
        silent ? UINT64_MAX : parse_number(request.get_param_value("after"));
    auto object = store.watch(key, after, timeout);
    if (current_faults().replay_watch) {
      object = store.get_previous(key);
    }
    if (!object) {
      response.status = no_content;
      return;
    }
    response.set_content(write_object(*object).dump(), json_type);
  }

  void on_faults(const Request& request, Response& response) {
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      response.status = bad_request;
      return;
    }
    const std::lock_guard lock(mutex);
    faults.down = body.value("down", faults.down);
    faults.slow_ms = body.value("slow_ms", faults.slow_ms);
    faults.lose_replies = body.value("lose_replies", faults.lose_replies);
    faults.fail_writes = body.value("fail_writes", faults.fail_writes);
    faults.stale_reads = body.value("stale_reads", faults.stale_reads);
    faults.replay_watch = body.value("replay_watch", faults.replay_watch);
    faults.silent_watch = body.value("silent_watch", faults.silent_watch);
    faults.rate_limit = body.value("rate_limit", faults.rate_limit);
    response.set_content("{}", json_type);
  }

  void add_routes() {
    const auto bind = [this](void (state::*handle)(const Request&, Response&)) {
      return [this, handle](const Request& request, Response& response) {
        (this->*handle)(request, response);
      };
    };
    host.server.Get("/v1/objects", bind(&state::on_get));
    host.server.Put("/v1/objects", bind(&state::on_put));
    host.server.Delete("/v1/objects", bind(&state::on_delete));
    host.server.Get("/v1/list", bind(&state::on_list));
    host.server.Get("/v1/watch", bind(&state::on_watch));
    host.server.Post("/v1/faults", bind(&state::on_faults));
    host.server.Get("/v1/stats", [this](const Request&, Response& response) {
      const std::lock_guard lock(mutex);
      response.set_content(json(calls).dump(), json_type);
    });
  }
};

platform_server::platform_server() : state_(std::make_unique<state>()) {
  state_->add_routes();
}

platform_server::~platform_server() {
  stop();
}

base::result<std::string> platform_server::start(const std::string& ip, int port) {
  return state_->host.start(ip, port);
}

void platform_server::stop() {
  state_->store.stop();
  state_->host.stop();
}

}  // namespace ibis::standins
