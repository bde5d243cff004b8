/// A stand-in upstream: one or more leafs that search a generated data set.
#include <CLI/CLI.hpp>  // for App

#include <csignal>   // for sigwait
#include <fstream>   // for ofstream
#include <iostream>  // for cout

#include "leaf_server.hpp"  // for leaf_server

namespace {

using ibis::base::microseconds;
using ibis::base::milliseconds;

struct options {
  std::string name = "leaf";
  std::string ip = "127.0.0.1";
  int port = 0;
  std::size_t count = 1;
  std::size_t connections = 25;
  std::string kind = "registry";
  ibis::standins::dataset_settings data;
  ibis::standins::leaf_model_settings leaf;
  std::int64_t service_us = 2000;
  std::int64_t setup_ms = 0;
  std::int64_t cold_start_ms = 0;
  std::string announce_file;
};

void add_options(CLI::App& app, options& parsed) {
  app.add_option("--name", parsed.name,
                 "Name of the leaf; a number is appended if --count is above 1");
  app.add_option("--ip", parsed.ip, "Address to listen on");
  app.add_option("--port", parsed.port, "Port of the first leaf; 0 for any free ports");
  app.add_option("--count", parsed.count, "Number of leafs in this process");
  app.add_option("--connections", parsed.connections,
                 "Connections that each leaf serves at once");
  app.add_option("--kind", parsed.kind, "Kind of records: registry or catalog")
      ->check(CLI::IsMember({"registry", "catalog"}));
  app.add_option("--seed", parsed.data.seed, "Seed of the data set");
  app.add_option("--shards", parsed.data.shards,
                 "Number of shards of the whole data set");
  app.add_option("--records", parsed.data.records,
                 "Number of records of the whole data set");
  app.add_option("--slots", parsed.leaf.slots, "Requests that each leaf runs at once");
  app.add_option("--service-us", parsed.service_us,
                 "Median service time in microseconds");
  app.add_option("--setup-ms", parsed.setup_ms,
                 "Time to set up a new connection, in milliseconds");
  app.add_option("--cold-start-ms", parsed.cold_start_ms,
                 "Time after the start with doubled service times, in milliseconds");
  app.add_option("--announce", parsed.announce_file,
                 "File to write the bound addresses to; standard output by default");
}

void wait_for_signal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
}

void block_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("A stand-in leaf for demos, tests and benchmarks.");
  options parsed;
  add_options(app, parsed);
  CLI11_PARSE(app, argc, argv);
  block_signals();
  parsed.data.kind = parsed.kind == "catalog" ? ibis::standins::dataset_kind::catalog
                                              : ibis::standins::dataset_kind::registry;
  parsed.leaf.service_time = microseconds(parsed.service_us);
  parsed.leaf.connection_setup = milliseconds(parsed.setup_ms);
  parsed.leaf.cold_start = milliseconds(parsed.cold_start_ms);
  const ibis::standins::dataset data = ibis::standins::make_dataset(parsed.data);
  std::vector<std::unique_ptr<ibis::standins::leaf_server>> servers;
  std::string announced;
  for (std::size_t i = 0; i < parsed.count; ++i) {
    ibis::standins::leaf_model_settings settings = parsed.leaf;
    settings.name = parsed.count == 1 ? parsed.name : parsed.name + std::to_string(i);
    settings.seed = parsed.data.seed + i + 1;
    auto model = std::make_shared<ibis::standins::leaf_model>(settings, data);
    auto server =
        std::make_unique<ibis::standins::leaf_server>(model, parsed.connections);
    const int port = parsed.port == 0 ? 0 : parsed.port + static_cast<int>(i);
    const auto address = server->start(parsed.ip, port);
    if (!address) {
      std::cerr << ibis::base::describe(address.error()) << '\n';
      return 3;
    }
    announced += settings.name + '=' + address.value() + '\n';
    servers.push_back(std::move(server));
  }
  if (parsed.announce_file.empty()) {
    std::cout << announced << std::flush;
  } else {
    const std::string temporary_path = parsed.announce_file + ".part";
    std::ofstream(temporary_path) << announced;
    std::rename(temporary_path.c_str(), parsed.announce_file.c_str());
  }
  wait_for_signal();
  return 0;
}
