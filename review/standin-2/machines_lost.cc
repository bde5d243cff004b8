/// Most machines of a zone lose power for good at once. Do the others still apply what
/// the operator writes?
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "world.h"

using namespace world;

namespace {

constexpr int config_apply_ms = 5000;  // configApplyMs
constexpr double stability_ms = 5000;  // stabilityWindowMs
constexpr double watch_ms = 20000;     // How long requests are judged.
constexpr std::size_t zone_size = 32;
/// The machines of the zone that stay.
const std::set<std::size_t> stay{4, 20};

json configuration(std::uint64_t version, const std::string& service) {
  const json route = {
      {"name", "ledger"},    {"hostname", "demo.example"}, {"pathPrefix", "/ledger/"},
      {"routeType", "safe"}, {"timeoutMs", 3000},          {"targetLatencyMs", 500},
      {"priority", 1},       {"maxAttempts", 2},           {"backend", service}};
  json services = json::array();
  for (const char* name : {"custody-desk", "intake-portal"}) {
    services.push_back(
        {{"name", name}, {"healthCheckPath", "/health"}, {"maxConnections", 580}});
  }
  return {{"configVersion", version},
          {"routes", {route}},
          {"services", services},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 262144},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

/// Takes the port of a machine without power: a queue that is full, so that whoever
/// connects gets no answer.
bool darken(const std::string& address) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(
      static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
  ::inet_pton(AF_INET, address.substr(0, address.find(':')).c_str(), &target.sin_addr);
  if (::bind(listener, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0 ||
      ::listen(listener, 0) != 0) {
    return false;
  }
  for (int i = 0; i < 2; ++i) {
    const int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::fcntl(filler, F_SETFL, O_NONBLOCK);
    ::connect(filler, reinterpret_cast<sockaddr*>(&target), sizeof target);
  }
  return true;
}

struct tally {
  std::size_t old_service = 0;
  std::size_t new_service = 0;
  std::string first_broken;
};

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
  std::vector<std::unique_ptr<leaf>> leafs;
  const std::vector<std::string> zones{"praha-a", "brno-b", "ostrava-c"};
  for (std::size_t i = 0; i < zones.size(); ++i) {
    for (const char* service : {"custody-desk", "intake-portal"}) {
      leaf_options options;
      options.service = service;
      options.id = "i-" + std::string(service) + "-" + std::to_string(i);
      options.zone = zones[i];
      leafs.push_back(std::make_unique<leaf>(platform, options));
    }
  }
  platform.put("config", "main", configuration(10, "custody-desk"));

  std::vector<std::unique_ptr<node>> nodes;
  std::vector<std::unique_ptr<node>> to_lose;
  const auto add_node = [&](const std::string& zone, std::size_t number, bool stays) {
    auto& list = stays ? nodes : to_lose;
    list.push_back(std::make_unique<node>(
        node_options{"front-" + zone + "-" + std::to_string(number), zone,
                     platform.address(), folder, config_apply_ms, ""}));
    list.back()->start();
  };
  for (std::size_t i = 1; i <= zone_size; ++i) {
    add_node("praha-a", i, stay.contains(i));
  }
  for (const char* zone : {"brno-b", "ostrava-c"}) {
    add_node(zone, 1, true);
    add_node(zone, 2, true);
  }
  for (const auto* list : {&nodes, &to_lose}) {
    for (const auto& each : *list) {
      if (!each->wait_ready(20000)) {
        std::cerr << each->name() << " does not get ready\n";
        std::_Exit(2);
      }
    }
  }
  note("all nodes are ready");

  std::atomic<bool> done = false;
  std::atomic<double> changed_at = 0;
  std::mutex mutex;
  std::map<std::string, tally> tallies;
  std::vector<std::thread> clients;
  for (const auto& each : nodes) {
    clients.emplace_back([&, name = each->name(), address = each->clients()] {
      client caller(address);
      std::size_t number = 0;
      while (!done) {
        const std::string id = name + "-" + std::to_string(++number);
        const reply value = caller.ask("GET", "/ledger/x", id, 3000);
        const std::string stamp = value.answer.field("x-server-stamp");
        note(id + " sent at " + std::to_string(value.sent_at) + " -> " +
             std::to_string(value.status) + " " + stamp);
        const double at = changed_at;
        if (at > 0 && value.sent_at > at + config_apply_ms && value.status == 200) {
          const std::scoped_lock lock(mutex);
          tally& counts = tallies[name];
          if (stamp.rfind("custody-desk", 0) == 0) {
            ++counts.new_service;
          } else {
            counts.first_broken = counts.old_service++ == 0 ? id : counts.first_broken;
          }
        }
        sleep_ms(100);
      }
    });
  }

  sleep_ms(14000);  // The nodes have counted each other.
  platform.put("config", "main", configuration(11, "custody-desk"));
  sleep_ms(2000);
  if (trouble) {
    std::vector<std::string> lost;
    for (auto& each : to_lose) {
      lost.push_back(each->peers());
      each.reset();  // SIGKILL
    }
    for (const std::string& each : lost) {
      if (!darken(each)) {
        std::cerr << "cannot take the port " << each << '\n';
        std::_Exit(2);
      }
    }
    note(std::to_string(lost.size()) + " of " + std::to_string(zone_size) +
         " machines of praha-a have lost power for good");
  }
  sleep_ms(stability_ms + 2000);
  platform.put("config", "main", configuration(14, "intake-portal"));
  note("version 14 moves the route to intake-portal; acknowledged");
  sleep_ms(10000);
  platform.put("config", "main", configuration(17, "custody-desk"));
  changed_at = now_ms();
  note("version 17 moves the route back to custody-desk; acknowledged");
  sleep_ms(config_apply_ms + watch_ms);
  done = true;
  for (std::thread& each : clients) {
    each.join();
  }
  bool broken = false;
  bool all_judged = true;
  for (const auto& each : nodes) {
    const tally& counts = tallies[each->name()];
    const std::string line =
        each->name() +
        ": of the requests sent later than 5 s after the acknowledgement, " +
        std::to_string(counts.old_service) + " ran by the old service, " +
        std::to_string(counts.new_service) + " by the new one" +
        (counts.old_service > 0 ? "; the first is " + counts.first_broken : "");
    note(line);
    std::cout << line << '\n';
    broken = broken || counts.old_service > 0;
    all_judged = all_judged && counts.old_service + counts.new_service > 0;
  }
  nodes.clear();
  to_lose.clear();
  if (!all_judged) {
    std::cout << "the case could not run: a node served nothing\n";
  }
  std::cout << (broken ? "CONFIG broken" : "CONFIG held") << std::endl;
  note(broken ? "CONFIG broken" : "CONFIG held");
  std::_Exit(!all_judged ? 2 : broken ? 1 : 0);
}
