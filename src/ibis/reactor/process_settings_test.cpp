#include "ibis/reactor/process_settings.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <random>            // for mt19937_64

#include "ibis/config/parse.hpp"  // for parse_document

namespace ibis::reactor {
namespace {

const std::string valid_settings = R"(node: "front-1"
availability_zone: praha-a
store: "10.0.0.9:7000"
listen:
  clients: "10.0.0.1:8104"
  readiness: "10.0.0.1:8108"
  metrics: "10.0.0.1:7380"
  peers: "10.0.0.1:7381"
leaf_choice: {by_cost: true}
extra_requests:
  ratio: 0.2
  slack: 52
  window_s: 10
stop:
  grace_s: 6
peers:
  watchers: 3
holders:
  min_own_connections: 6
  block_shards: 20
  per_zone: 3
first_start: true
propagation:
  configuration_ms: 5000
  leafs_ms: 3000
hedging:
  quantile: 0.93
access:
  strict_revocation: true
  revocation_ms: 4000
log:
  requests: false
  lines_per_s: 100
)";

/// Returns the number of errors in a settings file; text that is not YAML counts as
/// one.
std::size_t count_errors(const std::string& text) {
  const auto source = config::parse_document(text, "node.yaml");
  return source ? parse_process_settings(source.value()).errors.size() : 1;
}

std::string mutate(std::string text, std::mt19937_64& random) {
  const std::string bytes = ":-[]{}\"'#&*!|>%@\n\t 0aZ\x01\x80\xff";
  for (std::uint64_t changes = 1 + random() % 4; changes > 0; --changes) {
    const std::size_t position = random() % text.size();
    switch (random() % 4) {
      case 0:
        text[position] = bytes[random() % bytes.size()];
        break;
      case 1:
        text.insert(position, 1 + random() % 3, bytes[random() % bytes.size()]);
        break;
      case 2:
        text.erase(position, 1 + random() % 8);
        break;
      default:
        text.insert(position, text.substr(random() % text.size(), random() % 40));
        break;
    }
  }
  return text;
}

TEST_CASE("All settings of a valid file are read") {
  const auto source = config::parse_document(valid_settings, "node.yaml");
  REQUIRE(source);
  const auto parsed = parse_process_settings(source.value());
  CHECK(parsed.errors.empty());
  CHECK(parsed.value.peer_address == "10.0.0.1:7381");
  CHECK(parsed.value.serving.node == "front-1");
  CHECK(parsed.value.serving.peers.watchers == 3);
  CHECK(parsed.value.serving.budget.slack == 52);
  CHECK(parsed.value.serving.holders.min_own_connections == 6);
  CHECK(parsed.value.serving.holders.block_shards == 20);
  CHECK(parsed.value.serving.holders.per_zone == 3);
  CHECK(parsed.value.serving.leafs.by_cost);
  CHECK_FALSE(serving::node_settings().leafs.by_cost);
  CHECK(parsed.value.serving.first_start);
  CHECK(parsed.value.serving.store.probe_period == base::milliseconds(1000));
  CHECK(parsed.value.serving.access.view_limit == base::milliseconds(5000));
  CHECK(parsed.value.serving.access.strict_revocation);
  CHECK(parsed.value.serving.access.revocation_limit == base::milliseconds(4000));
  CHECK_FALSE(parsed.value.log.log_requests);
}

// Guards against a node that waits for a list of evacuations that its platform does not
// have, and against one that checks its watches too seldom for the shortest limit.
TEST_CASE("Evacuations are followed only if their limit is stated, and within it") {
  const auto parse = [](const std::string& limit) {
    std::string text = valid_settings;
    text.replace(text.find("  leafs_ms: 3000\n"), 17, limit);
    const auto source = config::parse_document(text, "node.yaml");
    REQUIRE(source);
    const auto parsed = parse_process_settings(source.value());
    CHECK(parsed.errors.empty());
    return parsed.value.serving.store;
  };
  CHECK_FALSE(parse("  leafs_ms: 3000\n").follow_evacuations);
  const auto slower = parse("  leafs_ms: 3000\n  evacuations_ms: 6000\n");
  CHECK(slower.follow_evacuations);
  CHECK(slower.probe_period == base::milliseconds(1000));
  const auto faster = parse("  leafs_ms: 3000\n  evacuations_ms: 2700\n");
  CHECK(faster.probe_period == base::milliseconds(900));
  // Without the default of leafs, 3000 ms, the limit of evacuations would count.
  CHECK(parse("  evacuations_ms: 5000\n").probe_period == base::milliseconds(1000));
}

TEST_CASE("Each invalid or missing setting is reported as an error") {
  CHECK(count_errors("node: a") == 4);
  CHECK(count_errors(valid_settings + "surprise: 1\n") == 1);
  CHECK(count_errors("peers: {watchers: -1}\n" +
                     valid_settings.substr(0, valid_settings.find("peers:\n"))) >= 1);
  std::string no_holders = valid_settings;
  no_holders.replace(no_holders.find("per_zone: 3"), 11, "per_zone: 0");
  CHECK(count_errors(no_holders) == 1);
  std::string short_limit = valid_settings;
  short_limit.replace(short_limit.find("leafs_ms: 3000"), 14, "leafs_ms: 2000");
  CHECK(count_errors(short_limit) == 1);
  std::string odd_choice = valid_settings;
  odd_choice.replace(odd_choice.find("by_cost: true"), 13, "by_cost: 7");
  CHECK(count_errors(odd_choice) == 1);
  std::string short_evacuations = valid_settings;
  short_evacuations.replace(short_evacuations.find("leafs_ms: 3000"), 14,
                            "evacuations_ms: 2000");
  CHECK(count_errors(short_evacuations) == 1);
  std::string unknown_choice = valid_settings;
  unknown_choice.replace(unknown_choice.find("by_cost: true"), 13, "by_price: true");
  CHECK(count_errors(unknown_choice) == 1);
  CHECK(count_errors("[1, 2]") >= 1);
  CHECK(count_errors("") >= 1);
}

TEST_CASE("Randomly damaged settings are accepted or rejected, but never crash") {
  std::mt19937_64 random(5);
  std::size_t rejected = 0;
  constexpr int rounds = 4000;
  for (int round = 0; round < rounds; ++round) {
    rejected += count_errors(mutate(valid_settings, random)) > 0 ? 1 : 0;
  }
  CHECK(rejected > rounds / 4);
}

}  // namespace

// Guards against limits that are enforced in a deployment without bounds for them, and
// against bounds that are not read.
TEST_CASE("Quotas are on only if the settings have their section") {
  const auto parse = [](const std::string& text) {
    return parse_process_settings(config::parse_document(text, "s.yaml").value());
  };
  CHECK_FALSE(parse(valid_settings).value.serving.quota);
  const auto parsed =
      parse(valid_settings + "quota:\n  window_s: 2.5\n  overage: 0.2\n  slack: 7\n");
  CHECK(parsed.errors.empty());
  REQUIRE(parsed.value.serving.quota);
  CHECK(*parsed.value.serving.quota ==
        quota::bound_settings{base::milliseconds(2500), 0.2, 7});
}
}  // namespace ibis::reactor
