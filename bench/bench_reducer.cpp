/// Measures the reducer alone: events per second per core, CPU time per leaf request
/// and per query, and heap bytes per leaf request in flight.
#include <malloc.h>  // for mallinfo2

#include <CLI/CLI.hpp>  // for App

#include <cstdio>  // for printf

#include "ibis/wire/codec.hpp"  // for encode
#include "virtual_tier.hpp"     // for virtual_tier

namespace {

using ibis::standins::virtual_leaf;
using ibis::standins::virtual_tier;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace config = ibis::config;

void add_service(virtual_tier& tier, std::size_t groups) {
  config::configuration configuration;
  configuration.zones = {{"zone", ""}};
  config::service service;
  service.name = "search";
  service.tenant = "tenant";
  for (std::size_t group = 0; group < groups; ++group) {
    config::replica_group replicas;
    replicas.first_shard = static_cast<config::shard_index>(group);
    replicas.last_shard = replicas.first_shard;
    for (const char* replica : {"a", "b"}) {
      const std::string name = "leaf-" + std::to_string(group) + replica;
      replicas.leafs.push_back({name, name + ":1", 400, 1000});
      virtual_leaf leaf;
      leaf.name = name;
      leaf.slots = 400;
      leaf.connection_limit = 1000;
      leaf.service_time = [](std::mt19937_64&) {
        return ibis::base::duration(milliseconds(20));
      };
      tier.add_leaf(std::move(leaf));
    }
    service.groups.push_back(std::move(replicas));
  }
  configuration.services["search"] =
      std::make_shared<const config::service>(std::move(service));
  tier.apply(configuration);
}

struct reducer_cost {
  double seconds = 0;
  double events = 0;
};

reducer_cost cost_of(virtual_tier& tier, const std::string& node) {
  return {std::chrono::duration<double>(tier.nodes.at(node).reducer_time).count(),
          static_cast<double>(tier.nodes.at(node).events)};
}

double heap_bytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

void measure(std::size_t fan_out, std::size_t queries) {
  virtual_tier tier(1);
  add_service(tier, fan_out);
  tier.add_vm("vm", "zone");
  tier.run_for(seconds(3));
  for (int i = 0; i < 300; ++i) {
    tier.query("vm/entry", "search", "q", milliseconds(1000));
    tier.run_for(milliseconds(25));
  }
  const reducer_cost entry_before = cost_of(tier, "vm/entry");
  const reducer_cost relay_before = cost_of(tier, "vm/relay");
  constexpr std::size_t batch_size = 10;
  double in_flight_bytes = 0;
  for (std::size_t i = 0; i < queries; i += batch_size) {
    const double heap_before = heap_bytes();
    for (std::size_t j = 0; j < batch_size; ++j) {
      tier.query("vm/entry", "search", "q", milliseconds(1000));
    }
    tier.run_for(milliseconds(5));
    in_flight_bytes += heap_bytes() - heap_before;
    tier.run_for(milliseconds(100));
  }
  for (const auto& received : tier.answers) {
    if (received.answer.outcome != ibis::policy::outcome::complete) {
      std::printf("a query ended with outcome %s: %s\n",
                  std::string(ibis::policy::to_string(received.answer.outcome)).c_str(),
                  received.answer.reason.c_str());
      return;
    }
  }
  const reducer_cost entry = cost_of(tier, "vm/entry");
  const reducer_cost relay = cost_of(tier, "vm/relay");
  const double leaf_requests = static_cast<double>(queries * fan_out);
  const double entry_s = entry.seconds - entry_before.seconds;
  const double relay_s = relay.seconds - relay_before.seconds;
  const double events =
      entry.events - entry_before.events + relay.events - relay_before.events;
  std::printf("%7zu  %10.0f  %13.2f  %13.2f  %14.0f\n", fan_out,
              events / (entry_s + relay_s), relay_s / leaf_requests * 1e6,
              entry_s / static_cast<double>(queries) * 1e6,
              in_flight_bytes / leaf_requests);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Measures CPU time and memory of the reducer alone.");
  std::size_t queries = 300;
  app.add_option("--queries", queries, "Number of queries per fan-out");
  CLI11_PARSE(app, argc, argv);
  std::printf("fan-out  events/s/c  relay us/leaf  entry us/query  bytes in flight\n");
  for (const std::size_t fan_out : {10, 100, 380}) {
    measure(fan_out, queries);
  }
  return 0;
}
