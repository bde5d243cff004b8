#include "ibis/runtime/http_api.hpp"

#include <httplib.h>  // for Server

#include <future>   // for promise
#include <utility>  // for move

#include "ibis/runtime/http_bind.hpp"     // for bind_http
#include "ibis/runtime/request_body.hpp"  // for parse_query

namespace ibis::runtime {
namespace {

using httplib::Request;
using httplib::Response;

constexpr const char* json_type = "application/json";
constexpr const char* problem_type = "application/problem+json";
constexpr const char* text_type = "text/plain; version=0.0.4";
constexpr int service_unavailable = 503;
constexpr base::milliseconds max_answer_wait = std::chrono::seconds(310);

std::optional<std::string> header(const Request& request, const char* name) {
  if (!request.has_header(name)) {
    return std::nullopt;
  }
  return request.get_header_value(name);
}

request_headers headers_of(const Request& request) {
  return {header(request, "Ibis-Timeout-Ms"), header(request, "Ibis-Tenant"),
          header(request, "Ibis-Class"), header(request, "Idempotency-Key")};
}

void set_problem(Response& response, const request_error& error) {
  response.status = error.status;
  response.set_content(write_problem(error), problem_type);
}

void set_answer(Response& response, const policy::answer& value) {
  response.status = status_of(value);
  if (value.outcome == policy::outcome::rejected) {
    set_problem(response, {response.status, value.field, value.reason});
    return;
  }
  if (value.retry_after.count() > 0) {
    const auto retry_after = std::chrono::ceil<std::chrono::seconds>(value.retry_after);
    response.set_header("Retry-After", std::to_string(retry_after.count()));
  }
  response.set_content(write_answer(value), json_type);
}

/// Posts a request's event to the node and blocks until its answer.
template <typename Event>
policy::answer await_answer(node_runner& node, Event event) {
  const auto done = std::make_shared<std::promise<policy::answer>>();
  auto result = done->get_future();
  event.caller = node.register_caller(
      [done](policy::answer value) { done->set_value(std::move(value)); });
  node.post(std::move(event));
  if (result.wait_for(max_answer_wait) != std::future_status::ready) {
    policy::answer no_answer;
    no_answer.reason = "the process did not answer in time";
    return no_answer;
  }
  return result.get();
}

template <typename Parsed>
void serve_request(node_runner& node, Parsed parsed, Response& response) {
  if (const auto* error = std::get_if<request_error>(&parsed)) {
    set_problem(response, *error);
    return;
  }
  set_answer(response, await_answer(node, std::get<0>(std::move(parsed))));
}

std::string reason_for_status(int status) {
  constexpr int too_large = 413;
  constexpr int not_found = 404;
  constexpr int internal = 500;
  if (status == too_large) {
    return "the body may have " + std::to_string(max_request_size) + " bytes at most";
  }
  if (status == not_found) {
    return "there is nothing at this path for this method";
  }
  return status >= internal ? "an internal error" : "not a valid request";
}

}  // namespace

struct http_api::state {
  node_runner& node;  // NOLINT(*-avoid-const-or-ref-data-members)
  httplib::Server server;

  explicit state(node_runner& owner) : node(owner) {}

  void add_operator_routes() {
    server.Get("/healthz", [](const Request&, Response& response) {
      response.set_content("ok\n", "text/plain");
    });
    server.Get("/readyz", [this](const Request&, Response& response) {
      const policy::readiness readiness = node.ready();
      response.status = readiness.ready ? response.status : service_unavailable;
      response.set_content(readiness.ready ? "ready\n" : readiness.reason + '\n',
                           "text/plain");
    });
    server.Get("/metrics", [this](const Request&, Response& response) {
      response.set_content(node.metrics(), text_type);
    });
    server.Get("/v1/status", [this](const Request&, Response& response) {
      response.set_content(node.status(), json_type);
    });
  }

  void add_caller_routes() {
    server.Post(R"(/v1/services/([^/]+)/query)", [this](const Request& request,
                                                        Response& response) {
      serve_request(node,
                    parse_query(request.matches[1], headers_of(request), request.body),
                    response);
    });
    server.Post(R"(/v1/services/([^/]+)/submit)", [this](const Request& request,
                                                         Response& response) {
      serve_request(node,
                    parse_submit(request.matches[1], headers_of(request), request.body),
                    response);
    });
  }

  void set_limits(std::size_t threads) {
    server.new_task_queue = [threads] {
      return new httplib::ThreadPool(threads);  // NOLINT(*-owning-memory)
    };
    server.set_payload_max_length(max_request_size);
    server.set_keep_alive_timeout(60);
    server.set_read_timeout(std::chrono::seconds(5));
    server.set_error_handler([](const Request&, Response& response) {
      if (response.body.empty()) {
        set_problem(response,
                    {response.status, "request", reason_for_status(response.status)});
      }
    });
  }
};

http_api::http_api(node_runner& node, policy::node_role role, std::size_t threads)
    : state_(std::make_unique<state>(node)) {
  state_->set_limits(threads);
  state_->add_operator_routes();
  if (role == policy::node_role::entry) {
    state_->add_caller_routes();
  }
}

http_api::~http_api() {
  stop();
}

base::result<std::string> http_api::bind(const std::string& ip, std::uint16_t port) {
  return bind_http(state_->server, ip, port);
}

void http_api::serve() {
  state_->server.listen_after_bind();
}

void http_api::stop() {
  state_->server.stop();
}

}  // namespace ibis::runtime
