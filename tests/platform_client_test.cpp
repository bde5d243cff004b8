#include "ibis/runtime/platform_client.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <string>            // for string
#include <vector>            // for vector

#include "http_host.hpp"        // for http_host
#include "platform_server.hpp"  // for platform_server

namespace ibis::tests {
namespace {

using policy::platform_outcome;
using policy::platform_verb;

policy::platform_replied call(const std::string& address, platform_verb verb,
                              const std::string& key, const std::string& value = "") {
  policy::call_platform request;
  request.verb = verb;
  request.key = key;
  request.value = value;
  request.timeout = std::chrono::seconds(5);
  return runtime::call_platform_sync(address, request);
}

}  // namespace

TEST_CASE("Objects are found and listed under keys with any characters") {
  standins::platform_server platform;
  const std::string address = platform.start("127.0.0.1", 0).value();
  const std::vector<std::string> tails{"&limit=0", "+1", "#1",       "%41", " 1",
                                       "\r\nX: 1", "?=", "\xc3\xa9", "1"};
  for (const std::string& tail : tails) {
    INFO(tail);
    const std::string key = "odd" + tail;
    CHECK(call(address, platform_verb::put, key, "v").outcome == platform_outcome::ok);
    const auto found = call(address, platform_verb::get, key);
    REQUIRE(found.objects.size() == 1);
    CHECK(found.objects.front().key == key);
    const auto listed = call(address, platform_verb::list, key);
    REQUIRE(listed.objects.size() == 1);
    CHECK(listed.objects.front().key == key);
  }
  CHECK(call(address, platform_verb::list, "odd").objects.size() == tails.size());
}

// Guards against a listing that counts as unavailable because of one entry.
TEST_CASE("An entry of a listing that cannot be read hides no other") {
  standins::http_host host(2);
  std::string odd;
  host.server.Get(
      "/v1/list", [&odd](const httplib::Request&, httplib::Response& response) {
        response.set_content(R"([{"key":"a","version":1,"value":"x"},)" + odd +
                                 R"(,{"key":"b","version":2,"value":"y"}])",
                             "application/json");
      });
  const std::string address = host.start("127.0.0.1", 0).value();
  for (const char* text :
       {"7", "null", "[]", "{}", R"({"key":7,"version":1,"value":"x"})",
        R"({"key":"c","value":"x"})", R"({"key":"c","version":"1","value":"x"})",
        R"({"key":"c","version":-1,"value":"x"})",
        R"({"key":"c","version":1.5,"value":"x"})",
        R"({"key":"c","version":1,"value":{}})"}) {
    INFO(text);
    odd = text;
    const auto listed = call(address, platform_verb::list, "");
    CHECK(listed.outcome == platform_outcome::ok);
    REQUIRE(listed.objects.size() == 2);
    CHECK(listed.objects.front().key == "a");
    CHECK(listed.objects.back().key == "b");
  }
}

}  // namespace ibis::tests
