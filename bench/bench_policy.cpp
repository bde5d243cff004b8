/// Compares hedging policies on simulated leafs in virtual time: tail latency, coverage
/// and extra load, by fan-out and injected fault.
#include <CLI/CLI.hpp>  // for App

#include <algorithm>  // for sort
#include <cstdio>     // for printf

#include "ibis/base/quantile.hpp"  // for quantile_of
#include "virtual_tier.hpp"        // for virtual_tier

namespace {

using ibis::base::duration;
using ibis::standins::virtual_leaf;
using ibis::standins::virtual_tier;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace config = ibis::config;
namespace policy = ibis::policy;

constexpr milliseconds typical_service_time{2};
constexpr milliseconds query_timeout{1000};

enum class hedge_policy { none, fixed_delay, shipped, oracle };
enum class fault { straggling, dead_replica, slow_replica, overload };

struct bench_scenario {
  std::size_t fan_out = 100;
  hedge_policy hedging = hedge_policy::shipped;
  fault injected_fault = fault::straggling;
  std::size_t queries = 1000;
  std::uint64_t seed = 1;
};

struct bench_result {
  double p50_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  double coverage = 0;    ///< Share of the requested shards that answers cover.
  double extra_load = 0;  ///< Hedges and retries per first attempt.
  double goodput = 0;     ///< Useful leaf requests, as a share of capacity.
};

double draw_service_factor(std::mt19937_64& random) {
  std::lognormal_distribution<double> distribution(0.0, 0.2);
  return distribution(random);
}

duration scale_service_time(double factor) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(typical_service_time.count() * factor));
}

ibis::standins::service_time_function make_service_time(double slow_share,
                                                        double slow_factor,
                                                        double time_factor) {
  return [slow_share, slow_factor, time_factor](std::mt19937_64& random) {
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    const bool slow = uniform(random) < slow_share;
    return scale_service_time(draw_service_factor(random) * time_factor *
                              (slow ? slow_factor : 1.0));
  };
}

/// Returns service times as under a perfect policy, which always picks the faster of
/// two replicas at no cost.
ibis::standins::service_time_function make_faster_of_two(
    ibis::standins::service_time_function draw) {
  return [draw = std::move(draw)](std::mt19937_64& random) {
    return std::min(draw(random), draw(random));
  };
}

std::string leaf_name(std::size_t group, int replica) {
  return "leaf-" + std::to_string(group) + '-' + std::to_string(replica);
}

void add_leafs(virtual_tier& tier, const bench_scenario& scenario) {
  const bool overload = scenario.injected_fault == fault::overload;
  for (std::size_t group = 0; group < scenario.fan_out; ++group) {
    for (int replica = 0; replica < 2; ++replica) {
      virtual_leaf leaf;
      leaf.name = leaf_name(group, replica);
      leaf.slots = overload ? 2 : 8;
      const bool slow =
          scenario.injected_fault == fault::slow_replica && replica == 0 && group == 0;
      leaf.service_time = make_service_time(0.01, 10.0, slow ? 5.0 : 1.0);
      if (overload) {
        leaf.service_time = make_service_time(0, 1, 1);
      }
      if (scenario.hedging == hedge_policy::oracle) {
        leaf.service_time = make_faster_of_two(leaf.service_time);
      }
      leaf.dead =
          scenario.injected_fault == fault::dead_replica && replica == 0 && group == 0;
      tier.add_leaf(std::move(leaf));
    }
  }
}

