#include "ibis/serving/account_quota.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

#include "ibis/serving/node.hpp"  // for make_node, reduce

namespace ibis::serving {
namespace {

using base::milliseconds;
using base::seconds;

constexpr base::time_point start_time{std::chrono::hours(1)};

/// A node among others that knows an account with a limit and one without.
struct quota_node {
  explicit quota_node(std::vector<peer> peers = {{"other", "10.0.0.2:1", "zone"}}) {
    node_settings settings;
    settings.node = "self";
    settings.first_start = true;
    settings.quota = quota::bound_settings{};
    node = make_node(settings, 1);
    start(node, start_time);
    config = std::make_shared<catalog>();
    config->version = 1;
    config->accounts.emplace();
    config->accounts->accounts = {{"limited", {}, 2, 2}, {"free", {}, 0, 0}};
    route only;
    only.name = "only";
    only.host = "h";
    only.prefix = "/";
    only.objective = milliseconds(120);
    only.timeout = milliseconds(500);
    only.targets = {{"s", 1}};
    config->routes = {only};
    config->services["s"] = {"s", 4};
    index_routes(*config);
    node.configuration = config;
    const std::size_t count = peers.size() + 1;
    reduce(node, nodes_counted{count, true, std::move(peers), ""}, start_time);
    // Requests wait for tokens, as after the owner has said that few are left.
    limited().contended_until = start_time + std::chrono::hours(1);
  }

  quota::account_state& limited() { return node.quota.accounts.at("limited"); }

  /// Sends a request of an account.
  effects send(const std::string& account, base::time_point now) {
    effects out;
    context ctx{now, node, out};
    inbound_request request;
    request.id = "r" + std::to_string(++last);
    pending_request pending;
    pending.caller = base::caller_id{last};
    pending.request = std::make_shared<const inbound_request>(request);
    pending.configuration = node.configuration;
    pending.route = &config->routes.front();
    pending.account = account;
    pending.arrived = now;
    pending.deadline = now + milliseconds(500);
    pending.effective_deadline = pending.deadline;
    pending.objective_deadline = now + milliseconds(100);
    admit_by_quota(std::move(pending), ctx);
    return out;
  }

