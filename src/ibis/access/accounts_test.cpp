#include "ibis/access/accounts.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <limits>            // for numeric_limits

namespace ibis::access {
namespace {

/// The table of some entries and how many warnings they caused.
struct built_table {
  account_table table;
  std::vector<std::string> warnings;
};

built_table build(const std::vector<account_entry>& entries) {
  built_table built;
  built.table = make_account_table(
      entries, [&built](const std::string& account, const char* problem) {
        built.warnings.push_back(account + ": " + problem);
      });
  return built;
}

account_entry make_entry(const std::string& name,
                         const std::vector<std::string>& keys) {
  return {{name, std::nullopt, 0, 0}, keys};
}

std::string owner_of(const account_table& table, const std::string& key) {
  const account* found = find_account(table, key);
  return found == nullptr ? "" : found->name;
}

}  // namespace

TEST_CASE("Each key of an account identifies it, and no other text does") {
  const built_table built =
      build({make_entry("first", {"k1", "k2"}), make_entry("second", {"k3"})});
  CHECK(owner_of(built.table, "k1") == "first");
  CHECK(owner_of(built.table, "k2") == "first");
  CHECK(owner_of(built.table, "k3") == "second");
  for (const char* other : {"k", "k11", "K1", " k1", "first", ""}) {
    INFO(other);
    CHECK(find_account(built.table, other) == nullptr);
  }
  CHECK(find_account_by_name(built.table, "second") != nullptr);
  CHECK(find_account_by_name(built.table, "third") == nullptr);
  CHECK(built.warnings.empty());
}

// Guards against a request that is served, and counted, for another client's account.
TEST_CASE("A key of two accounts identifies neither, also if a third one states it") {
  const built_table built =
      build({make_entry("a", {"same", "a1"}), make_entry("b", {"same", "b1"}),
             make_entry("c", {"same", "c1"})});
  CHECK(find_account(built.table, "same") == nullptr);
  CHECK(owner_of(built.table, "a1") == "a");
  CHECK(owner_of(built.table, "b1") == "b");
  CHECK(owner_of(built.table, "c1") == "c");
  CHECK(built.warnings.size() == 2);
  for (const std::string& warning : built.warnings) {
    CHECK(warning.find("same") == std::string::npos);
  }
}

TEST_CASE("A key that an account states twice stays valid") {
  CHECK(owner_of(build({make_entry("a", {"k", "k"})}).table, "k") == "a");
}

// Guards against requests without a key that are served for an account.
TEST_CASE("An empty key never matches") {
  const built_table built = build({make_entry("a", {"", "k"})});
  CHECK(find_account(built.table, "") == nullptr);
  CHECK(owner_of(built.table, "k") == "a");
  CHECK(built.warnings.size() == 1);
}

TEST_CASE("Of two accounts with a name the first counts, and the keys of both") {
  account_entry first = make_entry("a", {"k1"});
  first.value.rate_per_s = 3;
  first.value.priority = 1;
  account_entry second = make_entry("a", {"k2", "k1"});
  second.value.rate_per_s = 9;
  second.value.priority = 2;
  const built_table built = build({first, second});
  CHECK(built.table.accounts.size() == 1);
  for (const char* key : {"k1", "k2"}) {
    const account* found = find_account(built.table, key);
    REQUIRE(found != nullptr);
    CHECK(found->rate_per_s == Approx(3));
    CHECK(found->priority == 1U);
  }
}

// Guards against a limit that admits nothing, or a computation with NaN.
TEST_CASE("A rate or burst that is none is taken as 0, with a warning") {
  const double infinity = std::numeric_limits<double>::infinity();
  const double nan = std::numeric_limits<double>::quiet_NaN();
  for (const double odd : {-1.0, infinity, -infinity, nan}) {
    account_entry entry = make_entry("a", {"k"});
    entry.value.rate_per_s = odd;
    entry.value.burst = odd;
    const built_table built = build({entry});
    REQUIRE(find_account(built.table, "k") != nullptr);
    CHECK(find_account(built.table, "k")->rate_per_s == 0);
    CHECK(find_account(built.table, "k")->burst == 0);
    CHECK(built.warnings.size() == 2);
  }
}

// Guards against an account's name that adds header fields to requests to leafs, or
// that a leaf reads as another account's name.
TEST_CASE("A name that cannot stand in a header field defines no account") {
  for (const std::string& odd :
       {std::string(), std::string("a\r\nX: y"), std::string("a\nb"),
        std::string("a\0b", 3), std::string("a\x7f"), std::string("a\tb"),
        std::string(" a"), std::string("a "), std::string(257, 'a')}) {
    const built_table built = build({make_entry(odd, {"k"}), make_entry("b", {"l"})});
    CHECK(find_account(built.table, "k") == nullptr);
    CHECK(owner_of(built.table, "l") == "b");
    CHECK(built.warnings.size() == 1);
  }
  CHECK(owner_of(build({make_entry("M\xc3\xbcller & S\xc3\xb6hne", {"k"})}).table,
                 "k") == "M\xc3\xbcller & S\xc3\xb6hne");
}

}  // namespace ibis::access
