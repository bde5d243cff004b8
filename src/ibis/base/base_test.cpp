#include <catch2/catch.hpp>  // for TEST_CASE, REQUIRE
#include <map>               // for map

#include "ibis/base/error.hpp"       // for describe
#include "ibis/base/hash.hpp"        // for content_hash
#include "ibis/base/rendezvous.hpp"  // for rendezvous_owners
#include "ibis/base/time.hpp"        // for clock

namespace ibis::base {
namespace {

std::vector<std::string> make_names(int count) {
  std::vector<std::string> all;
  for (int i = 0; i < count; ++i) {
    all.push_back("vm-" + std::to_string(i));
  }
  return all;
}

TEST_CASE("A paused clock changes only when it is advanced") {
  clock::pause();
  const time_point before = clock::now();
  clock::advance(seconds(3));
  CHECK(clock::now() - before == seconds(3));
  clock::resume();
  CHECK(clock::now() >= before + seconds(3));
}

TEST_CASE("An error description contains step, peer, code and detail") {
  const error value{error_code::timeout, "read reply", "10.0.0.1:80", "after 5 ms"};
  CHECK(describe(value) == "read reply (10.0.0.1:80): timeout: after 5 ms");
}

TEST_CASE("A content hash depends on every byte") {
  CHECK(content_hash("abc").size() == 32);
  CHECK(content_hash("abc") != content_hash("abd"));
}

TEST_CASE("Removing a node moves only the keys that it owned") {
  const auto before = make_names(10);
  auto after = before;
  after.erase(after.begin() + 4);
  int moved = 0;
  for (int key = 0; key < 1000; ++key) {
    const std::string name = "block-" + std::to_string(key);
    const auto old_owner = rendezvous_owners(name, before, 1).front();
    const auto new_owner = rendezvous_owners(name, after, 1).front();
    if (old_owner == "vm-4") {
      ++moved;
      continue;
    }
    REQUIRE(old_owner == new_owner);
  }
  CHECK(moved > 50);
  CHECK(moved < 200);
}

TEST_CASE("Keys are distributed evenly over nodes") {
  std::map<std::string, int> keys_by_node;
  for (int key = 0; key < 7000; ++key) {
    ++keys_by_node[rendezvous_owners("key-" + std::to_string(key), make_names(7), 1)
                       .front()];
  }
  for (const auto& [name, count] : keys_by_node) {
    INFO(name);
    CHECK(count > 800);
    CHECK(count < 1200);
  }
}

}  // namespace
}  // namespace ibis::base
