#include "ibis/reactor/node_log.hpp"

#include <catch2/catch.hpp>   // for TEST_CASE, CHECK
#include <nlohmann/json.hpp>  // for json

namespace ibis::reactor {

// Guards against log lines that are no JSON, or show other things than they should,
// because of the characters in a name.
TEST_CASE("Any node name and value is a JSON string in a log line") {
  for (const std::string name :
       {"front-1", "a\"b", "%v%n%t", "x\n\\", "\xff\xc3\xa9"}) {
    const auto line = nlohmann::json::parse(
        '{' +
            format_log_members(name,
                               {"tested", false, {{"value", name}, {"none", ""}}}) +
            '}',
        nullptr, false);
    REQUIRE_FALSE(line.is_discarded());
    CHECK(line.size() == 3);
    CHECK(line["event"] == "tested");
    CHECK(line["node"] == line["value"]);
  }
  CHECK(format_log_members("%v", {"tested", false, {}}) ==
        R"("node":"%v","event":"tested")");
}

}  // namespace ibis::reactor
