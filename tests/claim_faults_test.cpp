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

/// How often a key ran, over all leafs.
int runs_of(const virtual_tier& tier, const std::string& key) {
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

struct claim_case {
  std::string name;
  std::function<void(virtual_tier&)> before;
  milliseconds during_at{1};
  std::function<void(virtual_tier&)> during;
  outcome expected = outcome::complete;
  int least_runs = 1;
  /// What a repeat of the request gives after 2 s of recovery.
  outcome repeated = outcome::complete;
};

std::vector<claim_case> cases() {
  const auto nothing = [](virtual_tier&) {};
  const std::string entry = entry_name(0, 0);
  const auto down = [](virtual_tier& tier) { tier.platform.down = true; };
  std::vector<claim_case> all;
  all.push_back({"all is well", nothing, milliseconds(1), nothing});
  all.push_back({"the reply to the claim is lost",
                 [](virtual_tier& tier) { tier.platform.lose_replies = 1; },
                 milliseconds(1), nothing});
  all.push_back({"the reply to the record is lost", nothing, milliseconds(4),
                 [](virtual_tier& tier) { tier.platform.lose_replies = 1; }});
  all.push_back({"the platform is down before", down, milliseconds(390), nothing,
                 outcome::not_run, 0, outcome::complete});
  all.push_back({"the platform goes down after the claim", nothing, milliseconds(4),
                 down, outcome::complete, 1, outcome::complete});
  all.push_back(
      {"all leafs drain",
       [](virtual_tier& tier) {
         for_all_leafs(tier, [](virtual_leaf& leaf) { leaf.draining = true; });
       },
       milliseconds(100),
       [](virtual_tier& tier) {
         for_all_leafs(tier, [](virtual_leaf& leaf) { leaf.draining = false; });
       },
       outcome::not_run, 0, outcome::complete});
  all.push_back({"the leaf takes it and never answers",
                 [](virtual_tier& tier) {
                   for_all_leafs(tier, [](virtual_leaf& leaf) {
                     leaf.service_time = [](std::mt19937_64&) {
                       return base::duration(seconds(60));
                     };
                   });
                 },
                 milliseconds(1), nothing, outcome::unknown, 1, outcome::unknown});
  all.push_back({"the leafs die while it runs", nothing, milliseconds(4),
                 [](virtual_tier& tier) {
                   for_all_leafs(tier, [](virtual_leaf& leaf) { leaf.dead = true; });
                 },
                 outcome::unknown, 1, outcome::unknown});
  all.push_back({"the entry pauses between claim and dispatch", nothing,
                 milliseconds(2),
                 [entry](virtual_tier& tier) {
                   tier.pause(entry);
                   tier.after(seconds(1), [&tier, entry] { tier.resume(entry); });
                 },
                 outcome::not_run, 0, outcome::complete});
  all.push_back({"all relays die while it runs", nothing, milliseconds(4),
                 [](virtual_tier& tier) {
                   tier.kill(relay_name(0, 0));
                   tier.kill(relay_name(0, 1));
                 },
                 outcome::unknown, 1, outcome::unknown});
  return all;
}

TEST_CASE("Whatever fails, a submit runs at most once and its outcome is true") {
  for (const claim_case& item : cases()) {
    SECTION(item.name) {
      const auto tier = make_tier(submit_shape());
      item.before(*tier);
      tier->after(item.during_at, [&] { item.during(*tier); });
      const auto event = make_submit(1001, 5);
      tier->post(entry_name(0, 0), event);
      tier->run_for(milliseconds(2500));
      const auto* given = tier->answer_to({1001});
      REQUIRE(given != nullptr);
      INFO(item.name << ": " << policy::to_string(given->answer.outcome) << ' '
                     << given->answer.reason);
      const int runs = runs_of(*tier, event.idempotency_key);
      CHECK(given->answer.outcome == item.expected);
      CHECK(runs >= item.least_runs);
      CHECK(runs <= 1);
      if (given->answer.outcome == outcome::not_run) {
        CHECK(runs == 0);
      }
      // The caller tries again through the other VM once things are well.
      tier->platform.down = false;
      for_all_leafs(*tier, [](virtual_leaf& leaf) { leaf.dead = false; });
      tier->run_for(seconds(3));
      auto again = event;
      again.caller = {1002};
      tier->post(entry_name(0, 1), again);
      tier->run_for(milliseconds(500));
      const auto* repeated = tier->answer_to({1002});
      REQUIRE(repeated != nullptr);
      INFO("repeated: " << policy::to_string(repeated->answer.outcome) << ' '
                        << repeated->answer.reason);
      CHECK(repeated->answer.outcome == item.repeated);
      CHECK(runs_of(*tier, event.idempotency_key) <= 1);
    }
  }
}

TEST_CASE("The same key on two entries at once runs once") {
  const auto tier = make_tier(submit_shape());
  auto first = make_submit(1, 9);
  auto second = make_submit(2, 9);
  tier->post(entry_name(0, 0), first);
  tier->post(entry_name(0, 1), second);
  tier->run_for(seconds(1));
  REQUIRE(tier->answer_to({1}) != nullptr);
  REQUIRE(tier->answer_to({2}) != nullptr);
  CHECK(runs_of(*tier, first.idempotency_key) == 1);
  const bool one_complete = tier->answer_to({1})->answer.outcome == outcome::complete ||
                            tier->answer_to({2})->answer.outcome == outcome::complete;
  CHECK(one_complete);
}

TEST_CASE("A key is refused when it is wrong, too old, or used for something else") {
  const auto tier = make_tier(submit_shape());
  const auto entry = entry_name(0, 0);
  auto wrong = make_submit(1, 1);
  wrong.idempotency_key = "not-a-uuid";
  auto old = make_submit(2, 2);
  old.idempotency_key = base::make_uuid_v7(received_at - std::chrono::hours(25), 2, 2);
  auto future = make_submit(3, 3);
  future.idempotency_key =
      base::make_uuid_v7(received_at + std::chrono::hours(1), 3, 3);
  tier->post(entry, wrong);
  tier->post(entry, old);
  tier->post(entry, future);
  tier->post(entry, make_submit(4, 4));
  tier->run_for(seconds(1));
  auto other = make_submit(5, 4);
  other.document = "{}";
  tier->post(entry, other);
  tier->run_for(seconds(1));
  CHECK(tier->answer_to({1})->answer.rejection == policy::rejection::bad_request);
  CHECK(tier->answer_to({2})->answer.outcome == outcome::not_run);
  CHECK(tier->answer_to({3})->answer.rejection == policy::rejection::bad_request);
  CHECK(tier->answer_to({4})->answer.outcome == outcome::complete);
  CHECK(tier->answer_to({5})->answer.rejection == policy::rejection::unprocessable);
}

TEST_CASE("Expired claims are swept, others stay") {
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

/// Random faults at random times against random submits.
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
    const auto pick = random() % 2;
    tier->after(milliseconds(random() % 4000), [&tier = *tier, kind, pick] {
      const auto leaf = leaf_name(pick, 0);
      const auto entry = entry_name(0, pick);
      const auto relay = relay_name(0, pick);
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
  for (const auto& given : tier->answers) {
    const std::string& key = key_of_caller.at(given.caller.value);
    INFO("seed " << seed << " caller " << given.caller.value);
    if (given.answer.outcome == outcome::complete) {
      completed[key] = true;
      REQUIRE(runs[key] == 1);
      REQUIRE(given.answer.result == "{\"stored\":\"" + key + "\"}");
    }
  }
}

TEST_CASE("Over many seeds of random faults no key runs twice") {
  for (std::uint64_t seed = 1; seed <= seed_count(150); ++seed) {
    run_random_faults(seed);
  }
}

}  // namespace
}  // namespace ibis::tests