config::configuration make_configuration(const bench_scenario& scenario) {
  config::configuration result;
  result.zones = {{"zone", ""}};
  config::service service;
  service.name = "search";
  service.tenant = "tenant";
  service.policy.default_timeout = query_timeout;
  for (std::size_t group = 0; group < scenario.fan_out; ++group) {
    config::replica_group replicas;
    replicas.first_shard = static_cast<config::shard_index>(group);
    replicas.last_shard = replicas.first_shard;
    for (int replica = 0; replica < 2; ++replica) {
      const std::string name = leaf_name(group, replica);
      replicas.leafs.push_back({name, name + ":1",
                                scenario.injected_fault == fault::overload ? 2U : 8U,
                                60});
    }
    service.groups.push_back(std::move(replicas));
  }
  result.services["search"] =
      std::make_shared<const config::service>(std::move(service));
  return result;
}

/// Returns how many leaf requests all leafs together can run per millisecond in the
/// overload scenario.
double capacity_per_ms(const bench_scenario& scenario) {
  constexpr double slots_per_group = 4;
  // The mean of `draw_service_factor`: exp(0.2 * 0.2 / 2).
  constexpr double mean_service_factor = 1.0202;
  const double mean_service_ms =
      static_cast<double>(typical_service_time.count()) * mean_service_factor;
  return slots_per_group * static_cast<double>(scenario.fan_out) / mean_service_ms;
}

/// Returns the time between queries: a light load, or 1.5 times the leafs' capacity in
/// the overload scenario.
duration query_interval(const bench_scenario& scenario) {
  if (scenario.injected_fault != fault::overload) {
    return milliseconds(4);
  }
  const double queries_per_ms =
      1.5 * capacity_per_ms(scenario) / static_cast<double>(scenario.fan_out);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(1.0 / queries_per_ms));
}

void configure_hedging(policy::node_state& state, hedge_policy hedging) {
  const bool enabled =
      hedging == hedge_policy::fixed_delay || hedging == hedge_policy::shipped;
  state.blocks.tuning.hedge = enabled;
  state.queries.tuning.hedge = enabled;
  if (hedging == hedge_policy::fixed_delay) {
    state.blocks.tuning.fixed_hedge_delay = microseconds(4000);
  }
}

bench_result measure(const bench_scenario& scenario) {
  virtual_tier tier(scenario.seed);
  tier.state_initializer = [&](policy::node_state& state) {
    configure_hedging(state, scenario.hedging);
  };
  add_leafs(tier, scenario);
  tier.apply(make_configuration(scenario));
  for (const char* vm : {"vm-1", "vm-2", "vm-3"}) {
    tier.add_vm(vm, "zone");
  }
  tier.run_for(seconds(3));
  const duration interval = query_interval(scenario);
  const auto send_queries = [&](std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      tier.after(interval * i, [&tier, i] {
        const std::string entry = "vm-" + std::to_string(1 + i % 3) + "/entry";
        tier.query(entry, "search", "q", query_timeout);
      });
    }
    tier.run_for(interval * count + query_timeout);
  };
  send_queries(scenario.queries / 5);  // Warm-up: the nodes learn the latencies.
  tier.answers.clear();
  std::uint64_t first_attempts_before = 0;
  std::uint64_t extra_attempts_before = 0;
  const auto count_attempts = [&](std::uint64_t& first_attempts,
                                  std::uint64_t& extra_attempts) {
    first_attempts = 0;
    extra_attempts = 0;
    for (const auto& [name, node] : tier.nodes) {
      first_attempts += node.state.shared.count.first_attempts;
      extra_attempts +=
          node.state.shared.count.leaf_hedges + node.state.shared.count.leaf_retries;
      extra_attempts += node.state.shared.count.block_hedges;
    }
  };
  count_attempts(first_attempts_before, extra_attempts_before);
  const auto start = tier.now();
  send_queries(scenario.queries);
  std::uint64_t first_attempts = 0;
  std::uint64_t extra_attempts = 0;
  count_attempts(first_attempts, extra_attempts);
  std::vector<double> latencies;
  double covered_shards = 0;
  double total_shards = 0;
  auto last_answer = start;
  for (const auto& answer : tier.answers) {
    last_answer = std::max(last_answer, answer.at);
    latencies.push_back(ibis::base::to_ms(answer.answer.latency));
    covered_shards += static_cast<double>(answer.answer.covered);
    total_shards += static_cast<double>(scenario.fan_out);
  }
  std::sort(latencies.begin(), latencies.end());
  bench_result result;
  result.p50_ms = ibis::base::quantile_of(latencies, 0.5);
  result.p99_ms = ibis::base::quantile_of(latencies, 0.99);
  result.p999_ms = ibis::base::quantile_of(latencies, 0.999);
  result.coverage = covered_shards / total_shards;
  result.extra_load = static_cast<double>(extra_attempts - extra_attempts_before) /
                      static_cast<double>(first_attempts - first_attempts_before);
  const std::chrono::duration<double, std::milli> elapsed = last_answer - start;
  result.goodput = covered_shards / (capacity_per_ms(scenario) * elapsed.count());
  return result;
}

