/// Measures the CPU time of a serving node per leaf request: the reducer alone in
/// virtual time, the whole node over loopback sockets and, for comparison in the same
/// run, a blocking HTTP client with one thread per connection, as the relay formerly
/// used.
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
constexpr std::size_t records_per_part = 60;  ///< Of 16 bytes each.

double cpu_us(int who) {
  rusage usage{};
  ::getrusage(who, &usage);
  constexpr double per_second = 1e6;
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
             per_second +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
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
  std::chrono::nanoseconds reducer_time{0};
  fleet.reduce_wrapper = [&reducer_time](const std::function<void()>& reduce) {
    const auto begin = std::chrono::steady_clock::now();
    reduce();
    reducer_time += std::chrono::steady_clock::now() - begin;
  };
  for (std::size_t i = 0; i < queries; ++i) {
    fleet.send_request("r" + std::to_string(i), "/q/");
    fleet.run_for(milliseconds(10));
  }
  std::printf("reducer alone: %.1f us per leaf request, including merging\n",
              std::chrono::duration<double, std::micro>(reducer_time).count() /
                  static_cast<double>(queries * shards));
}

/// Runs a stand-in store and stand-in leafs on a thread of their own.
class backend_fixture {
 public:
  backend_fixture() : store_(io_) {
    store_address_ = store_.listen("127.0.0.1", 0).value();
    for (const std::string& shard : shard_names()) {
      search_leaf_options options;
      options.id = shard + "-leaf";
      options.service = shard;
      options.service_time = milliseconds(0);
      options.records = records_per_part;
      leafs_.push_back(std::make_unique<search_leaf>(io_, options));
      leaf_address_ = leafs_.back()->listen("127.0.0.1", 0).value();
      store_.put("servers", options.id,
                 make_cluster_leaf_record(options, leaf_address_));
    }
    store_.put("config", "main", make_cluster_configuration(shard_names()));
    thread_ = std::thread([this] {
      const auto work_guard = asio::make_work_guard(io_);
      io_.run();
    });
  }
  ~backend_fixture() {
    io_.stop();
    thread_.join();
  }
  backend_fixture(const backend_fixture&) = delete;
  backend_fixture& operator=(const backend_fixture&) = delete;
  [[nodiscard]] const std::string& store_address() const { return store_address_; }
  [[nodiscard]] const std::string& leaf_address() const { return leaf_address_; }

 private:
  asio::io_context io_{1};
  store store_;
  std::string store_address_;
  std::string leaf_address_;
  std::vector<std::unique_ptr<search_leaf>> leafs_;
  std::thread thread_;
};

void send_query(asio::ip::tcp::socket& socket, std::size_t number) {
  asio::write(socket, asio::buffer(make_cluster_request("r" + std::to_string(number))));
  std::string response;
  const std::size_t head_size =
      asio::read_until(socket, asio::dynamic_buffer(response), "\r\n\r\n");
  const std::string length_header = "Content-Length: ";
  const std::size_t length_at = response.find(length_header) + length_header.size();
  const std::size_t body_size = std::stoul(response.substr(length_at));
  while (response.size() < head_size + body_size) {
    std::array<char, 4096> chunk{};
    response.append(chunk.data(), socket.read_some(asio::buffer(chunk)));
  }
}

void measure_node(const backend_fixture& backends, std::size_t queries) {
  reactor::process_settings settings;
  settings.node = "bench";
  settings.client_address = "127.0.0.1:0";
  settings.readiness_address = "127.0.0.1:0";
  settings.store_address = backends.store_address();
  settings.serving.stop.accept_for = milliseconds(50);
  reactor::node_loop node(settings, platform::make_protocol({"bench", "zone-a"}),
                          [](bool) { return std::nullopt; });
  if (!node.open()) {
    std::printf("the node cannot open its listening sockets\n");
    return;
  }
  double node_cpu_us = 0;
  std::thread node_thread([&] {
    const double cpu_before_us = cpu_us(RUSAGE_THREAD);
    node.run();
    node_cpu_us = cpu_us(RUSAGE_THREAD) - cpu_before_us;
  });
  while (node.configuration_version() == 0) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  std::this_thread::sleep_for(milliseconds(500));
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect(runtime::to_endpoint(node.client_address()).value());
  for (std::size_t i = 0; i < queries; ++i) {
    send_query(socket, i);
  }
  node.request_stop();
  node_thread.join();
  std::printf(
      "whole node over sockets: %.1f us of CPU time per leaf request (fan-out %zu, "
      "%zu records per part; including the client side, merging, start and stop)\n",
      node_cpu_us / static_cast<double>(queries * shards), shards, records_per_part);
}

void measure_blocking_client(const backend_fixture& backends, std::size_t requests) {
  const auto address = runtime::parse_address(backends.leaf_address()).value();
  httplib::Client client(address.ip, address.port);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  client.Get("/query/x");
  const double cpu_before_us = cpu_us(RUSAGE_THREAD);
  for (std::size_t i = 0; i < requests; ++i) {
    client.Get("/query/x");
  }
  std::printf(
      "blocking client, one thread per connection: %.1f us of CPU time per leaf "
      "request, excluding the parsing of records\n",
      (cpu_us(RUSAGE_THREAD) - cpu_before_us) / static_cast<double>(requests));
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Measures the CPU time of a serving node per leaf request.");
  std::size_t queries = 3000;
  app.add_option("--queries", queries, "Number of queries, each over 20 shards");
  CLI11_PARSE(app, argc, argv);
  measure_reducer(queries);
  const backend_fixture backends;
  measure_node(backends, queries);
  measure_blocking_client(backends, queries * 4);
  return 0;
}
