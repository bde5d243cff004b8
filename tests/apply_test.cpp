#include "ibis/control/apply.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

#include "object_store.hpp"  // for object_store
#include "small_tier.hpp"    // for make_configuration

namespace ibis::tests {
namespace {

using control::apply_plan;
using control::apply_request;
using control::make_plan;
using control::read_platform;
using policy::platform_outcome;
using policy::platform_verb;

/// An in-memory platform whose next calls can be made to fail.
struct fake_platform {
  standins::object_store store;
  /// How many of the next manifest writes take effect but lose their reply.
  int lose_replies = 0;
  int refuse_calls = 0;  ///< How many of the next calls fail without effect.
  std::size_t calls = 0;

  policy::platform_replied operator()(const policy::call_platform& call) {
    ++calls;
    if (refuse_calls > 0) {
      --refuse_calls;
      return {call.call, platform_outcome::unavailable, {}};
    }
    policy::platform_replied reply{call.call, platform_outcome::ok, {}};
    if (call.verb == platform_verb::get) {
      const auto found = store.get(call.key);
      if (!found) {
        return {call.call, platform_outcome::not_found, {}};
      }
      reply.objects.push_back({found->key, found->version, found->value});
      return reply;
    }
    standins::write_condition condition;
    condition.must_be_absent = call.verb == platform_verb::create;
    if (call.verb == platform_verb::update) {
      condition.version = call.expected_version;
    }
    standins::stored_object present;
    const auto outcome = store.put(call.key, call.value, condition, present);
    reply.objects.push_back({present.key, present.version, present.value});
    if (outcome != standins::write_outcome::ok) {
      reply.outcome = platform_outcome::conflict;
    }
    if (call.key == config::manifest_key && lose_replies > 0) {
      --lose_replies;
      return {call.call, platform_outcome::unavailable, {}};
    }
    return reply;
  }
};

void no_pause(base::milliseconds /*time*/) {}

control::platform_transport transport_of(fake_platform& platform) {
  return [&platform](const policy::call_platform& call) { return platform(call); };
}

control::plan plan_for(fake_platform& platform, std::size_t groups) {
  tier_shape shape;
  shape.groups = groups;
  return make_plan(read_platform(transport_of(platform), no_pause).value(),
                   make_configuration(shape))
      .value();
}

apply_request request_by(const std::string& author) {
  return {author, "change by " + author, "token-" + author, 1'790'000'000'000, 0};
}

TEST_CASE(
    "The first configuration is generation 1, the next changes only differing parts") {
  fake_platform platform;
  const auto first = plan_for(platform, 2);
  CHECK(first.differences.size() == 3);
  CHECK(
      apply_plan(first, request_by("anna"), transport_of(platform), no_pause).value() ==
      1);
  const auto second = plan_for(platform, 3);
  REQUIRE(second.differences.size() == 1);
  CHECK(second.differences.front().part == "service/search");
  CHECK(
      apply_plan(second, request_by("ben"), transport_of(platform), no_pause).value() ==
      2);
  const auto state = read_platform(transport_of(platform), no_pause).value();
  CHECK(state.names.author == "ben");
  REQUIRE(state.names.history.size() == 1);
  CHECK(state.names.history.front().author == "anna");
}

TEST_CASE(
    "Of two operators applying at once, the second gets a conflict with the first") {
  fake_platform platform;
  apply_plan(plan_for(platform, 2), request_by("start"), transport_of(platform),
             no_pause)
      .value();
  const auto plan_by_anna = plan_for(platform, 3);
  const auto plan_by_ben = plan_for(platform, 4);
  CHECK(apply_plan(plan_by_anna, request_by("anna"), transport_of(platform), no_pause)
            .value() == 2);
  const auto refused =
      apply_plan(plan_by_ben, request_by("ben"), transport_of(platform), no_pause);
  REQUIRE_FALSE(refused);
  CHECK(refused.error().code == base::error_code::conflict);
  CHECK(refused.error().detail.find("generation 2 was applied by anna") !=
        std::string::npos);
  CHECK(refused.error().detail.find("change by anna") != std::string::npos);
  CHECK(read_platform(transport_of(platform), no_pause).value().names.token ==
        "token-anna");
}

TEST_CASE("A lost reply is resolved by reading the manifest back") {
  fake_platform platform;
  apply_plan(plan_for(platform, 2), request_by("start"), transport_of(platform),
             no_pause)
      .value();
  const auto planned = plan_for(platform, 3);
  SECTION("the write took effect") {
    platform.lose_replies = 1;
    CHECK(apply_plan(planned, request_by("anna"), transport_of(platform), no_pause)
              .value() == 2);
  }
  SECTION("the write took effect and was followed by another one") {
    bool followed = false;
    const auto transport = [&](const policy::call_platform& call) {
      auto reply = platform(call);
      const bool updates_manifest =
          call.key == config::manifest_key && call.verb == platform_verb::update;
      if (updates_manifest && !followed) {
        followed = true;
        apply_plan(plan_for(platform, 4), request_by("ben"), transport_of(platform),
                   no_pause)
            .value();
        return policy::platform_replied{call.call, platform_outcome::unavailable, {}};
      }
      return reply;
    };
    CHECK(apply_plan(planned, request_by("anna"), transport, no_pause).value() == 2);
    CHECK(read_platform(transport_of(platform), no_pause).value().names.author ==
          "ben");
  }
  SECTION("the first attempts had no effect") {
    platform.refuse_calls = 3;
    CHECK(apply_plan(planned, request_by("anna"), transport_of(platform), no_pause)
              .value() == 2);
  }
  SECTION("the platform stays unavailable") {
    platform.refuse_calls = 1000;
    const auto failed =
        apply_plan(planned, request_by("anna"), transport_of(platform), no_pause);
    REQUIRE_FALSE(failed);
    CHECK(failed.error().code == base::error_code::unavailable);
  }
}

TEST_CASE("After a platform restore a change gets a generation above the fleet's") {
  fake_platform platform;
  auto request = request_by("anna");
  request.fleet_generation = 41;
  CHECK(apply_plan(plan_for(platform, 2), request, transport_of(platform), no_pause)
            .value() == 42);
}

TEST_CASE("Leave times set by vacate are kept if the files omit them") {
  fake_platform platform;
  tier_shape shape;
  auto with_leaving = make_configuration(shape);
  with_leaving.leaving["leaf-0-0"] = base::milliseconds(1'790'000'000'000);
  const auto first =
      make_plan(read_platform(transport_of(platform), no_pause).value(), with_leaving)
          .value();
  apply_plan(first, request_by("anna"), transport_of(platform), no_pause).value();
  CHECK(plan_for(platform, shape.groups).differences.empty());
}

TEST_CASE("A part over the size limit is refused and the manifest is not written") {
  fake_platform platform;
  auto planned = plan_for(platform, 2);
  planned.after["service/search"] = std::string(config::max_object_size + 1, ' ');
  const auto failed =
      apply_plan(planned, request_by("anna"), transport_of(platform), no_pause);
  REQUIRE_FALSE(failed);
  CHECK(failed.error().code == base::error_code::too_large);
  CHECK_FALSE(platform.store.get(config::manifest_key).has_value());
}

TEST_CASE("A generation is in force in a zone once all its live members have it") {
  fake_platform platform;
  standins::stored_object ignored;
  platform.store.put("status/config/a", R"({"generation": 3, "live": 4, "reached": 4})",
                     {}, ignored);
  platform.store.put("status/config/b", R"({"generation": 3, "live": 4, "reached": 3})",
                     {}, ignored);
  platform.store.put("status/config/c", "broken", {}, ignored);
  const auto zones =
      control::read_zones(transport_of(platform), {"a", "b", "c", "d"}, 3);
  CHECK(zones[0].in_force);
  CHECK_FALSE(zones[1].in_force);
  CHECK_FALSE(zones[2].in_force);
  CHECK_FALSE(zones[3].in_force);
  CHECK_FALSE(control::read_zones(transport_of(platform), {"a"}, 4).front().in_force);
}

}  // namespace
}  // namespace ibis::tests
