#include "ibis/policy/probe_order.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <set>               // for set

namespace ibis::policy {
namespace {

probe_order make_order(std::size_t members) {
  probe_order order;
  for (std::size_t i = 0; i < members; ++i) {
    order.add("self", "n" + std::to_string(i));
  }
  return order;
}

}  // namespace

TEST_CASE("Each round visits all members once") {
  std::mt19937_64 random(1);
  probe_order order = make_order(9);
  for (int round = 0; round < 5; ++round) {
    std::set<std::string> visited;
    for (std::size_t i = 0; i < order.size(); ++i) {
      visited.insert(*order.next(random));
    }
    CHECK(visited.size() == 9);
  }
  probe_order none;
  CHECK_FALSE(none.next(random));
}

// Guards against a member that is not probed in a round because another one was
// removed: its failure would be noticed a round later.
TEST_CASE("A member that is removed makes no other one miss its round") {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    INFO(seed);
    std::mt19937_64 random(seed);
    probe_order order = make_order(9);
    std::set<std::string> visited;
    for (int i = 0; i < 4; ++i) {
      visited.insert(*order.next(random));
    }
    const std::string removed = "n" + std::to_string(seed % 9);
    order.remove(removed);
    order.remove("unknown");
    visited.erase(removed);
    while (visited.size() < 8) {
      const std::size_t before = visited.size();
      visited.insert(*order.next(random));
      REQUIRE(visited.size() == before + 1);
    }
  }
}

}  // namespace ibis::policy