  node_state node;
  std::shared_ptr<catalog> config;
  std::uint64_t last = 0;
};

template <typename Effect>
const Effect* find(const effects& out) {
  for (const effect& value : out) {
    if (const auto* found = std::get_if<Effect>(&value)) {
      return found;
    }
  }
  return nullptr;
}

bool is_rejected(const effects& out) {
  const auto* answer = find<answer_caller>(out);
  return answer != nullptr && answer->answer.status == 429;
}

/// @return The effects of granting a request.
effects answer(quota_node& test, const request_quota& asked, std::uint32_t tokens,
               base::time_point now, bool contended = true) {
  wire::quota_grant grant;
  grant.account = asked.request.account;
  grant.serial = asked.request.serial;
  grant.tokens = tokens;
  grant.validity = milliseconds(1000);
  grant.retry_after = milliseconds(400);
  grant.version = 1;
  grant.contended = contended;
  return reduce(test.node, quota_granted{asked.to.node, grant}, now);
}

}  // namespace

// Guards against limits that cost requests without a limit anything.
TEST_CASE("A request of an account without a rate starts at once") {
  quota_node test;
  const effects out = test.send("free", start_time);
  CHECK(find<request_quota>(out) == nullptr);
  CHECK_FALSE(is_rejected(out));
  CHECK(test.node.quota_waiting.empty());
  test.node.settings.quota.reset();
  CHECK(find<request_quota>(test.send("limited", start_time)) == nullptr);
  CHECK(test.node.quota_waiting.empty());
}

// Guards against a request within the limit that is refused since no token is here yet.
TEST_CASE("A request waits for a token of its account's owner") {
  quota_node test;
  const effects out = test.send("limited", start_time);
  const auto* asked = find<request_quota>(out);
  REQUIRE(asked != nullptr);
  CHECK(asked->to.address == "10.0.0.2:1");
  CHECK(asked->request.urgent == 1);
  REQUIRE(test.node.quota_waiting.size() == 1);
  CHECK_FALSE(is_rejected(answer(test, *asked, 1, start_time + milliseconds(9))));
  CHECK(test.node.quota_waiting.empty());
  CHECK(test.node.quota.accounts["limited"].count.admitted == 1);
}

// Guards against a round trip for each request of accounts that are far from their
// limit, and against requests that the owner never hears of.
TEST_CASE("Without contention a request starts ahead of the owner's answer") {
  quota_node test;
  test.limited().contended_until = {};
  const effects out = test.send("limited", start_time);
  CHECK(test.node.quota_waiting.empty());
  CHECK(test.limited().count.admitted_early == 1);
  const auto* told = find<request_quota>(out);
  REQUIRE(told != nullptr);
  CHECK(told->request.used_locally == 1);
  // The owner may not know of the first request yet.
  const effects second = test.send("limited", start_time + milliseconds(1));
  REQUIRE(find<request_quota>(second) != nullptr);
  CHECK(test.node.quota_waiting.size() == 1);
  answer(test, *told, 0, start_time + milliseconds(9), false);
  answer(test, *find<request_quota>(second), 1, start_time + milliseconds(10), false);
  CHECK(test.node.quota_waiting.empty());
  test.send("limited", start_time + milliseconds(20));
  CHECK(test.limited().count.admitted_early == 2);
}

// Guards against nodes that each admit requests early while an account is at its limit.
TEST_CASE("After the owner has said that few tokens are left, requests wait for them") {
  quota_node test;
  test.limited().contended_until = {};
  const effects out = test.send("limited", start_time);
  answer(test, *find<request_quota>(out), 0, start_time + milliseconds(9), true);
  test.send("limited", start_time + seconds(5));
  CHECK(test.node.quota_waiting.size() == 1);
  CHECK(test.limited().count.admitted_early == 1);
  reduce(test.node, tick{}, start_time + seconds(6));
  CHECK(test.node.quota_waiting.empty());
}

// Guards against a node that goes on to admit requests of which the owner never hears:
// in a partition each node would.
TEST_CASE("A node admits one request early until the owner has answered") {
  quota_node test;
  test.limited().contended_until = {};
  for (int i = 0; i < 10; ++i) {
    test.send("limited", start_time + seconds(i));
  }
  CHECK(test.limited().count.admitted_early == 1);
}

// Guards against requests that wait although the owner has said when there are tokens.
TEST_CASE("A request over the limit is rejected with the time to return") {
  quota_node test;
  const effects out = test.send("limited", start_time);
  const effects refused =
      answer(test, *find<request_quota>(out), 0, start_time + milliseconds(9));
  REQUIRE(is_rejected(refused));
  CHECK(find<answer_caller>(refused)->answer.retry_after == milliseconds(400));
  const effects next = test.send("limited", start_time + milliseconds(109));
  REQUIRE(is_rejected(next));
  CHECK(find<answer_caller>(next)->answer.retry_after == milliseconds(300));
  CHECK(find<request_quota>(next) == nullptr);
}

// Guards against an owner that does not answer: the request must be decided within a
// quarter of its objective.
TEST_CASE("A request is decided without the owner after a sixth of its objective") {
  quota_node test;
  // With two nodes, each has an allowance of one request.
  test.send("limited", start_time);
  CHECK_FALSE(is_rejected(reduce(test.node, tick{}, start_time + milliseconds(20))));
  CHECK(test.node.quota_waiting.empty());
  test.send("limited", start_time + milliseconds(300));
  CHECK(is_rejected(reduce(test.node, tick{}, start_time + milliseconds(320))));
}

// Guards against tokens that are lost with a client, or an answer to a client that
// left.
TEST_CASE("The token of a client that disconnects is used by the next request") {
  quota_node test;
  const effects out = test.send("limited", start_time);
  reduce(test.node, caller_disconnected{base::caller_id{1}}, start_time);
  CHECK(test.node.quota_waiting.empty());
  answer(test, *find<request_quota>(out), 1, start_time + milliseconds(9));
  CHECK(test.node.quota.accounts["limited"].count.admitted == 0);
  const effects next = test.send("limited", start_time + milliseconds(20));
  CHECK(find<request_quota>(next) == nullptr);
  CHECK(test.node.quota.accounts["limited"].count.admitted == 1);
}

// Guards against a wait for a node that has ended.
TEST_CASE("The next candidate is asked at once if the first cannot be reached") {
  quota_node test({{"b", "10.0.0.2:1", "z"}, {"c", "10.0.0.3:1", "z"}});
  const effects out = test.send("limited", start_time);
  const auto* asked = find<request_quota>(out);
  REQUIRE(asked != nullptr);
  const effects next = reduce(
      test.node, quota_undeliverable{asked->to.node, asked->request}, start_time);
  const auto* again = find<request_quota>(next);
  REQUIRE(again != nullptr);
  CHECK(again->to.node != asked->to.node);
}

// Guards against clients without an answer when the process ends.
TEST_CASE("A graceful stop answers requests that wait for a token") {
  quota_node test;
  test.send("limited", start_time);
  effects out;
  context ctx{start_time, test.node, out};
  reject_quota_requests(ctx);
  REQUIRE(find<answer_caller>(out) != nullptr);
  CHECK(find<answer_caller>(out)->answer.status == 503);
  CHECK(test.node.quota_waiting.empty());
}

}  // namespace ibis::serving
