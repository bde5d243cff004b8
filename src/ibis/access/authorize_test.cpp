#include "ibis/access/authorize.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

#include "ibis/access/request_counts.hpp"  // for request_counts

namespace ibis::access {
namespace {

using base::milliseconds;

constexpr milliseconds fresh{100};
constexpr milliseconds outdated{5001};

account_table make_table() {
  return make_account_table({{{"a", std::nullopt, 0, 0}, {"known", ""}}},
                            [](const std::string&, const char*) {});
}

access_settings lenient() {
  return {milliseconds(5000), false, milliseconds(1000)};
}

access_settings strict() {
  return {milliseconds(5000), true, milliseconds(1000)};
}

access_result decide(bool allow_anonymous, std::optional<std::string_view> key,
                     milliseconds age, const access_settings& settings = lenient()) {
  const account_table table = make_table();
  const access_decision decision =
      authorize(table, {allow_anonymous, key, age}, settings);
  CHECK((decision.account != nullptr) == (decision.result == access_result::account));
  return decision.result;
}

}  // namespace

TEST_CASE("A known key identifies its account on any route and with an outdated view") {
  for (const bool allow_anonymous : {false, true}) {
    CHECK(decide(allow_anonymous, "known", fresh) == access_result::account);
    CHECK(decide(allow_anonymous, "known", outdated) == access_result::account);
  }
}

TEST_CASE("A request without a key that can be known is refused or anonymous") {
  for (const milliseconds age : {fresh, outdated}) {
    for (const std::optional<std::string_view> none :
         {std::optional<std::string_view>(), std::optional<std::string_view>("")}) {
      CHECK(decide(false, none, age) == access_result::unknown_key);
      CHECK(decide(false, none, age, strict()) == access_result::unknown_key);
      CHECK(decide(true, none, age) == access_result::anonymous);
    }
  }
}

TEST_CASE("An unknown key is anonymous where the route allows it") {
  for (const milliseconds age : {fresh, outdated}) {
    CHECK(decide(true, "other", age) == access_result::anonymous);
    CHECK(decide(true, "other", age, strict()) == access_result::anonymous);
  }
}

// Guards against a 401 for a key that a version holds which this node has not seen.
TEST_CASE("An unknown key is refused for good only while the view is recent") {
  CHECK(decide(false, "other", fresh) == access_result::unknown_key);
  CHECK(decide(false, "other", milliseconds(5000)) == access_result::unknown_key);
  CHECK(decide(false, "other", milliseconds(5001)) == access_result::view_too_old);
}

// Guards against removed keys that a node which lost the store serves on, where the
// operators exclude that.
TEST_CASE("With strict revocation no key is served with an outdated view") {
  CHECK(decide(false, "known", milliseconds(1000), strict()) == access_result::account);
  CHECK(decide(false, "known", milliseconds(1001), strict()) ==
        access_result::view_too_old);
  CHECK(decide(false, "other", milliseconds(1001), strict()) ==
        access_result::view_too_old);
  CHECK(decide(true, "known", milliseconds(1001), strict()) == access_result::account);
}

// Guards against metrics that grow with each configuration that renames its accounts.
TEST_CASE("Requests are counted by account up to a number of accounts") {
  request_counts counts;
  for (std::size_t i = 0; i < request_counts::max_names + 5; ++i) {
    counts.add("a" + std::to_string(i));
  }
  counts.add("a0");
  CHECK(counts.by_name().size() == request_counts::max_names);
  CHECK(counts.by_name().at("a0") == 2);
  CHECK(counts.others() == 5);
}

}  // namespace ibis::access
