/// Entries of another writer have names that can't be read. Do the machines come back
/// after all processes were killed?
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "world.h"

using namespace world;

namespace {

constexpr double recover_ms = 12000;  // recoverS
constexpr double judged_ms = 30000;   // How long requests are judged after that.
constexpr double down_ms = 1500;
constexpr std::size_t page_size = 50;  // The site's `discovery.page`.
constexpr std::size_t odd_entries = 60;

json configuration(std::uint64_t version) {
  const json route = {
      {"name", "price"},     {"hostname", "demo.example"}, {"pathPrefix", "/price/"},
      {"routeType", "safe"}, {"timeoutMs", 5000},          {"targetLatencyMs", 800},
      {"priority", 1},       {"maxAttempts", 2},           {"backend", "ledger-sync"}};
  return {{"configVersion", version},
          {"routes", {route}},
          {"services",
           {{{"name", "ledger-sync"},
             {"healthCheckPath", "/health"},
             {"maxConnections", 35}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 262144},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 3) {
    return 2;
  }
  const std::string folder = argv[2];
  open_record(std::string(argv[1]) + "/record.txt");
  const char* switched = std::getenv("TROUBLE");
  const bool trouble = switched == nullptr || std::string(switched) != "0";
  note(std::string("trouble ") + (trouble ? "on" : "off"));

  store platform;
  platform.set_page_size(page_size);
  std::vector<std::unique_ptr<leaf>> leafs;
  const std::vector<std::string> zones{"macon", "florence", "augusta"};
  for (std::size_t i = 0; i < 20; ++i) {
    leaf_options options;
    options.service = "ledger-sync";
    options.id = "i-" + std::to_string(1000 + i);
    options.zone = zones[i % zones.size()];
    leafs.push_back(std::make_unique<leaf>(platform, options));
  }
  platform.put("config", "main", configuration(10));
  std::vector<std::unique_ptr<node>> nodes;
  const std::vector<std::size_t> per_zone{3, 2, 2};
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
  std::atomic<double> back_at = 0;
  std::mutex mutex;
  std::size_t served_before = 0;
  std::size_t asked_before = 0;
  std::size_t served_after = 0;
  std::size_t asked_after = 0;
  std::vector<std::thread> clients;
  for (const auto& each : nodes) {
    clients.emplace_back([&, name = each->name(), address = each->clients()] {
      client caller(address);
      std::size_t number = 0;
      while (!done) {
        const std::string id = name + "-" + std::to_string(++number);
        const reply value = caller.ask("GET", "/price/x", id, 5000);
        note(id + " sent at " + std::to_string(value.sent_at) + " -> " +
             std::to_string(value.status) + " " + value.answer.field("x-server-stamp"));
        const double at = back_at;
        {
          const std::scoped_lock lock(mutex);
          if (at == 0) {
            ++asked_before;
            served_before += value.status == 200 ? 1 : 0;
          } else if (value.sent_at > at + recover_ms) {
            ++asked_after;
            served_after += value.status == 200 ? 1 : 0;
          }
        }
        sleep_ms(100);
      }
    });
  }

  sleep_ms(5000);
  if (trouble) {
    for (std::size_t i = 0; i < odd_entries; ++i) {
      platform.put_unreadable("servers",
                              std::string("\xff") + static_cast<char>(0x80 + i));
    }
    note(std::to_string(odd_entries) +
         " entries of another writer with unreadable names");
  }
  sleep_ms(10000);
  platform.put("config", "main", configuration(12));
  note("version 12 is acknowledged; the final fault: all processes are killed");
  for (const auto& each : nodes) {
    each->kill();
  }
  sleep_ms(down_ms);
  for (const auto& each : nodes) {
    each->start();
  }
  back_at = now_ms();
  note("all processes are started again");
  sleep_ms(recover_ms + judged_ms);
  done = true;
  for (std::thread& each : clients) {
    each.join();
  }
  const std::string line =
      "served before the final fault: " + std::to_string(served_before) + " of " +
      std::to_string(asked_before) +
      "; later than 12 s after the machines were back: " +
      std::to_string(served_after) + " of " + std::to_string(asked_after);
  note(line);
  std::cout << line << '\n';
  nodes.clear();
  const bool ran = asked_after > 0 && served_before * 4 >= asked_before;
  const bool broken = served_after * 4 < asked_after;
  note(broken ? "RECOVER broken" : "RECOVER held");
  std::cout << (broken ? "RECOVER broken" : "RECOVER held") << std::endl;
  std::_Exit(!ran ? 2 : broken ? 1 : 0);
}
