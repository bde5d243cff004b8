/// Compares hedging policies over fake leafs on virtual time: tail latency, coverage
/// and extra load, by fan-out and fault.
#include <CLI/CLI.hpp>  // for App

#include <algorithm>  // for sort
#include <cstdio>     // for printf

#include "virtual_tier.hpp"  // for virtual_tier

namespace {

using ibis::base::duration;
using ibis::standins::virtual_leaf;
using ibis::standins::virtual_tier;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace config = ibis::config;
namespace policy = ibis::policy;

constexpr milliseconds typical_service{2};
constexpr milliseconds patience{1000};

enum class variant { none, fixed, shipped, oracle };
enum class fault { straggling, dead_replica, slow_replica, overload };

struct setting {
  std::size_t fan_out = 100;
  variant kind = variant::shipped;
  fault trouble = fault::straggling;
  std::size_t queries = 1000;
  std::uint64_t seed = 1;
};

struct figures {
  double p50_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  double coverage = 0;    ///< Share of shards.
  double extra_load = 0;  ///< Attempts beyond one for each shard.
  double goodput = 0;     ///< Useful leaf requests over what the leafs can do.
};

double draw_service(std::mt19937_64& random) {
  std::lognormal_distribution<double> spread(0.0, 0.2);
  return spread(random);
}

duration scaled(double factor) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(typical_service.count() * factor));
}

ibis::standins::service_time_hook service_time(double slow_share, double slow_factor,
                                               double speed) {
  return [slow_share, slow_factor, speed](std::mt19937_64& random) {
    std::uniform_real_distribution<double> share(0.0, 1.0);
    const bool slow = share(random) < slow_share;
    return scaled(draw_service(random) * speed * (slow ? slow_factor : 1.0));
  };
}

/// As if the faster replica were always asked, at no cost.
ibis::standins::service_time_hook faster_of_two(
    ibis::standins::service_time_hook draw) {
  return [draw = std::move(draw)](std::mt19937_64& random) {
    return std::min(draw(random), draw(random));
  };
}

std::string leaf_name(std::size_t group, int replica) {
  return "leaf-" + std::to_string(group) + '-' + std::to_string(replica);
}

void add_leafs(virtual_tier& tier, const setting& given) {
  const bool overload = given.trouble == fault::overload;
  for (std::size_t group = 0; group < given.fan_out; ++group) {
    for (int replica = 0; replica < 2; ++replica) {
      virtual_leaf leaf;
      leaf.name = leaf_name(group, replica);
      leaf.slots = overload ? 2 : 8;
      const bool slow =
          given.trouble == fault::slow_replica && replica == 0 && group == 0;
      leaf.service_time = service_time(0.01, 10.0, slow ? 5.0 : 1.0);
      if (overload) {
        leaf.service_time = service_time(0, 1, 1);
      }
      if (given.kind == variant::oracle) {
        leaf.service_time = faster_of_two(leaf.service_time);
      }
      leaf.dead = given.trouble == fault::dead_replica && replica == 0 && group == 0;
      tier.add_leaf(std::move(leaf));
    }
  }
}

config::configuration make_configuration(const setting& given) {
  config::configuration value;
  value.zones = {{"zone", ""}};
  config::service service;
  service.name = "search";
  service.tenant = "tenant";
  service.policy.default_timeout = patience;
  for (std::size_t group = 0; group < given.fan_out; ++group) {
    config::replica_group declared;
    declared.first_shard = static_cast<config::shard_index>(group);
    declared.last_shard = declared.first_shard;
    for (int replica = 0; replica < 2; ++replica) {
      const std::string name = leaf_name(group, replica);
      declared.leafs.push_back(
          {name, name + ":1", given.trouble == fault::overload ? 2U : 8U, 60});
    }
    service.groups.push_back(std::move(declared));
  }
  value.services["search"] =
      std::make_shared<const config::service>(std::move(service));
  return value;
}

/// Leaf requests that the leafs can run in a millisecond, under overload.
double capacity_per_ms(const setting& given) {
  constexpr double slots_per_group = 4;
  constexpr double mean_of_spread = 1.0202;
  const double mean_service_ms =
      static_cast<double>(typical_service.count()) * mean_of_spread;
  return slots_per_group * static_cast<double>(given.fan_out) / mean_service_ms;
}

/// The gap between queries: a light load, or 1.5 times what the leafs can do.
duration gap_between(const setting& given) {
  if (given.trouble != fault::overload) {
    return milliseconds(4);
  }
  const double queries_per_ms =
      1.5 * capacity_per_ms(given) / static_cast<double>(given.fan_out);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(1.0 / queries_per_ms));
}

double quantile(const std::vector<double>& sorted, double q) {
  const auto index =
      static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1));
  return sorted.empty() ? 0 : sorted[index];
}

void tune(policy::node_state& state, variant kind) {
  const bool hedges = kind == variant::fixed || kind == variant::shipped;
  state.blocks.tuning.hedge = hedges;
  state.queries.tuning.hedge = hedges;
  if (kind == variant::fixed) {
    state.blocks.tuning.fixed_hedge_delay = microseconds(4000);
  }
}

