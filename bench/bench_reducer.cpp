/// What the reducer costs: events a second for a core, time for a leaf request, and
/// bytes for a leaf request in flight.
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
  config::configuration value;
  value.zones = {{"zone", ""}};
  config::service service;
  service.name = "search";
  service.tenant = "tenant";
  for (std::size_t group = 0; group < groups; ++group) {
    config::replica_group declared;
    declared.first_shard = static_cast<config::shard_index>(group);
    declared.last_shard = declared.first_shard;
    for (const char* replica : {"a", "b"}) {
      const std::string name = "leaf-" + std::to_string(group) + replica;
      declared.leafs.push_back({name, name + ":1", 400, 1000});
      virtual_leaf leaf;
      leaf.name = name;
      leaf.slots = 400;
      leaf.connection_limit = 1000;
      leaf.service_time = [](std::mt19937_64&) {
        return ibis::base::duration(milliseconds(20));
      };
      tier.add_leaf(std::move(leaf));
    }
    service.groups.push_back(std::move(declared));
  }
  value.services["search"] =
      std::make_shared<const config::service>(std::move(service));
  tier.apply(value);
}

struct spent {
  double seconds = 0;
  double events = 0;
};

spent spent_by(virtual_tier& tier, const std::string& node) {
  return {std::chrono::duration<double>(tier.nodes.at(node).reducing).count(),
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
  for (int warm = 0; warm < 300; ++warm) {
    tier.query("vm/entry", "search", "q", milliseconds(1000));
    tier.run_for(milliseconds(25));
  }
  const spent entry_before = spent_by(tier, "vm/entry");
  const spent relay_before = spent_by(tier, "vm/relay");
  constexpr std::size_t at_once = 10;
  double in_flight_bytes = 0;
  for (std::size_t i = 0; i < queries; i += at_once) {
    const double heap_before = heap_bytes();
    for (std::size_t j = 0; j < at_once; ++j) {
      tier.query("vm/entry", "search", "q", milliseconds(1000));
    }
    tier.run_for(milliseconds(5));
    in_flight_bytes += heap_bytes() - heap_before;
    tier.run_for(milliseconds(100));
  }
  for (const auto& given : tier.answers) {
    if (given.answer.outcome != ibis::policy::outcome::complete) {
      std::printf("an answer was %s: %s\n",
                  std::string(ibis::policy::to_string(given.answer.outcome)).c_str(),
                  given.answer.reason.c_str());
      return;
    }
  }
  const spent entry = spent_by(tier, "vm/entry");
  const spent relay = spent_by(tier, "vm/relay");
  const double requests = static_cast<double>(queries * fan_out);
  const double entry_s = entry.seconds - entry_before.seconds;
  const double relay_s = relay.seconds - relay_before.seconds;
  const double events =
      entry.events - entry_before.events + relay.events - relay_before.events;
  std::printf("%7zu  %10.0f  %13.2f  %13.2f  %14.0f\n", fan_out,
              events / (entry_s + relay_s), relay_s / requests * 1e6,
              entry_s / static_cast<double>(queries) * 1e6, in_flight_bytes / requests);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Measures the reducer alone.");
  std::size_t queries = 300;
  app.add_option("--queries", queries, "Queries for each fan-out");
  CLI11_PARSE(app, argc, argv);
  std::printf("fan-out  events/s/c  relay us/leaf  entry us/query  bytes in flight\n");
  for (const std::size_t fan_out : {10, 100, 380}) {
    measure(fan_out, queries);
  }
  return 0;
}
