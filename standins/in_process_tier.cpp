#include "in_process_tier.hpp"

#include <httplib.h>  // for Client

#include "ibis/control/apply.hpp"            // for apply_plan
#include "ibis/runtime/address.hpp"          // for parse_address
#include "ibis/runtime/platform_client.hpp"  // for call_platform_sync

namespace ibis::standins {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t shard_total = 4;

config::process_settings make_settings(const std::string& platform) {
  config::process_settings settings;
  settings.vm = "vm";
  settings.zone = "zone";
  settings.entry_port = 0;
  settings.relay_port = 0;
  settings.platform = platform;
  settings.http_threads = 8;
  settings.stop_handover = milliseconds(50);
  return settings;
}

std::shared_ptr<leaf_model> make_model(const dataset& data) {
  leaf_shape shape;
  shape.service_time = std::chrono::microseconds(0);
  constexpr std::size_t many_slots = 64;
  shape.slots = many_slots;
  return std::make_shared<leaf_model>(shape, data);
}

config::service make_service(const std::string& name, const std::string& leaf,
                             bool repeatable) {
  config::service service;
  service.name = name;
  service.tenant = "tenant";
  service.repeatable = repeatable;
  service.groups = {{0, shard_total - 1, {{name + "-leaf", leaf, 8, 40}}}};
  return service;
}

void apply_configuration(const std::string& platform,
                         const config::configuration& wanted) {
  const auto ask = [&](const policy::call_platform& call) {
    return runtime::call_platform_sync(platform, call);
  };
  const auto pause = [](milliseconds time) { std::this_thread::sleep_for(time); };
  const auto planned =
      control::make_plan(control::read_platform(ask, pause).value(), wanted);
  control::apply_plan(planned.value(), {"test", "test", "token", 0, 0}, ask, pause)
      .value();
}

/// Waits until the entry is ready and the relay's connections are open.
void await_service(const std::string& http) {
  const auto target = runtime::parse_address(http).value();
  httplib::Client client(target.ip, target.port);
  constexpr int http_ok = 200;
  for (;;) {
    const auto reply = client.Post("/v1/services/search/query", R"({"query": "R12"})",
                                   "application/json");
    if (reply && reply->status == http_ok) {
      return;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
}

}  // namespace

in_process_node::in_process_node(const config::process_settings& settings,
                                 policy::node_role role)
    : runner_(settings, role), api_(runner_, role, settings.http_threads) {
  http = api_.bind("127.0.0.1", 0).value();
  frames = runner_.listen(http).value();
  strand_ = std::thread([this] { cut_ = runner_.run([this] { api_.stop(); }); });
  serving_ = std::thread([this] { api_.serve(); });
}

in_process_node::~in_process_node() {
  api_.stop();
  if (serving_.joinable()) {
    serving_.join();
  }
  runner_.stop();
  if (strand_.joinable()) {
    strand_.join();
  }
}

std::size_t in_process_node::stop_gracefully() {
  runner_.post(policy::stop_requested{});
  serving_.join();
  runner_.stop();
  strand_.join();
  return cut_;
}

in_process_tier::in_process_tier() {
  dataset_shape shape;
  shape.shards = shard_total;
  data = make_dataset(shape);
  platform_address = platform.start("127.0.0.1", 0).value();
  search_leaf = make_model(data);
  store_leaf = make_model(data);
  constexpr std::size_t connections = 40;
  search_server = std::make_unique<leaf_server>(search_leaf, connections);
  store_server = std::make_unique<leaf_server>(store_leaf, connections);
  search_address = search_server->start("127.0.0.1", 0).value();
  const std::string store_address = store_server->start("127.0.0.1", 0).value();
  config::configuration wanted;
  wanted.zones = {{"zone", ""}};
  wanted.services["search"] = std::make_shared<const config::service>(
      make_service("search", search_address, true));
  wanted.services["store"] = std::make_shared<const config::service>(
      make_service("store", store_address, false));
  apply_configuration(platform_address, wanted);
  config::process_settings settings = make_settings(platform_address);
  relay = std::make_unique<in_process_node>(settings, policy::node_role::relay);
  settings.seeds = {{"vm", "zone", "", relay->frames}};
  entry = std::make_unique<in_process_node>(settings, policy::node_role::entry);
  await_service(entry->http);
}

}  // namespace ibis::standins
