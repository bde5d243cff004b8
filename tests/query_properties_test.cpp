#include <catch2/catch.hpp>  // for TEST_CASE, REQUIRE
#include <map>               // for map
#include <set>               // for set

#include "small_tier.hpp"  // for make_tier

namespace ibis::tests {
namespace {

using policy::outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int queries_per_seed = 120;
constexpr int faults_per_seed = 25;

tier_shape random_shape(std::uint64_t seed) {
  tier_shape shape;
  shape.seed = seed;
  shape.zones = 1 + seed % 3;
  shape.vms_per_zone = 2;
  shape.groups = 1 + seed % 12;
  shape.replicas = 1 + seed % 3;
  shape.shards_per_group = 1 + seed % 4;
  if (seed % 2 == 0) {
    shape.policy.mode = config::answer_mode::latency_first;
    shape.policy.min_coverage = 0.5;
    shape.policy.answer_by = milliseconds(30);
  }
  return shape;
}

void advance_versions(virtual_tier& tier) {
  for (auto& [name, leaf] : tier.leafs) {
    tier.after(milliseconds(tier.random() % 40), [&leaf = leaf] {
      ++leaf.newest_version;
      leaf.oldest_version = leaf.newest_version - 2;
    });
  }
}

void silence_connections(virtual_leaf& leaf) {
  for (const auto& [connection, node] : leaf.connections) {
    leaf.silent_connections.insert(connection);
  }
}

std::string random_node(virtual_tier& tier) {
  auto node = tier.nodes.begin();
  std::advance(node, static_cast<std::ptrdiff_t>(tier.random() % tier.nodes.size()));
  return node->first;
}

virtual_leaf& random_leaf(virtual_tier& tier) {
  auto leaf = tier.leafs.begin();
  std::advance(leaf, static_cast<std::ptrdiff_t>(tier.random() % tier.leafs.size()));
  return leaf->second;
}

void random_fault(virtual_tier& tier) {
  virtual_leaf& leaf = random_leaf(tier);
  const std::string node = random_node(tier);
  switch (tier.random() % 9) {
    case 0:
      leaf.dead = !leaf.dead;
      return;
    case 1:
      leaf.draining = !leaf.draining;
      return;
    case 2:
      leaf.unresponsive = !leaf.unresponsive;
      return;
    case 3:
      silence_connections(leaf);
      return;
    case 4:
      advance_versions(tier);
      return;
    case 5:
      leaf.moved = leaf.moved.empty() ? std::set<wire::shard_index>{0, 1, 2}
                                      : std::set<wire::shard_index>{};
      return;
    case 6:
      if (tier.nodes.at(node).alive) {
        tier.pause(node);
        tier.after(milliseconds(300), [&tier, node] { tier.resume(node); });
      }
      return;
    case 7:
      if (tier.nodes.at(node).alive) {
        tier.kill(node);
        tier.after(milliseconds(400), [&tier, node] { tier.restart(node); });
      }
      return;
    default:
      leaf.slots = 1 + leaf.slots % 3;
      return;
  }
}

struct sent_query {
  std::string text;
  std::string entry;
};

void check_answers(const virtual_tier& tier,
                   const std::map<std::uint64_t, sent_query>& queries) {
  std::map<std::uint64_t, int> answer_counts;
  for (const auto& received : tier.answers) {
    const sent_query& query = queries.at(received.caller.value);
    INFO("caller " << received.caller.value << " covered " << received.answer.covered
                   << " of " << received.answer.total << " missing "
                   << received.answer.missing.size());
    REQUIRE(++answer_counts[received.caller.value] == 1);
    REQUIRE(received.node == query.entry);
    REQUIRE(is_consistent(received.answer, query.text));
    if (received.answer.outcome != outcome::not_run) {
      continue;
    }
    for (const auto& [name, leaf] : tier.leafs) {
      REQUIRE(leaf.runs_by_query.count(query.text) == 0);
    }
  }
}

void check_no_state_left(const virtual_tier& tier) {
  for (const auto& [name, node] : tier.nodes) {
    INFO(name);
    REQUIRE(node.state.queries.queries.empty());
    REQUIRE(node.state.queries.by_caller.empty());
    REQUIRE(node.state.calls.calls.empty());
    REQUIRE(node.state.blocks.blocks.empty());
    REQUIRE(node.state.blocks.by_call.empty());
    REQUIRE(policy::waiting_count(node.state.blocks) == 0);
    REQUIRE(node.state.blocks.attempts.empty());
    for (const auto& [leaf_name, leaf] : node.state.blocks.pools.leafs) {
      REQUIRE(leaf.in_flight == 0);
      REQUIRE(leaf.open == leaf.idle.size());
    }
  }
}

void run_seed(std::uint64_t seed) {
  const auto tier = make_tier(random_shape(seed));
  tier->links.duplicate = seed % 5 == 0 ? 0.05 : 0;
  tier->links.max_delay = milliseconds(1 + seed % 8);
  std::map<std::uint64_t, sent_query> queries;
  for (int i = 0; i < queries_per_seed; ++i) {
    tier->after(milliseconds(tier->random() % 5000), [&, i] {
      const std::string node = random_node(*tier);
      const std::string entry = node.substr(0, node.find('/')) + "/entry";
      const std::string text = "q" + std::to_string(i);
      const auto caller = tier->query(entry, service_name, text,
                                      milliseconds(50 + tier->random() % 400));
      queries[caller.value] = {text, entry};
    });
  }
  for (int i = 0; i < faults_per_seed; ++i) {
    tier->after(milliseconds(tier->random() % 5000), [&] { random_fault(*tier); });
  }
  tier->run_for(seconds(6));
  INFO("seed " << seed);
  check_answers(*tier, queries);
  for (auto& [name, leaf] : tier->leafs) {
    leaf.unresponsive = false;
    leaf.dead = false;
  }
  // Dead connections are detected only when they are used or closed, so the remaining
  // attempts on them are ended here.
  tier->run_for(seconds(5));
  for (auto& [name, node] : tier->nodes) {
    for (const auto& [id, attempt] : std::map(node.state.blocks.attempts.begin(),
                                              node.state.blocks.attempts.end())) {
      tier->post(name, policy::attempt_lost{id, true});
    }
  }
  tier->run_for(seconds(5));
  check_no_state_left(*tier);
}

TEST_CASE("Under random faults, every answer is consistent and no state is leaked") {
  for (std::uint64_t seed = 1; seed <= seed_count(200); ++seed) {
    run_seed(seed);
  }
}

}  // namespace
}  // namespace ibis::tests