const char* name_of(hedge_policy hedging) {
  switch (hedging) {
    case hedge_policy::none:
      return "no hedge";
    case hedge_policy::fixed_delay:
      return "fixed 4 ms";
    case hedge_policy::oracle:
      return "oracle";
    case hedge_policy::shipped:
      break;
  }
  return "shipped";
}

const char* name_of(fault injected_fault) {
  switch (injected_fault) {
    case fault::straggling:
      return "1% are 10x slow";
    case fault::dead_replica:
      return "a replica is dead";
    case fault::slow_replica:
      return "a replica is 5x slow";
    case fault::overload:
      break;
  }
  return "1.5x overload";
}

void print(const char* fault_name, std::size_t fan_out, const char* policy_name,
           const bench_result& result) {
  std::printf("%-21s %7zu  %-11s %8.2f %8.2f %8.2f  %8.4f  %7.2f%%", fault_name,
              fan_out, policy_name, result.p50_ms, result.p99_ms, result.p999_ms,
              result.coverage, result.extra_load * 100);
}

std::vector<hedge_policy> policies_for(fault injected_fault) {
  std::vector<hedge_policy> policies{hedge_policy::none, hedge_policy::fixed_delay,
                                     hedge_policy::shipped};
  if (injected_fault == fault::straggling) {
    policies.push_back(hedge_policy::oracle);
  }
  return policies;
}

void print_all(fault injected_fault, const std::vector<std::size_t>& fan_outs,
               std::size_t queries, std::uint64_t seed) {
  for (const std::size_t fan_out : fan_outs) {
    bench_scenario scenario{fan_out, hedge_policy::none, injected_fault, queries, seed};
    for (const hedge_policy hedging : policies_for(injected_fault)) {
      scenario.hedging = hedging;
      const bench_result result = measure(scenario);
      print(name_of(injected_fault), fan_out, name_of(hedging), result);
      if (injected_fault == fault::overload) {
        std::printf("  goodput %5.1f%%", result.goodput * 100);
      }
      std::printf("\n");
      std::fflush(stdout);
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Compares hedging policies in virtual time.");
  std::size_t queries = 1000;
  std::uint64_t seed = 1;
  std::vector<std::size_t> fan_outs{2, 10, 100, 380};
  app.add_option("--queries", queries, "Number of queries per row");
  app.add_option("--seed", seed, "Seed of the random number generator");
  app.add_option("--fan-out", fan_outs, "Numbers of replica groups that a query needs");
  CLI11_PARSE(app, argc, argv);
  std::printf("%-21s %7s  %-11s %8s %8s %8s  %8s  %8s\n", "fault", "fan-out", "policy",
              "p50 ms", "p99 ms", "p99.9 ms", "coverage", "extra");
  print_all(fault::straggling, fan_outs, queries, seed);
  print_all(fault::dead_replica, {100}, queries, seed);
  print_all(fault::slow_replica, {100}, queries, seed);
  print_all(fault::overload, {10, 100}, queries * 3, seed);
  return 0;
}
