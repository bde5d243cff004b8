#include "ibis/runtime/platform_client.hpp"

#include <httplib.h>  // for Client

#include <condition_variable>  // for condition_variable
#include <deque>               // for deque
#include <mutex>               // for mutex
#include <nlohmann/json.hpp>   // for json
#include <optional>            // for optional
#include <thread>              // for thread
#include <utility>             // for move
#include <vector>              // for vector

#include "ibis/runtime/address.hpp"  // for parse_address
#include "ibis/runtime/log.hpp"      // for write_log

namespace ibis::runtime {
namespace {

using nlohmann::json;
using policy::platform_outcome;
using policy::platform_verb;

constexpr const char* octet_stream_type = "application/octet-stream";
constexpr std::size_t call_threads = 3;
constexpr std::size_t max_listed_objects = 200;

std::unique_ptr<httplib::Client> make_client(const std::string& address) {
  const auto parsed = parse_address(address);
  const ip_port target = parsed ? parsed.value() : ip_port{"0.0.0.0", 0};
  auto client = std::make_unique<httplib::Client>(target.ip, target.port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  return client;
}

std::string object_path(const std::string& key) {
  return "/v1/objects?key=" + httplib::detail::encode_query_param(key);
}

std::string etag_of(std::uint64_t version) {
  return '"' + std::to_string(version) + '"';
}

httplib::Result send(httplib::Client& client, const policy::call_platform& call) {
  switch (call.verb) {
    case platform_verb::get:
      return client.Get(object_path(call.key));
    case platform_verb::create:
      return client.Put(object_path(call.key), {{"If-None-Match", "*"}}, call.value,
                        octet_stream_type);
    case platform_verb::update:
      return client.Put(object_path(call.key),
                        {{"If-Match", etag_of(call.expected_version)}}, call.value,
                        octet_stream_type);
    case platform_verb::put:
      return client.Put(object_path(call.key), call.value, octet_stream_type);
    case platform_verb::remove:
      return client.Delete(object_path(call.key),
                           {{"If-Match", etag_of(call.expected_version)}});
    case platform_verb::list:
      return client.Get(("/v1/list?limit=" + std::to_string(max_listed_objects) +
                         "&prefix=" + httplib::detail::encode_query_param(call.key)));
    case platform_verb::watch:
      break;
  }
  const auto wait_ms =
      std::chrono::duration_cast<base::milliseconds>(call.timeout).count();
  return client.Get(("/v1/watch?key=" + httplib::detail::encode_query_param(call.key) +
                     "&after=" + std::to_string(call.expected_version) +
                     "&timeout_ms=" + std::to_string(wait_ms)));
}

platform_outcome outcome_of(int status) {
  constexpr int ok = 200;
  constexpr int no_content = 204;
  constexpr int not_found = 404;
  constexpr int conflict = 412;
  switch (status) {
    case ok:
    case no_content:
      return platform_outcome::ok;
    case not_found:
      return platform_outcome::not_found;
    case conflict:
      return platform_outcome::conflict;
    default:
      return platform_outcome::unavailable;
  }
}

/// @return Nothing if the item is no object of the platform.
std::optional<policy::platform_object> read_object(const json& item) {
  const auto has = [&item](const char* name, json::value_t type) {
    const auto found = item.find(name);
    return found != item.end() && found->type() == type;
  };
  const bool valid = item.is_object() && has("key", json::value_t::string) &&
                     has("version", json::value_t::number_unsigned) &&
                     (has("value", json::value_t::string) || !item.contains("value"));
  if (!valid) {
    return std::nullopt;
  }
  return policy::platform_object{item["key"].get<std::string>(),
                                 item["version"].get<std::uint64_t>(),
                                 item.value("value", std::string())};
}

/// Reads the objects of a listing. Those that another writer left unreadable are logged
/// and left out.
std::vector<policy::platform_object> read_listing(const json& items) {
  std::vector<policy::platform_object> objects;
  std::size_t unreadable = 0;
  for (const json& item : items) {
    if (auto object = read_object(item)) {
      objects.push_back(std::move(*object));
    } else {
      ++unreadable;
    }
  }
  if (unreadable > 0) {
    write_log({policy::log_level::warning,
               "objects of the platform cannot be read",
               {{"count", std::to_string(unreadable)}}});
  }
  return objects;
}

/// @return The objects of a response; nothing if it cannot be read.
std::optional<std::vector<policy::platform_object>> read_objects(
    const std::string& body) {
  using objects = std::vector<policy::platform_object>;
  if (body.empty()) {
    return objects{};
  }
  const json root = json::parse(body, nullptr, false);
  if (root.is_array()) {
    return read_listing(root);
  }
  if (!root.is_object()) {
    return std::nullopt;
  }
  if (!root.contains("key")) {
    return objects{};
  }
  auto object = read_object(root);
  return object ? std::optional(objects{std::move(*object)}) : std::nullopt;
}

policy::platform_replied make_call(httplib::Client& client,
                                   const policy::call_platform& call) {
  constexpr base::milliseconds watch_grace{1000};
  const bool watch = call.verb == platform_verb::watch;
  client.set_connection_timeout(std::chrono::milliseconds(500));
  client.set_read_timeout(watch ? call.timeout + watch_grace : call.timeout);
  const auto reply = send(client, call);
  if (!reply) {
    return {call.call, platform_outcome::unavailable, {}};
  }
  auto objects = read_objects(reply->body);
  if (!objects) {
    return {call.call, platform_outcome::unavailable, {}};
  }
  return {call.call, outcome_of(reply->status), std::move(*objects)};
}

}  // namespace

policy::platform_replied call_platform_sync(const std::string& address,
                                            const policy::call_platform& call) {
  return make_call(*make_client(address), call);
}

struct platform_client::state {
  std::string address;
  post_event post;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<policy::call_platform> calls;
  std::deque<policy::call_platform> watches;
  std::vector<std::shared_ptr<httplib::Client>> clients;
  std::vector<std::thread> threads;
  bool stopped = false;

  void add_thread(std::deque<policy::call_platform>& queue) {
    const std::shared_ptr<httplib::Client> client = make_client(address);
    clients.push_back(client);
    threads.emplace_back([this, client, &queue] {
      while (const auto call = next(queue)) {
        post(make_call(*client, *call));
      }
    });
  }

  /// Waits for a call in a queue and removes it.
  /// @return The call, or nothing after `stop`.
  std::optional<policy::call_platform> next(std::deque<policy::call_platform>& queue) {
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return stopped || !queue.empty(); });
    if (stopped) {
      return std::nullopt;
    }
    policy::call_platform call = std::move(queue.front());
    queue.pop_front();
    return call;
  }
};

platform_client::platform_client(std::string address, post_event post)
    : state_(std::make_unique<state>()) {
  state_->address = std::move(address);
  state_->post = std::move(post);
  for (std::size_t i = 0; i < call_threads; ++i) {
    state_->add_thread(state_->calls);
  }
  state_->add_thread(state_->watches);
}

platform_client::~platform_client() {
  stop();
}

void platform_client::call(policy::call_platform call) {
  const std::lock_guard lock(state_->mutex);
  auto& queue = call.verb == platform_verb::watch ? state_->watches : state_->calls;
  queue.push_back(std::move(call));
  state_->changed.notify_all();
}

void platform_client::stop() {
  {
    const std::lock_guard lock(state_->mutex);
    state_->stopped = true;
    state_->changed.notify_all();
  }
  for (const auto& client : state_->clients) {
    client->stop();
  }
  for (std::thread& thread : state_->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

}  // namespace ibis::runtime
