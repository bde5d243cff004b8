#include "in_process_tier.hpp"

#include <httplib.h>  // for Client

#include "ibis/control/apply.hpp"            // for apply_plan
#include "ibis/runtime/address.hpp"          // for parse_address
#include "ibis/runtime/platform_client.hpp"  // for call_platform_sync

namespace ibis::standins {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t shard_count = 4;

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
  leaf_model_settings settings;
  settings.service_time = std::chrono::microseconds(0);
  constexpr std::size_t many_slots = 64;
  settings.slots = many_slots;
  return std::make_shared<leaf_model>(settings, data);
}

config::service make_service(const std::string& name, const std::string& leaf,
                             bool repeatable) {
  config::service service;
  service.name = name;
  service.tenant = "tenant";
  service.repeatable = repeatable;
  service.groups = {{0, shard_count - 1, {{name + "-leaf", leaf, 8, 40}}}};
  return service;
}

void apply_configuration(const std::string& platform,
                         const config::configuration& configuration) {
  const auto transport = [&](const policy::call_platform& call) {
    return runtime::call_platform_sync(platform, call);
  };
  const auto pause = [](milliseconds time) { std::this_thread::sleep_for(time); };
  const auto plan = control::make_plan(control::read_platform(transport, pause).value(),
                                       configuration);
  control::apply_plan(plan.value(), {"test", "test", "token", 0, 0}, transport, pause)
      .value();
}

/// Waits until the entry answers a query with status 200: it is ready then, and the
/// relay is connected to the leaf.
void wait_until_ready(const std::string& http_address) {
  const auto target = runtime::parse_address(http_address).value();
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
  http_address = api_.bind("127.0.0.1", 0).value();
  frame_address = runner_.listen(http_address).value();
  runner_thread_ =
      std::thread([this] { aborted_requests_ = runner_.run([this] { api_.stop(); }); });
  http_thread_ = std::thread([this] { api_.serve(); });
}

in_process_node::~in_process_node() {
  api_.stop();
  if (http_thread_.joinable()) {
    http_thread_.join();
  }
  runner_.stop();
  if (runner_thread_.joinable()) {
    runner_thread_.join();
  }
}

std::size_t in_process_node::stop_gracefully() {
  runner_.post(policy::stop_requested{});
  http_thread_.join();
  runner_.stop();
  runner_thread_.join();
  return aborted_requests_;
}

in_process_tier::in_process_tier() {
  dataset_settings data_settings;
  data_settings.shards = shard_count;
  data = make_dataset(data_settings);
  platform_address = platform.start("127.0.0.1", 0).value();
  search_leaf = make_model(data);
  store_leaf = make_model(data);
  constexpr std::size_t connections = 40;
  search_server = std::make_unique<leaf_server>(search_leaf, connections);
  store_server = std::make_unique<leaf_server>(store_leaf, connections);
  search_address = search_server->start("127.0.0.1", 0).value();
  const std::string store_address = store_server->start("127.0.0.1", 0).value();
  config::configuration configuration;
  configuration.zones = {{"zone", ""}};
  configuration.services["search"] = std::make_shared<const config::service>(
      make_service("search", search_address, true));
  configuration.services["store"] = std::make_shared<const config::service>(
      make_service("store", store_address, false));
  apply_configuration(platform_address, configuration);
  config::process_settings settings = make_settings(platform_address);
  relay = std::make_unique<in_process_node>(settings, policy::node_role::relay);
  settings.seeds = {{"vm", "zone", "", relay->frame_address}};
  entry = std::make_unique<in_process_node>(settings, policy::node_role::entry);
  wait_until_ready(entry->http_address);
}

}  // namespace ibis::standins
