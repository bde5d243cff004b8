#include "leaf_server.hpp"

#include <nlohmann/json.hpp>  // for json
#include <set>                // for set
#include <thread>             // for sleep_for
#include <utility>            // for move

#include "http_host.hpp"                   // for http_host
#include "ibis/runtime/leaf_protocol.hpp"  // for leaf_search_path

namespace ibis::standins {
namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr const char* json_type = "application/json";

int status_of(const std::string& refusal_reason) {
  constexpr int ok = 200;
  constexpr int conflict = 409;
  constexpr int gone = 410;
  constexpr int too_many = 429;
  constexpr int cancelled = 499;
  constexpr int unavailable = 503;
  if (refusal_reason.empty()) {
    return ok;
  }
  if (refusal_reason == "shed") {
    return too_many;
  }
  if (refusal_reason == "draining") {
    return unavailable;
  }
  if (refusal_reason == "version_gone") {
    return conflict;
  }
  return refusal_reason == "moved" ? gone : cancelled;
}

json write_hits(const std::vector<wire::hit>& hits) {
  json list = json::array();
  for (const wire::hit& hit : hits) {
    list.push_back({{"id", hit.id},
                    {"score", hit.score},
                    {"shard", hit.shard},
                    {"record", json::parse(hit.body)}});
  }
  return list;
}

json write_status(leaf_model& model) {
  return {{"oldest_version", model.oldest_version()},
          {"newest_version", model.newest_version()},
          {"draining", model.faults().draining}};
}

leaf_faults read_faults(const json& body, leaf_faults faults) {
  faults.draining = body.value("draining", faults.draining);
  faults.shed = body.value("shed", faults.shed);
  faults.silent_existing = body.value("silent_existing", faults.silent_existing);
  faults.slow_share = body.value("slow_share", faults.slow_share);
  faults.slow_factor = body.value("slow_factor", faults.slow_factor);
  faults.speed_factor = body.value("speed_factor", faults.speed_factor);
  faults.lose_submit_replies =
      body.value("lose_submit_replies", faults.lose_submit_replies);
  faults.moved = body.value("moved", faults.moved);
  return faults;
}

}  // namespace

struct leaf_server::state {
  std::shared_ptr<leaf_model> model;
  http_host host;
  std::mutex mutex;
  std::set<int> known_ports;  ///< Callers' ports of all connections so far.
  /// Callers' ports of connections that never answer again.
  std::set<int> silent_ports;
  bool stopping = false;

  state(std::shared_ptr<leaf_model> leaf, std::size_t threads)
      : model(std::move(leaf)), host(threads) {}

  /// Delays the first request of a connection by the set-up time.
  /// @return False if the connection is silent and its requests must get no answer.
  bool admit(const Request& request) {
    const bool control_call = request.path.rfind("/v1/leaf/", 0) != 0;
    if (control_call) {
      return true;
    }
    bool new_connection = false;
    {
      const std::lock_guard lock(mutex);
      new_connection = known_ports.insert(request.remote_port).second;
      if (silent_ports.count(request.remote_port) == 0) {
        if (!new_connection) {
          return true;
        }
      }
    }
    if (new_connection) {
      std::this_thread::sleep_for(model->settings().connection_setup);
      return true;
    }
    return false;
  }

  /// Blocks a request that gets no answer for 30 s, or until the server stops.
  void hold_unanswered() {
    constexpr base::milliseconds step{20};
    constexpr int steps = 1500;
    for (int i = 0; i < steps; ++i) {
      std::this_thread::sleep_for(step);
      const std::lock_guard lock(mutex);
      if (stopping) {
        return;
      }
    }
  }

