#include "ibis/serving/node.hpp"

#include <algorithm>         // for any_of
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

namespace ibis::serving {
namespace {

using std::chrono::seconds;

constexpr base::time_point start_time{std::chrono::hours(1)};

bool writes_record(const effects& out) {
  return std::any_of(out.begin(), out.end(), [](const effect& value) {
    return std::holds_alternative<register_node>(value);
  });
}

nodes_counted make_count(bool self) {
  return {2, self, {{"other", "10.0.0.2:1", "zone"}}, ""};
}

}  // namespace

// Guards against a node that no other counts: its first count after a restart may be
// older than the removal of its record at the stop, and still have it.
TEST_CASE("A node whose record was only in an outdated count writes it again") {
  node_state node = make_node({}, 1);
  start(node, start_time);
  CHECK_FALSE(writes_record(reduce(node, make_count(true), start_time)));
  CHECK(writes_record(reduce(node, make_count(false), start_time + seconds(3))));
}

// Guards against a node that no other counts since the store refused to write its
// record.
TEST_CASE("A node whose record is missing long after it was written writes it again") {
  node_state node = make_node({}, 1);
  start(node, start_time);
  CHECK(writes_record(reduce(node, make_count(false), start_time)));
  // This count may be older than the record.
  CHECK_FALSE(writes_record(reduce(node, make_count(false), start_time + seconds(3))));
  CHECK(writes_record(reduce(node, make_count(false), start_time + seconds(13))));
  CHECK_FALSE(writes_record(reduce(node, make_count(true), start_time + seconds(23))));
  reduce(node, stop_requested{}, start_time + seconds(24));
  CHECK_FALSE(writes_record(reduce(node, make_count(false), start_time + seconds(33))));
}

}  // namespace ibis::serving
