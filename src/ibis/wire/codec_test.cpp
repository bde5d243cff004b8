#include "ibis/wire/codec.hpp"

#include <algorithm>         // for min
#include <array>             // for array
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <random>            // for mt19937_64

namespace ibis::wire {
namespace {

std::span<const std::uint8_t> body_of(const std::string& frame) {
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  return {reinterpret_cast<const std::uint8_t*>(frame.data()) + header_size,
          frame.size() - header_size};
}

message round_trip(const message& value) {
  auto decoded = decode_body(body_of(encode(value)));
  REQUIRE(decoded);
  return decoded.value();
}

block_request sample_request() {
  block_request request;
  request.call = {42};
  request.kind = request_kind::submit;
  request.service = "custody-desk";
  request.partition_epoch = 3;
  request.index_version = 17;
  request.block = 2;
  request.groups = {16, 17, 23};
  request.query = "R600a \"cyclopentane\"";
  request.limit = 10;
  request.priority = priority::interactive;
  request.tenant = "chladivo";
  request.budget = base::microseconds(95000);
  request.early_reply = base::microseconds(55000);
  request.idempotency_key = "0190a1b2-c3d4-7e5f-8a6b-112233445566";
  request.shard = 9;
  return request;
}

block_reply sample_reply() {
  block_reply reply;
  reply.call = {42};
  reply.final = false;
  reply.index_version = 17;
  reply.covered = {1, 2, 3};
  reply.missing = {{4, missing_reason::draining}, {5, missing_reason::no_holder}};
  reply.hits = {{"CZ-1", 0.5, 1, "{}"}, {"CZ-2", 0.25, 2, R"({"a":"b"})"}};
  reply.versions = {{16, 15, 17}};
  reply.may_have_run = 1;
  reply.attempts = 4;
  reply.hedges = 2;
  reply.retries = 3;
  reply.result = "{\"stored\":true}";
  return reply;
}

shards_request sample_shards_request() {
  shards_request request;
  request.call = {7};
  request.route = "query";
  request.method = "GET";
  request.target = "/q/1?a=b";
  request.host = "h.example";
  request.request_id = "9c41";
  request.head = "GET /q/1?a=b HTTP/1.1\r\n";
  request.body = std::string("x\0y", 3);
  request.shards = {"s0", "s1"};
  request.top = 50;
  request.min_shard_share = 0.95;
  request.max_leafs = 2;
  request.priority = 1;
  request.objective = base::microseconds(150000);
  request.progress = base::microseconds(50000);
  request.reply = base::microseconds(130000);
  request.remaining = base::microseconds(800000);
  request.sent_at = base::microseconds(123456789);
  request.sent_before = 2;
  request.account = "north-desk";
  request.allowed_leafs = {{17, 4000000000U}, {}};
  return request;
}

shards_reply sample_shards_reply() {
  return {{7},
          false,
          true,
          {{0, "3e1b.07"}},
          {{1, true}},
          std::string("a\0b", 3),
          {{"i-7", base::milliseconds(5)}}};
}

TEST_CASE("Messages are unchanged after encoding and decoding") {
  CHECK(std::get<block_request>(round_trip(sample_request())) == sample_request());
  CHECK(std::get<block_reply>(round_trip(sample_reply())) == sample_reply());
  const member record{"a/relay",
                      "a",
                      "praha-a",
                      "relay",
                      "10.0.0.1:7101",
                      "10.0.0.1:7181",
                      7,
                      member_status::leaving};
  const auto decoded = std::get<probe>(round_trip(probe{5, "b/entry", 9, {record}}));
  CHECK(decoded.sequence == 5);
  CHECK(decoded.generation == 9);
  CHECK(decoded.updates == std::vector<member>{record});
  const auto parts =
      std::get<part_reply>(round_trip(part_reply{{{"abc", std::string("x\0y", 3)}}}));
  CHECK(parts.parts.front().bytes.size() == 3);
  const shards_request shards = sample_shards_request();
  CHECK(std::get<shards_request>(round_trip(shards)) == shards);
  const shards_reply shards_answer = sample_shards_reply();
  CHECK(std::get<shards_reply>(round_trip(shards_answer)) == shards_answer);
  const quota_request tokens{"north-desk", 1ULL << 62U, 1, 5, 2, 3, 41, 4, 9};
  CHECK(std::get<quota_request>(round_trip(tokens)) == tokens);
  const quota_grant grant{
      "north-desk", 8,    5,   base::milliseconds(600), base::milliseconds(70), 9,
      "n-4",        true, true};
  CHECK(std::get<quota_grant>(round_trip(grant)) == grant);
  const topic_watch watch{3, 1, 77, 5};
  CHECK(std::get<topic_watch>(round_trip(watch)) == watch);
  const topic_news news{
      3, 1, 2, 79, {"{}", std::string("a\0b", 3)}, base::milliseconds(1700), 5};
  CHECK(std::get<topic_news>(round_trip(news)) == news);
}

std::vector<std::uint8_t> bytes_of(const std::vector<message>& messages) {
  std::vector<std::uint8_t> bytes;
  for (const message& value : messages) {
    const std::string frame = encode(value);
    bytes.insert(bytes.end(), frame.begin(), frame.end());
  }
  return bytes;
}

TEST_CASE("Frames are taken from received bytes however these are split") {
  const std::vector<std::uint8_t> all =
      bytes_of({sample_shards_request(), sample_reply(), topic_watch{3, 1, 77}});
  for (const std::size_t step : {std::size_t{1}, std::size_t{7}, all.size()}) {
    std::vector<std::uint8_t> input;
    std::vector<message> messages;
    for (std::size_t at = 0; at < all.size(); at += step) {
      const auto first = all.begin() + static_cast<std::ptrdiff_t>(at);
      const std::size_t size = std::min(step, all.size() - at);
      input.insert(input.end(), first, first + static_cast<std::ptrdiff_t>(size));
      CHECK_FALSE(take_frames(input, messages));
    }
    REQUIRE(messages.size() == 3);
    CHECK(std::get<shards_request>(messages[0]) == sample_shards_request());
    CHECK(std::get<block_reply>(messages[1]) == sample_reply());
    CHECK(input.empty());
  }
}

TEST_CASE(
    "Messages before a malformed frame are kept, and a false length is an error") {
  std::vector<std::uint8_t> input = bytes_of({topic_watch{3, 1, 77}});
  input.insert(input.end(), {0xff, 0xff, 0xff, 0x7f, protocol_version});
  std::vector<message> messages;
  const auto failure = take_frames(input, messages);
  REQUIRE(failure);
  CHECK(failure->code == base::error_code::too_large);
  CHECK(messages.size() == 1);
}

TEST_CASE("A request for shards that was cancelled while it waited is not handled") {
  shards_request other = sample_shards_request();
  other.call = {8};
  std::vector<message> messages{block_cancel{{9}}, sample_shards_request(), other,
                                block_cancel{{7}}};
  remove_cancelled(messages);
  REQUIRE(messages.size() == 2);
  CHECK(std::get<block_cancel>(messages[0]).call.value == 9);
  CHECK(std::get<shards_request>(messages[1]).call.value == 8);
}

TEST_CASE("A header with another protocol version or an excessive size is refused") {
  std::array<std::uint8_t, header_size> header{4, 0, 0, 0, protocol_version};
  CHECK(decode_header(header).value() == 4);
  header[4] = protocol_version + 1;
  CHECK(decode_header(header).error().code == base::error_code::protocol);
  header = {0, 0, 0, 0x7f, protocol_version};
  CHECK(decode_header(header).error().code == base::error_code::too_large);
}

TEST_CASE("Truncated and corrupted frames are refused or decoded, but never crash") {
  std::mt19937_64 random(11);
  const std::array<std::string, 3> frames{encode(sample_reply()),
                                          encode(sample_shards_request()),
                                          encode(sample_shards_reply())};
  for (int round = 0; round < 60000; ++round) {
    const std::string& frame = frames[static_cast<std::size_t>(round) % frames.size()];
    std::string corrupted =
        frame.substr(0, header_size + random() % (frame.size() - 4));
    if (corrupted.size() <= header_size) {
      continue;
    }
    for (std::uint64_t flips = random() % 4; flips > 0; --flips) {
      corrupted[header_size + random() % (corrupted.size() - header_size)] ^=
          static_cast<char>(1U << (random() % 8));
    }
    const auto decoded = decode_body(body_of(corrupted));
    if (decoded) {
      CHECK_FALSE(encode(decoded.value()).empty());
    }
  }
}

}  // namespace
}  // namespace ibis::wire