  void answer(Response& response, std::uint64_t attempt, const leaf_result& result) {
    json body = write_status(*model);
    body["attempt"] = attempt;
    response.status = status_of(result.refusal_reason);
    if (!result.refusal_reason.empty()) {
      body["refused"] = result.refusal_reason;
    } else {
      body["index_version"] = result.version;
      body["shards"] = result.shards;
      body["hits"] = write_hits(result.hits);
      if (!result.result.empty()) {
        body["result"] = json::parse(result.result);
      }
    }
    if (result.drop_connection) {
      // The connection closes before the announced body length, so that the caller
      // cannot read the answer.
      response.set_content_provider(
          100, json_type,
          [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
      return;
    }
    response.set_content(body.dump(), json_type);
  }

  void on_search(const json& body, Response& response) {
    leaf_query query;
    query.attempt = body.at("attempt");
    query.version = body.at("index_version");
    body.at("shards").get_to(query.shards);
    query.text = body.at("query");
    query.limit = body.at("limit");
    query.deadline = base::milliseconds(
        static_cast<std::int64_t>(body.at("deadline_ms").get<double>()) + 1);
    answer(response, query.attempt, model->search(query));
  }

  void on_submit(const json& body, Response& response) {
    const std::uint64_t attempt = body.at("attempt");
    answer(response, attempt,
           model->submit(attempt, body.at("idempotency_key"),
                         body.at("shards").get<std::vector<wire::shard_index>>()));
  }

  void on_faults(const json& body) {
    const leaf_faults faults = read_faults(body, model->faults());
    model->set_faults(faults);
    if (body.contains("version")) {
      model->set_version(body["version"]);
    }
    const std::lock_guard lock(mutex);
    silent_ports = faults.silent_existing ? known_ports : std::set<int>();
  }

  void add_route(const char* path,
                 const std::function<void(const json&, Response&)>& handle) {
    host.server.Post(path, [this, handle](const Request& request, Response& response) {
      if (!admit(request)) {
        hold_unanswered();
        return;
      }
      const json body = json::parse(request.body, nullptr, false);
      try {
        handle(body, response);
      } catch (const json::exception& failure) {
        response.status = 400;
        response.set_content(json{{"error", failure.what()}}.dump(), json_type);
      }
    });
  }

  void add_routes() {
    add_route(runtime::leaf_search_path, [this](const json& body, Response& response) {
      on_search(body, response);
    });
    add_route(runtime::leaf_submit_path, [this](const json& body, Response& response) {
      on_submit(body, response);
    });
    add_route(runtime::leaf_cancel_path, [this](const json& body, Response& response) {
      model->cancel(body.at("attempt"));
      response.set_content("{}", json_type);
    });
    add_route("/v1/faults", [this](const json& body, Response& response) {
      on_faults(body);
      response.set_content("{}", json_type);
    });
    host.server.Get(runtime::leaf_status_path,
                    [this](const Request& request, Response& response) {
                      if (!admit(request)) {
                        hold_unanswered();
                        return;
                      }
                      response.set_content(write_status(*model).dump(), json_type);
                    });
    host.server.Get("/v1/stats", [this](const Request&, Response& response) {
      const leaf_counts counts = model->counts();
      response.set_content(json{{"requests", counts.requests},
                                {"ran", counts.ran},
                                {"shed", counts.shed},
                                {"cancelled", counts.cancelled},
                                {"submits", counts.submits}}
                               .dump(),
                           json_type);
    });
    host.server.Get("/v1/runs", [this](const Request&, Response& response) {
      response.set_content(json(model->runs()).dump(), json_type);
    });
  }
};

// One more thread than connections, for calls that change faults.
leaf_server::leaf_server(std::shared_ptr<leaf_model> model, std::size_t connections)
    : state_(std::make_unique<state>(std::move(model), connections + 1)) {
  state_->add_routes();
}

leaf_server::~leaf_server() {
  stop();
}

base::result<std::string> leaf_server::start(const std::string& ip, int port) {
  return state_->host.start(ip, port);
}

void leaf_server::stop() {
  {
    const std::lock_guard lock(state_->mutex);
    state_->stopping = true;
  }
  state_->host.stop();
}

}  // namespace ibis::standins
