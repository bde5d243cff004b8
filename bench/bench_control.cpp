/// What control costs a node as the number of members grows: bytes, messages, processor
/// time, memory and calls of the platform, and how fast news travel.
#include <malloc.h>  // for mallinfo2

#include <CLI/CLI.hpp>  // for App

#include <algorithm>  // for sort
#include <cstdio>     // for printf

#include "ibis/config/manifest.hpp"  // for split_parts
#include "ibis/config/parse.hpp"     // for parse_configuration
#include "virtual_tier.hpp"          // for virtual_tier

namespace {

using ibis::base::duration;
using ibis::standins::virtual_tier;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace config = ibis::config;

constexpr std::size_t zones = 4;

struct control_cost {
  std::size_t vms = 0;
  double bytes_per_second = 0;
  double messages_per_second = 0;
  double cpu_percent = 0;
  double state_kb = 0;
  double platform_calls_per_second = 0;
  double in_force_p50_ms = 0;
  double in_force_p99_ms = 0;
  double detected_ms = 0;  ///< Until all know of a death, the longest of some.
};

config::configuration make_declarations(std::size_t leafs, std::size_t services) {
  config::configuration value;
  for (std::size_t zone = 0; zone < zones; ++zone) {
    value.zones.push_back({"zone-" + std::to_string(zone), zone < 2 ? "a" : "b"});
  }
  const std::size_t groups = leafs / services / 2;
  for (std::size_t index = 0; index < services; ++index) {
    config::service service;
    service.name = "service-" + std::to_string(index);
    service.tenant = "tenant-" + std::to_string(index % 40);
    for (std::size_t group = 0; group < groups; ++group) {
      config::replica_group declared;
      declared.first_shard = static_cast<config::shard_index>(group);
      declared.last_shard = declared.first_shard;
      for (const char* replica : {"a", "b"}) {
        const std::string name = service.name + '-' + std::to_string(group) + replica;
        declared.leafs.push_back({name, "10.20.30.40:9000", 2, 25});
      }
      service.groups.push_back(std::move(declared));
    }
    const std::string name = service.name;
    value.services[name] = std::make_shared<const config::service>(std::move(service));
  }
  return value;
}

double quantile(std::vector<double> values, double q) {
  std::sort(values.begin(), values.end());
  const auto index =
      static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
  return values.empty() ? 0 : values[index];
}

bool all_have(const virtual_tier& tier, std::uint64_t generation) {
  for (const auto& [name, node] : tier.nodes) {
    if (node.alive && node.state.shared.nodes.generation < generation) {
      return false;
    }
  }
  return true;
}

double ms_until_in_force(virtual_tier& tier, std::uint64_t generation) {
  const auto start = tier.now();
  while (!all_have(tier, generation) && tier.now() < start + seconds(60)) {
    tier.run_for(milliseconds(10));
  }
  return ibis::base::to_ms(tier.now() - start);
}

bool all_know_dead(const virtual_tier& tier, const std::string& victim) {
  for (const auto& [name, node] : tier.nodes) {
    const auto found = node.state.members.members.find(victim);
    if (node.alive && found != node.state.members.members.end() &&
        found->second.record.status != ibis::wire::member_status::dead) {
      return false;
    }
  }
  return true;
}

double ms_until_detected(virtual_tier& tier, const std::string& victim) {
  const auto start = tier.now();
  tier.kill(victim, true);
  while (!all_know_dead(tier, victim) && tier.now() < start + seconds(60)) {
    tier.run_for(milliseconds(10));
  }
  return ibis::base::to_ms(tier.now() - start);
}

/// Bytes held by the heap, since the reducers' states are all that grows.
double heap_kb() {
  return static_cast<double>(mallinfo2().uordblks) / 1024.0;
}

control_cost measure(std::size_t vms, std::uint64_t seed) {
  const config::configuration declared = make_declarations(40, 4);
  virtual_tier tier(seed);
  tier.apply(declared);
  const double before_kb = heap_kb();
  for (std::size_t vm = 0; vm < vms; ++vm) {
    tier.add_vm("vm-" + std::to_string(vm), "zone-" + std::to_string(vm % zones));
  }
  tier.run_for(seconds(30 + 2 * static_cast<long>(vms)));
  control_cost cost;
  cost.vms = vms;
  const auto nodes = static_cast<double>(tier.nodes.size());
  cost.state_kb = (heap_kb() - before_kb) / nodes;
  for (auto& [name, node] : tier.nodes) {
    node.control_bytes = 0;
    node.control_messages = 0;
    node.reducing = {};
  }
  // Changes come 2,600 a day, one in 33 s.
  constexpr int changes = 6;
  constexpr seconds between{33};
  const std::uint64_t calls_before = tier.platform.calls;
  std::vector<double> in_force;
  config::configuration next = declared;
  for (int change = 0; change < changes; ++change) {
    next.leaving["leaf-x"] = milliseconds(1 + change);
    const auto start = tier.now();
    in_force.push_back(ms_until_in_force(tier, tier.apply(next)));
    tier.run_for(start + between - tier.now());
  }
  const double passed = static_cast<double>(changes * between.count());
  for (const auto& [name, node] : tier.nodes) {
    cost.bytes_per_second += static_cast<double>(node.control_bytes) / passed / nodes;
    cost.messages_per_second +=
        static_cast<double>(node.control_messages) / passed / nodes;
    cost.cpu_percent +=
        std::chrono::duration<double>(node.reducing).count() / passed / nodes * 100.0;
  }
  cost.platform_calls_per_second =
      static_cast<double>(tier.platform.calls - calls_before) / passed;
  cost.in_force_p50_ms = quantile(in_force, 0.5);
  cost.in_force_p99_ms = quantile(in_force, 1.0);
  for (std::size_t vm = 0; vm < 3; ++vm) {
    const auto victim = "vm-" + std::to_string(vm) + "/relay";
    cost.detected_ms = std::max(cost.detected_ms, ms_until_detected(tier, victim));
  }
  return cost;
}

void print(const control_cost& cost) {
  std::printf("%5zu %6zu %9.0f %7.1f %8.4f %9.1f %8.2f %9.0f %9.0f %9.0f\n", cost.vms,
              cost.vms * 2, cost.bytes_per_second, cost.messages_per_second,
              cost.cpu_percent, cost.state_kb, cost.platform_calls_per_second,
              cost.in_force_p50_ms, cost.in_force_p99_ms, cost.detected_ms);
  std::fflush(stdout);
}

template <typename Work>
double ms_of(const Work& work) {
  const auto begun = std::chrono::steady_clock::now();
  work();
  const std::chrono::duration<double, std::milli> took =
      std::chrono::steady_clock::now() - begun;
  return took.count();
}

/// The whole document of the target size, and one changed service of it.
void measure_configuration() {
  const config::configuration declared = make_declarations(6700, 40);
  const auto parts = config::split_parts(declared);
  std::size_t bytes = 0;
  std::size_t largest = 0;
  config::manifest names;
  config::part_store store;
  for (const auto& [name, text] : parts) {
    bytes += text.size();
    largest = std::max(largest, text.size());
    names.parts[name] = name;
    store[name] = text;
  }
  std::string document = parts.at("zones");
  document.pop_back();
  document += ",\"services\":{";
  bool first = true;
  for (const auto& [name, text] : parts) {
    if (name.rfind("service/", 0) == 0) {
      document += (first ? "\"" : ",\"") + name.substr(8) + "\":" + text;
      first = false;
    }
  }
  document += "}}";
  std::size_t errors = 0;
  const double parse_ms = ms_of([&] {
    const auto source = config::parse_document(document, "base.yaml");
    errors = config::parse_configuration(source.value()).errors.size();
  });
  config::configuration joined;
  const double join_ms =
      ms_of([&] { joined = config::join_parts(names, store, {}, {}).value(); });
  auto previous = names.parts;
  previous["service/service-7"] = "another";
  const double one_ms =
      ms_of([&] { (void)config::join_parts(names, store, joined, previous).value(); });
  std::printf(
      "\n6,700 leafs in 40 services: %zu KB in all, largest part %zu KB, "
      "manifest %zu KB\n",
      bytes / 1024, largest / 1024, config::write_manifest(names).size() / 1024);
  std::printf(
      "parse and validate %.0f ms (%zu errors), join all parts %.0f ms, "
      "join after one changed %.1f ms\n",
      parse_ms, errors, join_ms, one_ms);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Measures what control costs as the number of members grows.");
  std::vector<std::size_t> sizes{7, 30, 100};
  std::uint64_t seed = 1;
  app.add_option("--vms", sizes, "Numbers of VMs, two members each");
  app.add_option("--seed", seed, "Seed");
  CLI11_PARSE(app, argc, argv);
  std::printf(
      "  vms  nodes   bytes/s   msg/s    cpu %%  state KB calls/s  force p50 "
      "force max  detected\n");
  for (const std::size_t vms : sizes) {
    print(measure(vms, seed));
  }
  measure_configuration();
  return 0;
}
