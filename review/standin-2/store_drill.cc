/// The store comes back from a copy some seconds old, and later the operator moves a
/// route to another service. Does every machine follow?
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "world.h"

using namespace world;

namespace {

constexpr double config_apply_ms = 3000;  // configApplyMs
constexpr double stability_ms = 4000;     // stabilityWindowMs
constexpr double outer_ms = 12000;        // outerMs
constexpr double watch_ms = 20000;        // How long requests are judged.
constexpr std::size_t shards = 4;
constexpr std::size_t new_leafs = 12;  // scale_out: three tenths of 40 leafs.

std::string shard(std::size_t index) {
  return "counter-desk-" + std::to_string(index);
}

json route(const std::string& name) {
  return {{"name", name},
          {"hostname", "demo.example"},
          {"pathPrefix", "/" + name + "/"},
          {"routeType", "safe"},
          {"timeoutMs", 5000},
          {"targetLatencyMs", 800},
          {"priority", 1},
          {"maxAttempts", 2}};
}

json configuration(std::uint64_t version, const std::string& price_service) {
  json browse = route("browse");
  json services = json::array();
  for (std::size_t i = 0; i < shards; ++i) {
    browse["fanoutServices"].push_back(shard(i));
    services.push_back(
        {{"name", shard(i)}, {"healthCheckPath", "/health"}, {"maxConnections", 26}});
  }
  browse["topK"] = 20;
  browse["minShardShare"] = 0.75;
  json price = route("price");
  price["backend"] = price_service;
  for (const char* name : {"ledger-sync", "dock-slips"}) {
    services.push_back(
        {{"name", name}, {"healthCheckPath", "/health"}, {"maxConnections", 35}});
  }
  return {{"configVersion", version},
          {"routes", {browse, price}},
          {"services", services},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 262144},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

double setting(const char* name, double otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr || *text == 0 ? otherwise : std::atof(text);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 3) {
    return 2;
  }
  const std::string folder = argv[2];
  open_record(std::string(argv[1]) + "/record.txt");
  const bool trouble = setting("TROUBLE", 1) != 0;
  const double away_ms = setting("AWAY_MS", 300);
  const double age_ms = setting("AGE_MS", 5000);
  const bool refuse = setting("REFUSE", 0) != 0;
  note(std::string("trouble ") + (trouble ? "on" : "off"));

  store platform;
  std::vector<std::unique_ptr<leaf>> leafs;
  const std::vector<std::string> zones{"macon", "florence", "augusta"};
  const auto add_leaf = [&](const std::string& service, std::size_t number,
                            double cold_ms) {
    leaf_options options;
    options.service = service;
    options.id = "i-" + service + "-" + std::to_string(number);
    options.zone = zones[number % zones.size()];
    options.cold_ms = cold_ms;
    leafs.push_back(std::make_unique<leaf>(platform, options));
  };
  for (std::size_t i = 0; i < shards; ++i) {
    add_leaf(shard(i), 0, 0);
    add_leaf(shard(i), 1, 0);
  }
  for (std::size_t i = 0; i < 3; ++i) {
    add_leaf("ledger-sync", i, 0);
    add_leaf("dock-slips", i, 0);
  }
  platform.put("config", "main", configuration(10, "ledger-sync"));

  std::vector<std::unique_ptr<node>> nodes;
  const std::vector<std::size_t> per_zone{static_cast<std::size_t>(setting("MACON", 3)),
                                          2, 2};
  for (std::size_t zone = 0; zone < zones.size(); ++zone) {
    for (std::size_t i = 0; i < per_zone[zone]; ++i) {
      nodes.push_back(std::make_unique<node>(
          node_options{"front-" + zones[zone] + "-" + std::to_string(i + 1),
                       zones[zone], platform.address(), folder, 3000, ""}));
      nodes.back()->start();
    }
  }
  for (const auto& each : nodes) {
    if (!each->wait_ready(15000)) {
      std::cerr << each->name() << " does not get ready\n";
      std::_Exit(2);
    }
  }
  note("all nodes are ready");

  std::atomic<bool> done = false;
  std::atomic<double> changed_at = 0;
  std::mutex judged;
  std::map<std::string, std::pair<std::size_t, std::size_t>> counts;  // old, new
  std::map<std::string, std::string> first_broken;
  std::vector<std::thread> clients;
  for (const auto& each : nodes) {
    clients.emplace_back([&, name = each->name(), address = each->clients()] {
      client caller(address);
      std::size_t number = 0;
      while (!done) {
        const std::string id = name + "-" + std::to_string(++number);
        const reply value = caller.ask("GET", "/price/x", id, 5000);
        const std::string stamp = value.answer.field("x-server-stamp");
        const std::string service = stamp.substr(0, stamp.find('/'));
        note(id + " sent at " + std::to_string(value.sent_at) + " -> " +
             std::to_string(value.status) + " " + stamp);
        const double at = changed_at;
        if (at > 0 && value.sent_at > at + config_apply_ms && value.status == 200) {
          const std::scoped_lock lock(judged);
          auto& [old_count, new_count] = counts[name];
          if (service == "ledger-sync") {
            ++old_count;
            first_broken.try_emplace(name, id);
          } else {
            ++new_count;
          }
        }
        sleep_ms(100);
      }
    });
  }

  sleep_ms(12000);  // The nodes have counted each other.
  note("revision " + std::to_string(platform.revision()) + "; new leafs start");
  for (std::size_t i = 0; i < new_leafs; ++i) {
    add_leaf(i % 2 == 0 ? "ledger-sync" : "dock-slips", 10 + i, 3000);
    sleep_ms(50);
  }
  sleep_ms(age_ms - 50.0 * new_leafs - 200);
  note("revision " + std::to_string(platform.revision()));
  if (trouble) {
    note("drill: the store is away for " + std::to_string(away_ms) + " ms");
    platform.restore_copy(age_ms, away_ms, refuse);
    platform.put("config", "main", configuration(10, "ledger-sync"));
  } else {
    sleep_ms(away_ms);
  }
  sleep_ms(stability_ms + 3000);
  const std::uint64_t revision =
      platform.put("config", "main", configuration(13, "dock-slips"));
  changed_at = now_ms();
  note("version 13 moves the route to dock-slips; acknowledged, revision " +
       std::to_string(revision));
  sleep_ms(config_apply_ms + watch_ms);
  done = true;
  for (std::thread& each : clients) {
    each.join();
  }
  bool broken = false;
  bool judged_all = true;
  for (const auto& each : nodes) {
    const auto& [old_count, new_count] = counts[each->name()];
    const std::string line =
        each->name() +
        ": of the requests sent later than 3 s after the "
        "acknowledgement, " +
        std::to_string(old_count) + " ran by the old service, " +
        std::to_string(new_count) + " by the new one" +
        (old_count > 0 ? "; the first is " + first_broken[each->name()] : "");
    note(line);
    std::cout << line << '\n';
    broken = broken || old_count > 0;
    judged_all = judged_all && old_count + new_count > 0;
  }
  nodes.clear();
  if (!judged_all) {
    std::cout << "the case could not run: a node served nothing\n";
  }
  std::cout << (broken ? "CONFIG broken" : "CONFIG held") << std::endl;
  note(broken ? "CONFIG broken" : "CONFIG held");
  std::_Exit(!judged_all ? 2 : broken ? 1 : 0);
}
