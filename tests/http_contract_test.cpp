#include <httplib.h>  // for Client

#include <catch2/catch.hpp>   // for TEST_CASE, CHECK
#include <nlohmann/json.hpp>  // for json

#include "ibis/base/uuid.hpp"        // for make_uuid_v7
#include "ibis/runtime/address.hpp"  // for parse_address
#include "in_process_tier.hpp"       // for in_process_tier

namespace ibis::tests {
namespace {

using nlohmann::json;
using standins::in_process_tier;

constexpr const char* json_type = "application/json";
constexpr const char* query_path = "/v1/services/search/query";

httplib::Client make_client(const std::string& address) {
  const auto target = runtime::parse_address(address).value();
  return httplib::Client(target.ip, target.port);
}

TEST_CASE("A query over real sockets returns the hits of the leaf's data") {
  const in_process_tier tier;
  auto client = make_client(tier.entry->http_address);
  const auto reply =
      client.Post(query_path, R"({"query": "R600a", "limit": 7})", json_type);
  REQUIRE(reply);
  CHECK(reply->status == 200);
  const json answer = json::parse(reply->body);
  CHECK(answer["outcome"] == "complete");
  CHECK(answer["coverage"]["covered"] == 4);
  const auto expected =
      standins::search(tier.data, {0, 1, 2, 3}, "R600a", answer["index_version"], 7);
  REQUIRE(answer["hits"].size() == expected.size());
  for (std::size_t i = 0; i < expected.size(); ++i) {
    CHECK(answer["hits"][i]["id"] == expected[i].id);
  }
}

struct invalid_call_case {
  std::string name;
  std::string path;
  httplib::Headers headers;
  std::string body;
  int status;
  std::string field;
};

TEST_CASE(
    "An invalid request gets a problem that names the field, and the next request "
    "works") {
  const in_process_tier tier;
  auto client = make_client(tier.entry->http_address);
  const std::string good = R"({"query": "R600a"})";
  const std::vector<invalid_call_case> table{
      {"broken JSON", query_path, {}, "{", 400, "body"},
      {"a wrong type", query_path, {}, R"({"query": 1})", 422, "query"},
      {"an invalid timeout",
       query_path,
       {{"Ibis-Timeout-Ms", "1e9"}},
       good,
       400,
       "Ibis-Timeout-Ms"},
      {"a timeout above the service's maximum",
       query_path,
       {{"Ibis-Timeout-Ms", "200000"}},
       good,
       400,
       "Ibis-Timeout-Ms"},
      {"an unknown service", "/v1/services/nothing/query", {}, good, 404, "service"},
      {"an unknown path", "/v2/query", {}, good, 404, "request"},
      {"a body that is too large",
       query_path,
       {},
       std::string(300 * 1024, ' '),
       413,
       "request"},
      {"a submit to a service that takes queries only",
       "/v1/services/search/submit",
       {{"Idempotency-Key", base::make_uuid_v7(base::unix_now(), 1, 1)}},
       R"({"shard_key": "a", "document": {}})",
       422,
       "service"},
      {"a submit without a key",
       "/v1/services/store/submit",
       {},
       R"({"shard_key": "a", "document": {}})",
       400,
       "Idempotency-Key"},
  };
  for (const invalid_call_case& item : table) {
    INFO(item.name);
    const auto reply = client.Post(item.path, item.headers, item.body, json_type);
    REQUIRE(reply);
    CHECK(reply->status == item.status);
    CHECK(reply->get_header_value("Content-Type") == "application/problem+json");
    CHECK(json::parse(reply->body)["field"] == item.field);
  }
  CHECK(client.Post(query_path, good, json_type)->status == 200);
}

TEST_CASE("A submit runs once, and repeating it returns the recorded result") {
  const in_process_tier tier;
  auto client = make_client(tier.entry->http_address);
  const std::string key = base::make_uuid_v7(base::unix_now(), 7, 7);
  const httplib::Headers headers{{"Idempotency-Key", key}};
  const std::string body = R"({"shard_key": "CYL-1", "document": {"grams": 120}})";
  const auto first = client.Post("/v1/services/store/submit", headers, body, json_type);
  const auto second =
      client.Post("/v1/services/store/submit", headers, body, json_type);
  REQUIRE(first);
  REQUIRE(second);
  CHECK(json::parse(first->body)["outcome"] == "complete");
  CHECK(json::parse(second->body)["result"] == json::parse(first->body)["result"]);
  CHECK(tier.store_leaf->runs().at(key) == 1);
}

TEST_CASE("A submit whose reply is lost has the outcome unknown and is not run again") {
  const in_process_tier tier;
  auto faults = tier.store_leaf->faults();
  faults.lose_submit_replies = true;
  tier.store_leaf->set_faults(faults);
  auto client = make_client(tier.entry->http_address);
  const std::string key = base::make_uuid_v7(base::unix_now(), 8, 8);
  const httplib::Headers headers{{"Idempotency-Key", key}};
  const std::string body = R"({"shard_key": "CYL-1", "document": {"grams": 120}})";
  for (int round = 0; round < 2; ++round) {
    const auto reply =
        client.Post("/v1/services/store/submit", headers, body, json_type);
    REQUIRE(reply);
    CHECK(json::parse(reply->body)["outcome"] == "unknown");
  }
  CHECK(tier.store_leaf->runs().at(key) == 1);
}

TEST_CASE("The operator endpoints respond, and a graceful stop aborts no request") {
  const in_process_tier tier;
  auto client = make_client(tier.entry->http_address);
  CHECK(client.Get("/healthz")->status == 200);
  CHECK(client.Get("/readyz")->status == 200);
  const auto metrics = client.Get("/metrics");
  CHECK(metrics->body.find("ibis_answer_latency_ms_bucket{tenant=\"anonymous\"") !=
        std::string::npos);
  const json status = json::parse(client.Get("/v1/status")->body);
  CHECK(status["generation"] == 1);
  CHECK(status["members"].size() == 2);
  CHECK(tier.entry->stop_gracefully() == 0);
}

}  // namespace
}  // namespace ibis::tests
