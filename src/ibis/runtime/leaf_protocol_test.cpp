#include "ibis/runtime/leaf_protocol.hpp"

#include <catch2/catch.hpp>   // for TEST_CASE, CHECK
#include <nlohmann/json.hpp>  // for json

namespace ibis::runtime {
namespace {

using policy::leaf_outcome;

TEST_CASE("A search request contains all fields of the interface") {
  policy::send_leaf_request request;
  request.attempt = {7};
  request.service = "search";
  request.index_version = 3;
  request.partition_epoch = 2;
  request.shards = {4, 5};
  request.query = "a \"b\"";
  request.limit = 9;
  request.budget = std::chrono::milliseconds(50);
  const auto body = nlohmann::json::parse(write_leaf_request(request));
  CHECK(body["attempt"] == 7);
  CHECK(body["index_version"] == 3);
  CHECK(body["partition_epoch"] == 2);
  CHECK(body["shards"] == std::vector<int>{4, 5});
  CHECK(body["query"] == "a \"b\"");
  CHECK(body["deadline_ms"] == 50.0);
}

struct reply_case {
  int status;
  std::string body;
  bool valid;
  leaf_outcome outcome;
};

TEST_CASE("Replies of leafs are decoded, and invalid ones are rejected") {
  const std::vector<reply_case> table{
      {200,
       R"({"attempt": 7, "index_version": 3, "shards": [4], "hits": [{"id": "x",
           "score": 0.5, "shard": 4, "record": {}}]})",
       true, leaf_outcome::answered},
      {200, R"({"attempt": 8, "index_version": 3, "shards": [4]})", false, {}},
      {200, R"({"attempt": 7, "index_version": 3})", false, {}},
      {200, R"({"attempt": 7, "shards": "all"})", false, {}},
      {200, R"({"attempt": 7, "shards": [4], "hits": [{"id": 1}]})", false, {}},
      {200, "", false, {}},
      {200, "[]", false, {}},
      {429, R"({"attempt": 7, "refused": "shed"})", true, leaf_outcome::shed},
      {503, R"({"attempt": 7, "refused": "draining"})", true, leaf_outcome::draining},
      {409, R"({"attempt": 7, "refused": "version_gone"})", true,
       leaf_outcome::version_gone},
      {410, R"({"attempt": 7, "refused": "moved"})", true, leaf_outcome::moved},
      {499, R"({"attempt": 7, "refused": "cancelled"})", true, leaf_outcome::cancelled},
      {503, R"({"attempt": 7, "refused": "tired"})", false, {}},
      {503, "Service Unavailable", false, {}},
      {500, R"({"attempt": 7})", false, {}},
  };
  for (const reply_case& item : table) {
    INFO(item.status << ' ' << item.body);
    const auto read = read_leaf_reply({7}, item.status, item.body);
    REQUIRE(read.has_value() == item.valid);
    if (item.valid) {
      CHECK(read.value().outcome == item.outcome);
    }
  }
}

}  // namespace
}  // namespace ibis::runtime
