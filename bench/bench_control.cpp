/// Measures the control plane's cost per node as the number of members grows: bytes,
/// messages, CPU time, memory and platform calls, and the time until a configuration
/// change or the death of a member is known to all nodes.
#include <malloc.h>  // for mallinfo2

#include <CLI/CLI.hpp>  // for App

#include <algorithm>  // for sort
#include <cstdio>     // for printf

#include "ibis/base/quantile.hpp"    // for quantile_of
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
  double activation_p50_ms = 0;
  double activation_max_ms = 0;
  /// The longest time, over several kills, until every live node knows of the death.
  double detection_ms = 0;
};

config::configuration make_configuration(std::size_t leafs, std::size_t services) {
  config::configuration result;
  for (std::size_t zone = 0; zone < zones; ++zone) {
    result.zones.push_back({"zone-" + std::to_string(zone), zone < 2 ? "a" : "b"});
  }
  const std::size_t groups_per_service = leafs / services / 2;
  for (std::size_t index = 0; index < services; ++index) {
    config::service service;
    service.name = "service-" + std::to_string(index);
    service.tenant = "tenant-" + std::to_string(index % 40);
    for (std::size_t group = 0; group < groups_per_service; ++group) {
      config::replica_group replicas;
      replicas.first_shard = static_cast<config::shard_index>(group);
      replicas.last_shard = replicas.first_shard;
      for (const char* replica : {"a", "b"}) {
        const std::string name = service.name + '-' + std::to_string(group) + replica;
        replicas.leafs.push_back({name, "10.20.30.40:9000", 2, 25});
      }
      service.groups.push_back(std::move(replicas));
    }
    const std::string name = service.name;
    result.services[name] = std::make_shared<const config::service>(std::move(service));
  }
  return result;
}

double quantile(std::vector<double> values, double q) {
  std::sort(values.begin(), values.end());
  return ibis::base::quantile_of(values, q);
}

bool all_have_generation(const virtual_tier& tier, std::uint64_t generation) {
  for (const auto& [name, node] : tier.nodes) {
    if (node.alive && node.state.shared.nodes.generation < generation) {
      return false;
    }
  }
  return true;
}

double measure_activation_ms(virtual_tier& tier, std::uint64_t generation) {
  const auto start = tier.now();
  while (!all_have_generation(tier, generation) && tier.now() < start + seconds(60)) {
    tier.run_for(milliseconds(10));
  }
  return ibis::base::to_ms(tier.now() - start);
}

bool all_know_death(const virtual_tier& tier, const std::string& victim) {
  for (const auto& [name, node] : tier.nodes) {
    const auto member = node.state.members.members.find(victim);
    if (node.alive && member != node.state.members.members.end() &&
        member->second.record.status != ibis::wire::member_status::dead) {
      return false;
    }
  }
  return true;
}

double measure_detection_ms(virtual_tier& tier, const std::string& victim) {
  const auto start = tier.now();
  tier.kill(victim, true);
  while (!all_know_death(tier, victim) && tier.now() < start + seconds(60)) {
    tier.run_for(milliseconds(10));
  }
  return ibis::base::to_ms(tier.now() - start);
}

/// Returns the size of the allocated heap. Only the reducers' states grow, so the
/// difference of two results is the memory of these states.
double heap_kb() {
  return static_cast<double>(mallinfo2().uordblks) / 1024.0;
}

