#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <functional>        // for function

#include "ibis/base/uuid.hpp"     // for make_uuid_v7
#include "ibis/policy/claim.hpp"  // for read_claim
#include "small_tier.hpp"         // for make_tier

namespace ibis::tests {
namespace {

using policy::outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds received_at{1'790'000'010'000};

tier_shape submit_shape(std::uint64_t seed = 1) {
  tier_shape shape;
  shape.repeatable = false;
  shape.vms_per_zone = 2;
  shape.seed = seed;
  return shape;
}

policy::submit_received make_submit(std::uint64_t caller, std::uint64_t key) {
  policy::submit_received event;
  event.caller = {caller};
  event.service = service_name;
  event.idempotency_key = base::make_uuid_v7(received_at, key, key);
  event.shard_key = "CYL-7";
  event.document = R"({"cylinder":"CYL-7"})";
  event.timeout = milliseconds(400);
  event.received_at = received_at;
  return event;
}

/// Counts how often a key ran, over all upstreams.
int run_count(const virtual_tier& tier, const std::string& key) {
  int runs = 0;
  for (const auto& [name, leaf] : tier.leafs) {
    const auto found = leaf.runs.find(key);
    runs += found == leaf.runs.end() ? 0 : found->second;
  }
  return runs;
}

void for_all_leafs(virtual_tier& tier,
                   const std::function<void(virtual_leaf&)>& change) {
  for (auto& [name, leaf] : tier.leafs) {
    change(leaf);
  }
}

struct fault_case {
  std::string name;
  std::function<void(virtual_tier&)> set_up;
  milliseconds fault_at{1};
  std::function<void(virtual_tier&)> inject_fault;
  outcome expected_outcome = outcome::complete;
  int min_runs = 1;
  /// The outcome of repeating the request 3 s after the faults are cleared.
  outcome repeated_outcome = outcome::complete;
};

std::vector<fault_case> fault_cases() {
  const auto no_change = [](virtual_tier&) {};
  const std::string entry = entry_name(0, 0);
  const auto down = [](virtual_tier& tier) { tier.platform.down = true; };
  std::vector<fault_case> result;
  result.push_back({"no fault", no_change, milliseconds(1), no_change});
  result.push_back({"the reply to the claim write is lost",
                    [](virtual_tier& tier) { tier.platform.lose_replies = 1; },
                    milliseconds(1), no_change});
  result.push_back({"the reply to the write of the result is lost", no_change,
                    milliseconds(4),
                    [](virtual_tier& tier) { tier.platform.lose_replies = 1; }});
  result.push_back({"the platform is down before the claim", down, milliseconds(390),
                    no_change, outcome::not_run, 0, outcome::complete});
  result.push_back({"the platform goes down after the claim", no_change,
                    milliseconds(4), down, outcome::complete, 1, outcome::complete});
  result.push_back(
      {"all upstreams are draining",
       [](virtual_tier& tier) {
         for_all_leafs(tier, [](virtual_leaf& leaf) { leaf.draining = true; });
       },
       milliseconds(100),
       [](virtual_tier& tier) {
         for_all_leafs(tier, [](virtual_leaf& leaf) { leaf.draining = false; });
       },
       outcome::not_run, 0, outcome::complete});
  result.push_back({"the upstream accepts the request and never answers",
                    [](virtual_tier& tier) {
                      for_all_leafs(tier, [](virtual_leaf& leaf) {
                        leaf.service_time = [](std::mt19937_64&) {
                          return base::duration(seconds(60));
                        };
                      });
                    },
                    milliseconds(1), no_change, outcome::unknown, 1, outcome::unknown});
  result.push_back({"the upstreams die while it runs", no_change, milliseconds(4),
                    [](virtual_tier& tier) {
                      for_all_leafs(tier, [](virtual_leaf& leaf) { leaf.dead = true; });
                    },
                    outcome::unknown, 1, outcome::unknown});
  result.push_back({"the entry pauses between claim and dispatch", no_change,
                    milliseconds(2),
                    [entry](virtual_tier& tier) {
                      tier.pause(entry);
                      tier.after(seconds(1), [&tier, entry] { tier.resume(entry); });
                    },
                    outcome::not_run, 0, outcome::complete});
  result.push_back({"all relays die while it runs", no_change, milliseconds(4),
                    [](virtual_tier& tier) {
                      tier.kill(relay_name(0, 0));
                      tier.kill(relay_name(0, 1));
                    },
                    outcome::unknown, 1, outcome::unknown});
  return result;
}

TEST_CASE("Under each fault, a submit runs at most once and its outcome is correct") {
  for (const fault_case& item : fault_cases()) {
    SECTION(item.name) {
      const auto tier = make_tier(submit_shape());
      item.set_up(*tier);
      tier->after(item.fault_at, [&] { item.inject_fault(*tier); });
      const auto event = make_submit(1001, 5);
      tier->post(entry_name(0, 0), event);
      tier->run_for(milliseconds(2500));
      const auto* reply = tier->find_answer({1001});
      REQUIRE(reply != nullptr);
      INFO(item.name << ": " << policy::to_string(reply->answer.outcome) << ' '
                     << reply->answer.reason);
      const int runs = run_count(*tier, event.idempotency_key);
      CHECK(reply->answer.outcome == item.expected_outcome);
      CHECK(runs >= item.min_runs);
      CHECK(runs <= 1);
      if (reply->answer.outcome == outcome::not_run) {
        CHECK(runs == 0);
      }
      // The caller retries through the other VM once the faults are cleared.
      tier->platform.down = false;
      for_all_leafs(*tier, [](virtual_leaf& leaf) { leaf.dead = false; });
      tier->run_for(seconds(3));
      auto repeated_event = event;
      repeated_event.caller = {1002};
      tier->post(entry_name(0, 1), repeated_event);
      tier->run_for(milliseconds(500));
      const auto* repeated = tier->find_answer({1002});
      REQUIRE(repeated != nullptr);
      INFO("repeated: " << policy::to_string(repeated->answer.outcome) << ' '
                        << repeated->answer.reason);
      CHECK(repeated->answer.outcome == item.repeated_outcome);
      CHECK(run_count(*tier, event.idempotency_key) <= 1);
    }
  }
}

TEST_CASE("A key that is submitted to two entries concurrently runs once") {
  const auto tier = make_tier(submit_shape());
  auto first = make_submit(1, 9);
  auto second = make_submit(2, 9);
  tier->post(entry_name(0, 0), first);
  tier->post(entry_name(0, 1), second);
  tier->run_for(seconds(1));
  REQUIRE(tier->find_answer({1}) != nullptr);
  REQUIRE(tier->find_answer({2}) != nullptr);
  CHECK(run_count(*tier, first.idempotency_key) == 1);
  const bool one_complete =
      tier->find_answer({1})->answer.outcome == outcome::complete ||
      tier->find_answer({2})->answer.outcome == outcome::complete;
  CHECK(one_complete);
}

TEST_CASE(
    "A key is refused if it is malformed, expired, in the future or reused with "
    "another "
    "document") {
  const auto tier = make_tier(submit_shape());
  const auto entry = entry_name(0, 0);
  auto malformed_key = make_submit(1, 1);
  malformed_key.idempotency_key = "not-a-uuid";
  auto expired_key = make_submit(2, 2);
  expired_key.idempotency_key =
      base::make_uuid_v7(received_at - std::chrono::hours(25), 2, 2);
  auto future_key = make_submit(3, 3);
  future_key.idempotency_key =
      base::make_uuid_v7(received_at + std::chrono::hours(1), 3, 3);
  tier->post(entry, malformed_key);
  tier->post(entry, expired_key);
  tier->post(entry, future_key);
  tier->post(entry, make_submit(4, 4));
  tier->run_for(seconds(1));
  auto reused_key = make_submit(5, 4);
  reused_key.document = "{}";
  tier->post(entry, reused_key);
  tier->run_for(seconds(1));
  CHECK(tier->find_answer({1})->answer.rejection == policy::rejection::bad_request);
  CHECK(tier->find_answer({2})->answer.outcome == outcome::not_run);
  CHECK(tier->find_answer({3})->answer.rejection == policy::rejection::bad_request);
  CHECK(tier->find_answer({4})->answer.outcome == outcome::complete);
  CHECK(tier->find_answer({5})->answer.rejection == policy::rejection::unprocessable);
}

TEST_CASE("Sweeping removes only expired claims") {
  auto shape = submit_shape();
  const auto tier = make_tier(shape);
  standins::stored_object ignored;
  const std::string old_key =
      policy::claim_key(base::make_uuid_v7(received_at - std::chrono::hours(30), 1, 1));
  const std::string new_key = policy::claim_key(base::make_uuid_v7(received_at, 1, 1));
  tier->store.put(old_key, "{}", {}, ignored);
  tier->store.put(new_key, "{}", {}, ignored);
  tier->run_for(seconds(12));
  CHECK_FALSE(tier->store.get(old_key).has_value());
  CHECK(tier->store.get(new_key).has_value());
}

// Guards against one entry of another writer that keeps all expired claims in the
// store.
TEST_CASE("Sweeping passes over an entry that is no claim") {
  const auto tier = make_tier(submit_shape());
  standins::stored_object ignored;
  const std::string old_key =
      policy::claim_key(base::make_uuid_v7(received_at - std::chrono::hours(30), 1, 1));
  const std::vector<std::string> odd_keys{"claims/", "claims/ &+#%", "claims/0/odd"};
  for (const std::string& key : odd_keys) {
    tier->store.put(key, "odd", {}, ignored);
  }
  tier->store.put(old_key, "{}", {}, ignored);
  tier->run_for(seconds(12));
  CHECK_FALSE(tier->store.get(old_key).has_value());
  for (const std::string& key : odd_keys) {
    CHECK(tier->store.get(key).has_value());
  }
}

/// Runs random submits under random faults at random times.
void run_random_faults(std::uint64_t seed) {
  const auto tier = make_tier(submit_shape(seed));
  tier->links.duplicate = 0.02;
  std::vector<std::string> keys;
  std::map<std::uint64_t, std::string> key_of_caller;
  auto& random = tier->random;
  for (std::uint64_t caller = 1; caller <= 60; ++caller) {
    const std::uint64_t key = 1 + random() % 25;
    auto event = make_submit(caller, key);
    key_of_caller[caller] = event.idempotency_key;
    const auto entry = entry_name(0, random() % 2);
    tier->after(milliseconds(random() % 4000),
                [&tier = *tier, entry, event] { tier.post(entry, event); });
  }
  for (int fault = 0; fault < 14; ++fault) {
    const auto kind = random() % 7;
    const auto vm_index = random() % 2;
    tier->after(milliseconds(random() % 4000), [&tier = *tier, kind, vm_index] {
      const auto leaf = leaf_name(vm_index, 0);
      const auto entry = entry_name(0, vm_index);
      const auto relay = relay_name(0, vm_index);
      switch (kind) {
        case 0:
          tier.platform.lose_replies += 2;
          break;
        case 1:
          tier.platform.down = !tier.platform.down;
          break;
        case 2:
          tier.leafs.at(leaf).dead = !tier.leafs.at(leaf).dead;
          break;
        case 3:
          tier.leafs.at(leaf).draining = !tier.leafs.at(leaf).draining;
          break;
        case 4:
          if (tier.nodes.at(entry).alive) {
            tier.pause(entry);
            tier.after(milliseconds(700), [&tier, entry] { tier.resume(entry); });
          }
          break;
        case 5:
          tier.kill(relay);
          tier.after(milliseconds(300), [&tier, relay] { tier.restart(relay); });
          break;
        default:
          tier.kill(entry);
          tier.after(milliseconds(300), [&tier, entry] { tier.restart(entry); });
          break;
      }
    });
  }
  tier->run_for(seconds(6));
  std::map<std::string, int> runs;
  for (const auto& [name, leaf] : tier->leafs) {
    for (const auto& [key, count] : leaf.runs) {
      runs[key] += count;
    }
  }
  for (const auto& [key, count] : runs) {
    INFO("seed " << seed << " key " << key);
    REQUIRE(count == 1);
  }
  std::map<std::string, bool> completed;
  for (const auto& reply : tier->answers) {
    const std::string& key = key_of_caller.at(reply.caller.value);
    INFO("seed " << seed << " caller " << reply.caller.value);
    if (reply.answer.outcome == outcome::complete) {
      completed[key] = true;
      REQUIRE(runs[key] == 1);
      REQUIRE(reply.answer.result == "{\"stored\":\"" + key + "\"}");
    }
  }
}

TEST_CASE("No key runs twice under random faults, over many seeds") {
  for (std::uint64_t seed = 1; seed <= seed_count(150); ++seed) {
    run_random_faults(seed);
  }
}

}  // namespace
}  // namespace ibis::tests
