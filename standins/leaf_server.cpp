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

int status_of(const std::string& refused) {
  constexpr int ok = 200;
  constexpr int conflict = 409;
  constexpr int gone = 410;
  constexpr int too_many = 429;
  constexpr int cancelled = 499;
  constexpr int unavailable = 503;
  if (refused.empty()) {
    return ok;
  }
  if (refused == "shed") {
    return too_many;
  }
  if (refused == "draining") {
    return unavailable;
  }
  if (refused == "version_gone") {
    return conflict;
  }
  return refused == "moved" ? gone : cancelled;
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

leaf_faults read_faults(const json& whole, leaf_faults faults) {
  faults.draining = whole.value("draining", faults.draining);
  faults.shed = whole.value("shed", faults.shed);
  faults.silent_existing = whole.value("silent_existing", faults.silent_existing);
  faults.slow_share = whole.value("slow_share", faults.slow_share);
  faults.slow_factor = whole.value("slow_factor", faults.slow_factor);
  faults.speed_factor = whole.value("speed_factor", faults.speed_factor);
  faults.lose_submit_replies =
      whole.value("lose_submit_replies", faults.lose_submit_replies);
  faults.moved = whole.value("moved", faults.moved);
  return faults;
}

}  // namespace

struct leaf_server::state {
  std::shared_ptr<leaf_model> model;
  http_host host;
  std::mutex mutex;
  std::set<int> known_ports;   ///< Of connections that were seen.
  std::set<int> silent_ports;  ///< Of connections that never answer again.
  bool stopping = false;

  state(std::shared_ptr<leaf_model> given, std::size_t threads)
      : model(std::move(given)), host(threads) {}

  /// Takes connection set-up and silence into account.
  /// @return False if the connection is silent; it then waits until it is closed.
  bool admit(const Request& request) {
    const bool fault_call = request.path.rfind("/v1/leaf/", 0) != 0;
    if (fault_call) {
      return true;
    }
    bool fresh = false;
    {
      const std::lock_guard lock(mutex);
      fresh = known_ports.insert(request.remote_port).second;
      if (silent_ports.count(request.remote_port) == 0) {
        if (!fresh) {
          return true;
        }
      }
    }
    if (fresh) {
      std::this_thread::sleep_for(model->shape().connection_setup);
      return true;
    }
    return false;
  }

  void stay_silent() {
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
    json whole = write_status(*model);
    whole["attempt"] = attempt;
    response.status = status_of(result.refused);
    if (!result.refused.empty()) {
      whole["refused"] = result.refused;
    } else {
      whole["index_version"] = result.version;
      whole["shards"] = result.shards;
      whole["hits"] = write_hits(result.hits);
      if (!result.result.empty()) {
        whole["result"] = json::parse(result.result);
      }
    }
    if (result.drop_connection) {
      // A body shorter than promised: the caller cannot read the answer.
      response.set_content_provider(
          100, json_type,
          [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
      return;
    }
    response.set_content(whole.dump(), json_type);
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
        stay_silent();
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
                        stay_silent();
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

// One more thread for those who switch faults.
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