figures measure(const setting& given) {
  virtual_tier tier(given.seed);
  tier.adjust = [&](policy::node_state& state) { tune(state, given.kind); };
  add_leafs(tier, given);
  tier.apply(make_configuration(given));
  for (const char* vm : {"vm-1", "vm-2", "vm-3"}) {
    tier.add_vm(vm, "zone");
  }
  tier.run_for(seconds(3));
  const duration gap = gap_between(given);
  const auto ask = [&](std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      tier.after(gap * i, [&tier, i] {
        const std::string entry = "vm-" + std::to_string(1 + i % 3) + "/entry";
        tier.query(entry, "search", "q", patience);
      });
    }
    tier.run_for(gap * count + patience);
  };
  ask(given.queries / 5);  // Learns the latencies.
  tier.answers.clear();
  std::uint64_t first_before = 0;
  std::uint64_t extra_before = 0;
  const auto count_attempts = [&](std::uint64_t& first, std::uint64_t& extra) {
    first = 0;
    extra = 0;
    for (const auto& [name, node] : tier.nodes) {
      first += node.state.shared.count.first_attempts;
      extra +=
          node.state.shared.count.leaf_hedges + node.state.shared.count.leaf_retries;
      extra += node.state.shared.count.block_hedges;
    }
  };
  count_attempts(first_before, extra_before);
  const auto started = tier.now();
  ask(given.queries);
  std::uint64_t first = 0;
  std::uint64_t extra = 0;
  count_attempts(first, extra);
  std::vector<double> latencies;
  double covered = 0;
  double total = 0;
  auto last_answer = started;
  for (const auto& answer : tier.answers) {
    last_answer = std::max(last_answer, answer.at);
    latencies.push_back(ibis::base::to_ms(answer.answer.latency));
    covered += static_cast<double>(answer.answer.covered);
    total += static_cast<double>(given.fan_out);
  }
  std::sort(latencies.begin(), latencies.end());
  figures result;
  result.p50_ms = quantile(latencies, 0.5);
  result.p99_ms = quantile(latencies, 0.99);
  result.p999_ms = quantile(latencies, 0.999);
  result.coverage = covered / total;
  result.extra_load = static_cast<double>(extra - extra_before) /
                      static_cast<double>(first - first_before);
  const std::chrono::duration<double, std::milli> span = last_answer - started;
  result.goodput = covered / (capacity_per_ms(given) * span.count());
  return result;
}

const char* name_of(variant kind) {
  switch (kind) {
    case variant::none:
      return "no hedge";
    case variant::fixed:
      return "fixed 4 ms";
    case variant::oracle:
      return "oracle";
    case variant::shipped:
      break;
  }
  return "shipped";
}

const char* name_of(fault trouble) {
  switch (trouble) {
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

void print(const char* trouble, std::size_t fan_out, const char* kind,
           const figures& seen) {
  std::printf("%-21s %7zu  %-11s %8.2f %8.2f %8.2f  %8.4f  %7.2f%%", trouble, fan_out,
              kind, seen.p50_ms, seen.p99_ms, seen.p999_ms, seen.coverage,
              seen.extra_load * 100);
}

std::vector<variant> variants_for(fault trouble) {
  std::vector<variant> all{variant::none, variant::fixed, variant::shipped};
  if (trouble == fault::straggling) {
    all.push_back(variant::oracle);
  }
  return all;
}

void print_all(fault trouble, const std::vector<std::size_t>& fan_outs,
               std::size_t queries, std::uint64_t seed) {
  for (const std::size_t fan_out : fan_outs) {
    setting given{fan_out, variant::none, trouble, queries, seed};
    for (const variant kind : variants_for(trouble)) {
      given.kind = kind;
      const figures seen = measure(given);
      print(name_of(trouble), fan_out, name_of(kind), seen);
      if (trouble == fault::overload) {
        std::printf("  goodput %5.1f%%", seen.goodput * 100);
      }
      std::printf("\n");
      std::fflush(stdout);
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Compares hedging policies on virtual time.");
  std::size_t queries = 1000;
  std::uint64_t seed = 1;
  std::vector<std::size_t> fan_outs{2, 10, 100, 380};
  app.add_option("--queries", queries, "Queries for each row");
  app.add_option("--seed", seed, "Seed");
  app.add_option("--fan-out", fan_outs, "Replica groups that a query needs");
  CLI11_PARSE(app, argc, argv);
  std::printf("%-21s %7s  %-11s %8s %8s %8s  %8s  %8s\n", "fault", "fan-out", "policy",
              "p50 ms", "p99 ms", "p99.9 ms", "coverage", "extra");
  print_all(fault::straggling, fan_outs, queries, seed);
  print_all(fault::dead_replica, {100}, queries, seed);
  print_all(fault::slow_replica, {100}, queries, seed);
  print_all(fault::overload, {10, 100}, queries * 3, seed);
  return 0;
}