control_cost measure(std::size_t vms, std::uint64_t seed) {
  const config::configuration declared = make_configuration(40, 4);
  virtual_tier tier(seed);
  tier.apply(declared);
  const double heap_before_kb = heap_kb();
  for (std::size_t vm = 0; vm < vms; ++vm) {
    tier.add_vm("vm-" + std::to_string(vm), "zone-" + std::to_string(vm % zones));
  }
  tier.run_for(seconds(30 + 2 * static_cast<long>(vms)));
  control_cost cost;
  cost.vms = vms;
  const auto nodes = static_cast<double>(tier.nodes.size());
  cost.state_kb = (heap_kb() - heap_before_kb) / nodes;
  for (auto& [name, node] : tier.nodes) {
    node.control_bytes = 0;
    node.control_messages = 0;
    node.reducer_time = {};
  }
  // 2,600 configuration changes a day are one every 33 s.
  constexpr int change_count = 6;
  constexpr seconds change_interval{33};
  const std::uint64_t platform_calls_before = tier.platform.calls;
  std::vector<double> activation_times_ms;
  config::configuration next = declared;
  for (int change = 0; change < change_count; ++change) {
    next.leaving["leaf-x"] = milliseconds(1 + change);
    const auto start = tier.now();
    activation_times_ms.push_back(measure_activation_ms(tier, tier.apply(next)));
    tier.run_for(start + change_interval - tier.now());
  }
  const double elapsed_s = static_cast<double>(change_count * change_interval.count());
  for (const auto& [name, node] : tier.nodes) {
    cost.bytes_per_second +=
        static_cast<double>(node.control_bytes) / elapsed_s / nodes;
    cost.messages_per_second +=
        static_cast<double>(node.control_messages) / elapsed_s / nodes;
    cost.cpu_percent += std::chrono::duration<double>(node.reducer_time).count() /
                        elapsed_s / nodes * 100.0;
  }
  cost.platform_calls_per_second =
      static_cast<double>(tier.platform.calls - platform_calls_before) / elapsed_s;
  cost.activation_p50_ms = quantile(activation_times_ms, 0.5);
  cost.activation_max_ms = quantile(activation_times_ms, 1.0);
  for (std::size_t vm = 0; vm < 3; ++vm) {
    const auto victim = "vm-" + std::to_string(vm) + "/relay";
    cost.detection_ms = std::max(cost.detection_ms, measure_detection_ms(tier, victim));
  }
  return cost;
}

void print(const control_cost& cost) {
  std::printf("%5zu %6zu %9.0f %7.1f %8.4f %9.1f %8.2f %9.0f %9.0f %9.0f\n", cost.vms,
              cost.vms * 2, cost.bytes_per_second, cost.messages_per_second,
              cost.cpu_percent, cost.state_kb, cost.platform_calls_per_second,
              cost.activation_p50_ms, cost.activation_max_ms, cost.detection_ms);
  std::fflush(stdout);
}

template <typename Work>
double measure_ms(const Work& work) {
  const auto start = std::chrono::steady_clock::now();
  work();
  const std::chrono::duration<double, std::milli> elapsed =
      std::chrono::steady_clock::now() - start;
  return elapsed.count();
}

/// Measures how long it takes to parse and join a configuration of the target size, and
/// to join it again after one service has changed.
void measure_configuration() {
  const config::configuration declared = make_configuration(6700, 40);
  const auto parts = config::split_parts(declared);
  std::size_t bytes = 0;
  std::size_t largest = 0;
  config::manifest manifest;
  config::part_store store;
  for (const auto& [name, text] : parts) {
    bytes += text.size();
    largest = std::max(largest, text.size());
    manifest.parts[name] = name;
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
  std::size_t error_count = 0;
  const double parse_ms = measure_ms([&] {
    const auto source = config::parse_document(document, "base.yaml");
    error_count = config::parse_configuration(source.value()).errors.size();
  });
  config::configuration configuration;
  const double join_ms = measure_ms(
      [&] { configuration = config::join_parts(manifest, store, {}, {}).value(); });
  auto previous_parts = manifest.parts;
  previous_parts["service/service-7"] = "another";
  const double rejoin_ms = measure_ms([&] {
    (void)config::join_parts(manifest, store, configuration, previous_parts).value();
  });
  std::printf(
      "\n6,700 leafs in 40 services: %zu KB in total, largest part %zu KB, "
      "manifest %zu KB\n",
      bytes / 1024, largest / 1024, config::write_manifest(manifest).size() / 1024);
  std::printf(
      "parse and validate %.0f ms (%zu errors), join all parts %.0f ms, "
      "join after one part changed %.1f ms\n",
      parse_ms, error_count, join_ms, rejoin_ms);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "Measures the cost of the control plane as the number of members grows.");
  std::vector<std::size_t> sizes{7, 30, 100};
  std::uint64_t seed = 1;
  app.add_option("--vms", sizes, "Numbers of VMs to measure; each VM runs two members");
  app.add_option("--seed", seed, "Seed of the random number generator");
  CLI11_PARSE(app, argc, argv);
  std::printf(
      "  vms  nodes   bytes/s   msg/s    cpu %%  state KB  calls/s apply p50 "
      "apply max detect ms\n");
  for (const std::size_t vms : sizes) {
    print(measure(vms, seed));
  }
  measure_configuration();
  return 0;
}
