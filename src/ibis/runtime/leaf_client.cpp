#include "ibis/runtime/leaf_client.hpp"

#include <optional>       // for optional
#include <unordered_map>  // for unordered_map
#include <utility>        // for move

#include "ibis/runtime/address.hpp"          // for to_endpoint
#include "ibis/runtime/http_call_queue.hpp"  // for http_call_queue
#include "ibis/runtime/leaf_protocol.hpp"    // for write_leaf_request
#include "ibis/wire/codec.hpp"               // for max_body_size

namespace ibis::runtime {
namespace {

using response_result = base::result<http::response>;

constexpr unsigned http_ok = 200;
/// A longer reply could not be passed on in a frame.
constexpr std::size_t max_reply_bytes = wire::max_body_size;

http::request make_request(const char* method, const char* path,
                           const std::string& address, std::string body) {
  http::request value;
  value.method = method;
  value.target = path;
  value.fields.push_back({"Host", address});
  if (!body.empty()) {
    value.fields.push_back({"Content-Type", "application/json"});
  }
  value.body = std::move(body);
  return value;
}

std::optional<policy::leaf_status> read_status(const response_result& response) {
  if (!response || response.value().status != http_ok) {
    return std::nullopt;
  }
  const auto status = read_leaf_status(response.value().body);
  if (!status) {
    return std::nullopt;
  }
  return status.value();
}

policy::event make_attempt_event(base::attempt_id attempt,
                                 const response_result& response) {
  if (!response) {
    const bool may_have_run = response.error().code != base::error_code::refused;
    return policy::attempt_lost{attempt, may_have_run};
  }
  auto reply = read_leaf_reply(attempt, static_cast<int>(response.value().status),
                               response.value().body);
  if (!reply) {
    policy::leaf_replied invalid;
    invalid.attempt = attempt;
    invalid.outcome = policy::leaf_outcome::invalid;
    return invalid;
  }
  return std::move(reply.value());
}

/// A connection to a leaf, with its queue of HTTP calls.
struct leaf_link {
  std::string address;
  std::shared_ptr<http_call_queue> calls;
};

}  // namespace

struct leaf_client::state {
  asio::io_context& io;  // NOLINT(*-avoid-const-or-ref-data-members)
  post_event post;
  leaf_limits limits;
  std::unordered_map<base::connection_id, leaf_link> connections;
  std::unordered_map<std::string, leaf_link> controls;  ///< Control links, by leaf.

  std::optional<leaf_link> make_link(const std::string& address) const {
    const auto endpoint = to_endpoint(address);
    if (!endpoint) {
      return std::nullopt;
    }
    return leaf_link{address, std::make_shared<http_call_queue>(
                                  io, endpoint.value(), http_client::retry_mode::never,
                                  max_reply_bytes)};
  }

  /// @return The leaf's control link, which is made if needed; nullptr if the address
  /// is invalid.
  leaf_link* control_link(const std::string& leaf, const std::string& address) {
    const auto found = controls.find(leaf);
    if (found != controls.end()) {
      return &found->second;
    }
    auto new_link = make_link(address);
    return new_link ? &controls.emplace(leaf, std::move(*new_link)).first->second
                    : nullptr;
  }
};

leaf_client::leaf_client(asio::io_context& io, post_event post, leaf_limits limits)
    : state_(new state{io, std::move(post), limits, {}, {}}) {}

leaf_client::~leaf_client() {
  stop();
}

void leaf_client::open(const policy::open_connection& effect) {
  auto link = state_->make_link(effect.address);
  if (!link) {
    state_->post(
        policy::connection_failed{effect.connection, "the address is invalid"});
    return;
  }
  link->calls->add(
      make_request("GET", leaf_status_path, effect.address, ""),
      state_->limits.status_timeout,
      [post = state_->post, id = effect.connection](const response_result& response) {
        if (const auto status = read_status(response)) {
          post(policy::connection_opened{id, *status});
        } else {
          post(policy::connection_failed{id, "no valid status from the leaf"});
        }
      });
  state_->connections.emplace(effect.connection, std::move(*link));
}

void leaf_client::close(base::connection_id connection) {
  const auto found = state_->connections.find(connection);
  if (found != state_->connections.end()) {
    found->second.calls->stop();
    state_->connections.erase(found);
  }
}

void leaf_client::send(const policy::send_leaf_request& request) {
  const auto found = state_->connections.find(request.connection);
  if (found == state_->connections.end()) {
    state_->post(policy::attempt_lost{request.attempt, false});
    return;
  }
  const bool submit = request.kind == wire::request_kind::submit;
  const auto limit = std::chrono::duration_cast<base::milliseconds>(request.budget) +
                     state_->limits.answer_grace;
  const bool queued = found->second.calls->add(
      make_request("POST", submit ? leaf_submit_path : leaf_search_path,
                   found->second.address, write_leaf_request(request)),
      limit,
      [post = state_->post,
       attempt = request.attempt](const response_result& response) {
        post(make_attempt_event(attempt, response));
      });
  if (!queued) {
    state_->post(policy::attempt_lost{request.attempt, false});
  }
}

void leaf_client::cancel(const policy::cancel_leaf_request& effect) {
  if (leaf_link* link = state_->control_link(effect.leaf, effect.address)) {
    // The response is ignored: the attempt's deadline ends it even if the leaf does not
    // stop it.
    link->calls->add(make_request("POST", leaf_cancel_path, effect.address,
                                  write_cancel(effect.attempt)),
                     state_->limits.status_timeout,
                     [](const response_result& /*response*/) {});
  }
}

void leaf_client::poll(const policy::poll_status& effect) {
  leaf_link* link = state_->control_link(effect.leaf, effect.address);
  if (link == nullptr) {
    state_->post(policy::status_polled{effect.leaf, std::nullopt});
    return;
  }
  link->calls->add(
      make_request("GET", leaf_status_path, effect.address, ""),
      state_->limits.status_timeout,
      [post = state_->post, leaf = effect.leaf](const response_result& response) {
        post(policy::status_polled{leaf, read_status(response)});
      });
}

void leaf_client::close_control(const std::string& leaf) {
  const auto found = state_->controls.find(leaf);
  if (found != state_->controls.end()) {
    found->second.calls->stop();
    state_->controls.erase(found);
  }
}

void leaf_client::stop() {
  for (const auto& [id, link] : state_->connections) {
    link.calls->stop();
  }
  for (const auto& [leaf, link] : state_->controls) {
    link.calls->stop();
  }
  state_->connections.clear();
  state_->controls.clear();
}

}  // namespace ibis::runtime
