#include "ibis/serving/holders.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <map>               // for map
#include <memory>            // for make_shared
#include <random>            // for mt19937_64
#include <set>               // for set

#include "ibis/serving/connection_quota.hpp"  // for connection_quota_of
#include "ibis/serving/leaf_subset.hpp"       // for choose_leaf_subset
#include "ibis/serving/node.hpp"              // for make_node

namespace ibis::serving {
namespace {

constexpr std::size_t shard_count = 87;
constexpr std::uint32_t connection_limit = 120;
const base::time_point start_time{std::chrono::hours(1)};

std::string shard_name(std::size_t shard) {
  return "s" + std::to_string(shard);
}

void add_leaf(node_state& node, const std::string& id, const std::string& service,
              const std::string& zone) {
  const auto leaf = std::make_shared<leaf_state>();
  leaf->record.id = id;
  leaf->record.service = service;
  leaf->record.availability_zone = zone;
  leaf->key = ++node.last_id;
  node.services[service].leafs.push_back(leaf);
}

catalog_ptr make_fan_out_catalog() {
  catalog value;
  route query;
  query.shape = route_shape::fan_out;
  for (std::size_t shard = 0; shard < shard_count; ++shard) {
    query.shards.push_back(shard_name(shard));
    value.services[shard_name(shard)] = {shard_name(shard), connection_limit};
  }
  value.routes.push_back(query);
  index_routes(value);
  return std::make_shared<const catalog>(std::move(value));
}

/// A node among others in five zones; 87 shards with a leaf in each of two zones.
node_state make_member(const std::string& name, const std::string& zone,
                       std::size_t nodes_per_zone) {
  node_settings settings;
  settings.node = name;
  settings.availability_zone = zone;
  node_state node = make_node(settings, 1);
  node.started_at = start_time;
  node.configuration = make_fan_out_catalog();
  for (std::size_t shard = 0; shard < shard_count; ++shard) {
    add_leaf(node, shard_name(shard) + "-a", shard_name(shard), "zone-0");
    add_leaf(node, shard_name(shard) + "-b", shard_name(shard), "zone-1");
  }
  for (std::size_t at = 0; at < nodes_per_zone * 5; ++at) {
    const std::string other = "node-" + std::to_string(at);
    if (other != name) {
      node.peers.push_back({other, other + ":1", "zone-" + std::to_string(at % 5)});
    }
  }
  node.nodes = node.peers.size() + 1;
  node.holders = make_holder_table(node);
  return node;
}

TEST_CASE("Holders of a leaf together stay within its connection limit") {
  std::map<std::string, std::size_t> to_leaf;
  std::size_t holders = 0;
  constexpr std::size_t per_zone = 39;
  for (std::size_t at = 0; at < per_zone * 5; ++at) {
    const node_state node = make_member("node-" + std::to_string(at),
                                        "zone-" + std::to_string(at % 5), per_zone);
    for (std::size_t shard = 0; shard < shard_count; ++shard) {
      const auto quota = connection_quota_of(node, shard_name(shard), start_time);
      if (quota.warm_leafs > 0) {
        to_leaf[shard_name(shard)] += quota.to_leaf;
        ++holders;
      }
    }
  }
  CHECK(holders == shard_count * 4);
  for (const auto& [shard, connections] : to_leaf) {
    INFO(shard);
    CHECK(connections <= connection_limit * 9 / 10);
    CHECK(connections >= 8);
  }
}

TEST_CASE("Nodes that know the same nodes agree on the holders of each zone") {
  const node_state first = make_member("node-2", "zone-2", 39);
  const node_state second = make_member("node-7", "zone-2", 39);
  REQUIRE(first.holders.blocks.size() == second.holders.blocks.size());
  std::set<std::string> holders;
  for (std::size_t i = 0; i < first.holders.blocks.size(); ++i) {
    const auto& block = first.holders.blocks[i];
    CHECK(block.shards.size() <= first.settings.holders.block_shards);
    REQUIRE(block.holders.size() == second.holders.blocks[i].holders.size());
    for (std::size_t rank = 0; rank < block.holders.size(); ++rank) {
      CHECK(block.holders[rank].node == second.holders.blocks[i].holders[rank].node);
    }
    holders.insert(block.holders.front().node);
  }
  CHECK(holders.size() > first.holders.blocks.size() / 2);
}

TEST_CASE("A holder that has left moves only its own blocks") {
  node_state node = make_member("node-2", "zone-2", 39);
  const holder_table before = node.holders;
  const std::string gone = before.blocks.front().holders.front().node;
  std::erase_if(node.peers, [&gone](const peer& other) { return other.node == gone; });
  const holder_table after = make_holder_table(node);
  for (std::size_t i = 0; i < before.blocks.size(); ++i) {
    const std::string& first = before.blocks[i].holders.front().node;
    if (first != gone) {
      CHECK(after.blocks[i].holders.front().node == first);
    } else {
      CHECK(after.blocks[i].holders.front().node == before.blocks[i].holders[1].node);
    }
  }
}

TEST_CASE("A few nodes have no holders, nor has one that knows no other node") {
  CHECK(make_member("node-0", "zone-0", 1).holders.blocks.empty());
  node_state alone = make_member("node-0", "zone-0", 39);
  alone.peers.clear();
  CHECK(make_holder_table(alone).blocks.empty());
}

TEST_CASE("A holder is avoided for longer after each failure, until it replies") {
  node_state node = make_member("node-2", "zone-2", 39);
  effects out;
  context ctx{start_time, node, out};
  const shard_block& block = node.holders.blocks.front();
  const std::string first = block.holders.front().node;
  avoid_holder(first, node.settings.holders.backoff, ctx);
  CHECK(choose_holder(node, block, {}, start_time)->node == block.holders[1].node);
  const base::duration once = node.holder_health[first].avoid_until - start_time;
  avoid_holder(first, node.settings.holders.backoff, ctx);
  CHECK(node.holder_health[first].avoid_until - start_time == 2 * once);
  mark_holder_healthy(first, ctx);
  CHECK(choose_holder(node, block, {}, start_time)->node == first);
  CHECK(choose_holder(node, block, {first}, start_time)->node == block.holders[1].node);
}

TEST_CASE("Extra requests of all holders together stay within the budget") {
  node_state node = make_member("node-2", "zone-2", 39);
  const base::time_point later = start_time + std::chrono::minutes(1);
  const double slack = node.settings.budget.slack;
  double holders = 0;
  double others = 0;
  for (std::size_t at = 0; at < 195; ++at) {
    const node_state member =
        make_member("node-" + std::to_string(at), "zone-" + std::to_string(at % 5), 39);
    const double own = service_budget(member, "s0", later).slack;
    (holds_for_others(member, "s0", later) ? holders : others) += own;
  }
  CHECK(holders + others <= slack);
  CHECK(holders > others);
}

leaf_ptr make_leaf(const std::string& id, std::uint64_t key) {
  auto value = std::make_shared<leaf_state>();
  value->record.id = id;
  value->record.availability_zone = "zone";
  value->key = key;
  return value;
}

TEST_CASE("A leaf that left just now does not change a request's leafs") {
  service_state service;
  service.leafs = {make_leaf("a", 1), make_leaf("b", 2), make_leaf("c", 3)};
  for (int i = 0; i < 100; ++i) {
    const delegated_request request{"r" + std::to_string(i), "zone", 2, 0};
    const auto before = choose_leaf_subset(service, request, start_time);
    CHECK(before.size() == 2);
    service_state left = service;
    note_departed(left, left.leafs.back()->record, start_time);
    left.leafs.pop_back();
    for (const std::uint64_t key : choose_leaf_subset(left, request, start_time)) {
      CHECK((key == 0 || key == before[0] || key == before[1]));
    }
  }
}

TEST_CASE("Nodes that know different new leafs send to no more leafs than allowed") {
  const std::vector<leaf_ptr> all{make_leaf("a", 1), make_leaf("b", 2),
                                  make_leaf("c", 3), make_leaf("d", 4)};
  constexpr std::size_t max_leafs = 2;
  std::mt19937_64 random(3);
  for (int round = 0; round < 1000; ++round) {
    const delegated_request first{"r" + std::to_string(round), "zone", max_leafs, 0};
    std::set<std::uint64_t> reached;
    // Each node learned of the last two leafs just now, or not yet.
    for (std::uint32_t node = 0; node < 3; ++node) {
      service_state view;
      view.leafs = {all[0], all[1]};
      for (const std::size_t added : {std::size_t{2}, std::size_t{3}}) {
        if (random() % 2 == 0) {
          view.leafs.push_back(std::make_shared<leaf_state>(*all[added]));
          view.leafs.back()->joined_at = start_time;
        }
      }
      delegated_request request = first;
      request.sent_before = node;
      for (const std::uint64_t key : choose_leaf_subset(view, request, start_time)) {
        if (key != 0) {
          reached.insert(key);
        }
      }
    }
    CHECK(reached.size() <= max_leafs);
  }
}

TEST_CASE("At most one leaf of a new service gets a request from each node") {
  service_state view;
  view.leafs = {make_leaf("a", 1), make_leaf("b", 2), make_leaf("c", 3)};
  for (const leaf_ptr& leaf : view.leafs) {
    leaf->joined_at = start_time;
  }
  CHECK(choose_leaf_subset(view, {"r", "zone", 2, 0}, start_time).size() == 1);
  CHECK(choose_leaf_subset(view, {"r", "zone", 2, 2}, start_time) ==
        std::vector<std::uint64_t>{0});
  const base::time_point later = start_time + leaf_news_delay;
  CHECK(choose_leaf_subset(view, {"r", "zone", 2, 2}, later).size() == 2);
}

}  // namespace
}  // namespace ibis::serving
