#include "ibis/serving/holders.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <map>               // for map
#include <memory>            // for make_shared
#include <set>               // for set

#include "ibis/serving/connection_quota.hpp"  // for connection_quota_of
#include "ibis/serving/leaf_subset.hpp"       // for choose_allowed_leafs
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
  node.records.slack_from = start_time;
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

TEST_CASE("A request may reach only as many leafs as allowed, new ones last") {
  std::vector<leaf_ptr> leafs{make_leaf("a", 1), make_leaf("b", 2), make_leaf("c", 3)};
  leafs.back()->joined_at = start_time;
  std::set<std::string> first;
  for (int i = 0; i < 100; ++i) {
    const auto allowed =
        choose_allowed_leafs(leafs, "r" + std::to_string(i), "zone", 2, start_time);
    REQUIRE(allowed.size() == 2);
    CHECK(allowed[0]->key != 3);
    CHECK(allowed[1]->key != 3);
    first.insert(allowed[0]->record.id);
  }
  CHECK(first.size() == 2);
}

TEST_CASE("A holder that does not know the leafs it is given sends to none") {
  const std::vector<leaf_ptr> known{make_leaf("a", 1), make_leaf("c", 3)};
  const std::vector<std::uint32_t> tags{leaf_tag("a"), leaf_tag("b")};
  CHECK(find_leaf_keys(known, tags) == std::vector<std::uint64_t>{1});
  CHECK(find_leaf_keys(known, {leaf_tag("d")}) == std::vector<std::uint64_t>{0});
}

}  // namespace
}  // namespace ibis::serving
