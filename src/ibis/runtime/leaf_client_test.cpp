#include "ibis/runtime/leaf_client.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <variant>           // for holds_alternative

#include "endless_leaf.hpp"          // for endless_answers, endless_leaf
#include "ibis/runtime/address.hpp"  // for to_text

namespace ibis::runtime {
namespace {

/// What a leaf may send before its connection must be closed: the 8 MB that a relay can
/// pass on, and what sockets hold.
constexpr std::size_t tolerated_bytes = 64UL * 1024 * 1024;

}  // namespace

// Guards against a leaf that sends bytes without end: a relay that keeps them all runs
// out of memory, and the requests of all its callers end with it.
TEST_CASE("A leaf whose status has no end is given up") {
  constexpr std::chrono::minutes limit{1};
  for (const tests::endless_answer& answer : tests::endless_answers()) {
    asio::io_context io;
    tests::endless_leaf leaf(io, answer);
    bool failed = false;
    leaf_client client(
        io,
        [&failed](const policy::event& event) {
          failed = failed || std::holds_alternative<policy::connection_failed>(event);
        },
        leaf_limits{limit, limit});
    client.open({base::connection_id{1}, "leaf", to_text(leaf.endpoint())});
    io.run();
    INFO(answer.name);
    CHECK(failed);
    CHECK(leaf.sent_bytes() < tolerated_bytes);
  }
}

}  // namespace ibis::runtime
