// What a serving node costs for each leaf request: the reducer alone, on virtual time;
// the whole node over loopback sockets; and, beside it in the same run, a blocking HTTP
// client with a thread for each connection, as the relay had one.
#include <httplib.h>         // for Client
#include <sys/resource.h>    // for getrusage
#include <CLI/CLI.hpp>       // for App
#include <asio/connect.hpp>  // for socket
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <chrono>  // for steady_clock
#include <cstdio>  // for printf
#include <memory>  // for unique_ptr
#include <thread>  // for thread

#include "cluster_records.hpp"         // for make_cluster_configuration
#include "ibis/reactor/node_loop.hpp"  // for node_loop
#include "ibis/runtime/address.hpp"    // for parse_address
#include "platform.hpp"                // for make_protocol
#include "search_leaf.hpp"             // for search_leaf
#include "serving_fleet.hpp"           // for serving_fleet
#include "store.hpp"                   // for store

namespace {

using namespace ibis;
using namespace ibis::platform::standin;
using std::chrono::milliseconds;

constexpr std::size_t shards = 20;
constexpr std::size_t records = 60;  ///< In each part, 16 bytes each.

double cpu_us(int who) {
  rusage used{};
  ::getrusage(who, &used);
  constexpr double per_second = 1e6;
  return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) * per_second +
         static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec);
}

std::vector<std::string> shard_names() {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < shards; ++i) {
    names.push_back("shard-" + std::to_string(i));
  }
  return names;
}

void measure_reducer(std::size_t queries) {
  standins::serving_fleet fleet(1);
  for (const std::string& shard : shard_names()) {
    fleet.add_leaf(shard + "-a", shard);
    fleet.add_leaf(shard + "-b", shard);
  }
  fleet.configure(standins::make_catalog(1, shard_names(), "shard-0"));
  fleet.start();
  std::chrono::nanoseconds reducing{0};
  fleet.around_reduce = [&reducing](const std::function<void()>& reduce) {
    const auto begin = std::chrono::steady_clock::now();
    reduce();
    reducing += std::chrono::steady_clock::now() - begin;
  };
  for (std::size_t i = 0; i < queries; ++i) {
    fleet.ask("r" + std::to_string(i), "/q/");
    fleet.run_for(milliseconds(10));
  }
  std::printf("reducer alone: %.1f us a leaf request, merging included\n",
              std::chrono::duration<double, std::micro>(reducing).count() /
                  static_cast<double>(queries * shards));
}

/// Stand-in store and leafs on a thread of their own.
class outside {
 public:
  outside() : objects_(io_) {
    store_address_ = objects_.listen("127.0.0.1", 0).value();
    for (const std::string& shard : shard_names()) {
      search_leaf_options options;
      options.id = shard + "-leaf";
      options.service = shard;
      options.service_time = milliseconds(0);
      options.records = records;
      leafs_.push_back(std::make_unique<search_leaf>(io_, options));
      leaf_address_ = leafs_.back()->listen("127.0.0.1", 0).value();
      objects_.put("servers", options.id,
                   make_cluster_leaf_record(options, leaf_address_));
    }
    objects_.put("config", "main", make_cluster_configuration(shard_names()));
    thread_ = std::thread([this] {
      const auto guard = asio::make_work_guard(io_);
      io_.run();
    });
  }
  ~outside() {
    io_.stop();
    thread_.join();
  }
  outside(const outside&) = delete;
  outside& operator=(const outside&) = delete;
  [[nodiscard]] const std::string& store_address() const { return store_address_; }
  [[nodiscard]] const std::string& leaf_address() const { return leaf_address_; }

 private:
  asio::io_context io_{1};
  store objects_;
  std::string store_address_;
  std::string leaf_address_;
  std::vector<std::unique_ptr<search_leaf>> leafs_;
  std::thread thread_;
};

void ask(asio::ip::tcp::socket& socket, std::size_t number) {
  asio::write(socket, asio::buffer(make_cluster_request("r" + std::to_string(number))));
  std::string head;
  const std::size_t size =
      asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n");
  const std::string name = "Content-Length: ";
  const std::size_t at = head.find(name) + name.size();
  const std::size_t body = std::stoul(head.substr(at));
  while (head.size() < size + body) {
    std::array<char, 4096> more{};
    head.append(more.data(), socket.read_some(asio::buffer(more)));
  }
}

void measure_node(const outside& site, std::size_t queries) {
  reactor::process_settings settings;
  settings.node = "bench";
  settings.client_address = "127.0.0.1:0";
  settings.readiness_address = "127.0.0.1:0";
  settings.store_address = site.store_address();
  settings.serving.stop.accept_for = milliseconds(50);
  reactor::node_loop node(settings, platform::make_protocol({"bench", "zone-a"}),
                          [](bool) { return std::nullopt; });
  if (!node.open()) {
    std::printf("the node cannot listen\n");
    return;
  }
  double spent = 0;
  std::thread running([&] {
    const double before = cpu_us(RUSAGE_THREAD);
    node.run();
    spent = cpu_us(RUSAGE_THREAD) - before;
  });
  while (node.configuration_version() == 0) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  std::this_thread::sleep_for(milliseconds(500));
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect(runtime::to_endpoint(node.client_address()).value());
  for (std::size_t i = 0; i < queries; ++i) {
    ask(socket, i);
  }
  node.request_stop();
  running.join();
  std::printf(
      "whole node over sockets: %.1f us of processor time a leaf request (fan-out %zu, "
      "%zu records a part; the client's side, merge, start and stop included)\n",
      spent / static_cast<double>(queries * shards), shards, records);
}

void measure_blocking_client(const outside& site, std::size_t requests) {
  const auto address = runtime::parse_address(site.leaf_address()).value();
  httplib::Client client(address.ip, address.port);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  client.Get("/query/x");
  const double before = cpu_us(RUSAGE_THREAD);
  for (std::size_t i = 0; i < requests; ++i) {
    client.Get("/query/x");
  }
  std::printf(
      "blocking client, a thread for each connection: %.1f us of processor time a leaf "
      "request, parsing of records not included\n",
      (cpu_us(RUSAGE_THREAD) - before) / static_cast<double>(requests));
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Measures what a serving node costs for each leaf request.");
  std::size_t queries = 3000;
  app.add_option("--queries", queries, "Queries over 20 shards each");
  CLI11_PARSE(app, argc, argv);
  measure_reducer(queries);
  const outside site;
  measure_node(site, queries);
  measure_blocking_client(site, queries * 4);
  return 0;
}
