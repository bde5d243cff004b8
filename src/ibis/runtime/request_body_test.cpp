#include "ibis/runtime/request_body.hpp"

#include <catch2/catch.hpp>   // for TEST_CASE, CHECK
#include <nlohmann/json.hpp>  // for json
#include <random>             // for mt19937_64

namespace ibis::runtime {
namespace {

struct invalid_request_case {
  std::string name;
  request_headers headers;
  std::string body;
  int status;
  std::string field;
};

TEST_CASE("The error of an invalid query names the field at fault") {
  const std::string valid_body = R"({"query": "a", "limit": 5})";
  const std::vector<invalid_request_case> table{
      {"not JSON", {}, "{", 400, "body"},
      {"empty", {}, "", 400, "body"},
      {"a list", {}, "[]", 400, "body"},
      {"no query", {}, "{}", 422, "query"},
      {"an empty query", {}, R"({"query": ""})", 422, "query"},
      {"a number as query", {}, R"({"query": 5})", 422, "query"},
      {"a long query",
       {},
       "{\"query\": \"" + std::string(5000, 'x') + "\"}",
       422,
       "query"},
      {"limit 0", {}, R"({"query": "a", "limit": 0})", 422, "limit"},
      {"negative limit", {}, R"({"query": "a", "limit": -1})", 422, "limit"},
      {"limit too high", {}, R"({"query": "a", "limit": 1001})", 422, "limit"},
      {"limit as text", {}, R"({"query": "a", "limit": "5"})", 422, "limit"},
      {"limit as fraction", {}, R"({"query": "a", "limit": 1.5})", 422, "limit"},
      {"an unknown field", {}, R"({"query": "a", "offset": 1})", 422, "offset"},
      {"timeout 0", {"0", {}, {}, {}}, valid_body, 400, "Ibis-Timeout-Ms"},
      {"negative timeout", {"-5", {}, {}, {}}, valid_body, 400, "Ibis-Timeout-Ms"},
      {"timeout out of range",
       {"99999999999999999999", {}, {}, {}},
       valid_body,
       400,
       "Ibis-Timeout-Ms"},
      {"timeout with a unit", {"5s", {}, {}, {}}, valid_body, 400, "Ibis-Timeout-Ms"},
      {"empty timeout", {"", {}, {}, {}}, valid_body, 400, "Ibis-Timeout-Ms"},
      {"empty tenant", {{}, "", {}, {}}, valid_body, 400, "Ibis-Tenant"},
      {"tenant with a line break",
       {{}, "a\nb", {}, {}},
       valid_body,
       400,
       "Ibis-Tenant"},
      {"tenant too long",
       {{}, std::string(65, 'a'), {}, {}},
       valid_body,
       400,
       "Ibis-Tenant"},
      {"unknown class", {{}, {}, "urgent", {}}, valid_body, 400, "Ibis-Class"},
  };
  for (const invalid_request_case& item : table) {
    INFO(item.name);
    const auto parsed = parse_query("s", item.headers, item.body);
    const auto* error = std::get_if<request_error>(&parsed);
    REQUIRE(error != nullptr);
    CHECK(error->status == item.status);
    CHECK(error->field == item.field);
    CHECK_FALSE(error->detail.empty());
  }
}

TEST_CASE("All parts of a valid query are parsed") {
  const auto parsed = parse_query("search", {"250", "chladivo", "interactive", {}},
                                  R"({"query": "R600a", "limit": 7})");
  const auto& event = std::get<policy::query_received>(parsed);
  CHECK(event.service == "search");
  CHECK(event.text == "R600a");
  CHECK(event.limit == 7);
  CHECK(event.tenant == "chladivo");
  CHECK(event.priority == wire::priority::interactive);
  CHECK(event.timeout == base::milliseconds(250));
}

TEST_CASE("A submit needs an idempotency key, a shard key and a JSON object") {
  const request_headers keyed{{}, {}, {}, "0190a1b2-c3d4-7e5f-8a6b-112233445566"};
  const std::string valid_body = R"({"shard_key": "k", "document": {"a": 1}})";
  CHECK(std::get<policy::submit_received>(parse_submit("s", keyed, valid_body))
            .document == R"({"a":1})");
  CHECK(std::get<request_error>(parse_submit("s", {}, valid_body)).field ==
        "Idempotency-Key");
  CHECK(
      std::get<request_error>(parse_submit("s", keyed, R"({"document": {}})")).field ==
      "shard_key");
  CHECK(std::get<request_error>(
            parse_submit("s", keyed, R"({"shard_key": "k", "document": []})"))
            .field == "document");
}

TEST_CASE("The HTTP status and body of an answer depend on its outcome") {
  policy::answer value;
  value.outcome = policy::outcome::partial;
  value.index_version = 3;
  value.total = 2;
  value.covered = 1;
  value.missing = {{1, wire::missing_reason::lost}};
  value.hits = {{"a", 0.5, 0, R"({"x":1})"}};
  CHECK(status_of(value) == 200);
  const auto body = nlohmann::json::parse(write_answer(value));
  CHECK(body["outcome"] == "partial");
  CHECK(body["coverage"]["missing"][0]["reason"] == "lost");
  CHECK(body["hits"][0]["record"]["x"] == 1);
  value.outcome = policy::outcome::not_run;
  CHECK(status_of(value) == 503);
  value.outcome = policy::outcome::unknown;
  CHECK(status_of(value) == 504);
}

TEST_CASE("Randomly damaged bodies are parsed or rejected without a crash") {
  std::mt19937_64 random(5);
  const std::string valid_body =
      R"({"query": "a\u00e9\"b", "limit": 5, "x": [1, {"y": null}]})";
  for (int round = 0; round < 20000; ++round) {
    std::string body = valid_body.substr(0, random() % (valid_body.size() + 1));
    for (auto mutations = random() % 4; mutations > 0 && !body.empty(); --mutations) {
      body[random() % body.size()] = static_cast<char>(random());
    }
    const auto query = parse_query("s", {}, body);
    if (const auto* error = std::get_if<request_error>(&query)) {
      CHECK_FALSE(write_problem(*error).empty());
    }
    parse_submit("s", {{}, {}, {}, body}, body);
  }
}

}  // namespace
}  // namespace ibis::runtime
