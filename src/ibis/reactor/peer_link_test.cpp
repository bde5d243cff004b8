#include "ibis/reactor/peer_link.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

namespace ibis::reactor {
namespace {

using serving::peer_reply_status;
using serving::store_topic;

/// Makes a protocol that decodes a response body as the change of a leaf with that id,
/// and fails to decode "junk".
protocol make_test_protocol() {
  protocol platform_protocol;
  platform_protocol.decode_store_response =
      [](store_topic topic, bool /*listing*/,
         const http::response& response) -> serving::event {
    if (response.body == "junk") {
      return serving::store_call_failed{};
    }
    serving::topic_changed changed;
    changed.topic = topic;
    changed.leafs.push_back({response.body, std::nullopt});
    return changed;
  };
  return platform_protocol;
}

/// A node that replies to queries of peers with preset texts and stores the last reply
/// that it received.
struct test_peer {
  test_peer(asio::io_context& io, const std::string& name,
            const protocol& platform_protocol)
      : link(io, name, platform_protocol,
             [this](serving::event value) { handle_event(value); }) {}

  void handle_event(const serving::event& value) {
    if (const auto* query = std::get_if<serving::peer_query_received>(&value)) {
      link.send_reply(
          {query->node, query->topic, query->serial, peer_reply_status::changes,
           serving::store_revision{query->revision.era, query->revision.number + 1},
           texts});
    }
    if (const auto* reply = std::get_if<serving::peer_replied>(&value)) {
      received = *reply;
    }
  }

  peer_link link;
  std::vector<std::shared_ptr<const std::string>> texts;
  std::optional<serving::peer_replied> received;
};

std::shared_ptr<const std::string> text(const char* value) {
  return std::make_shared<const std::string>(value);
}

serving::peer_replied send_query(asio::io_context& io, test_peer& from,
                                 const std::string& address) {
  from.received.reset();
  from.link.send_query({{"watcher", address, "z"}, store_topic::leafs, 7, {3, 41}});
  while (!from.received) {
    io.run_one();
  }
  return *from.received;
}

TEST_CASE("A node that queries a peer receives the store's changes in order") {
  const protocol platform_protocol = make_test_protocol();
  asio::io_context io;
  test_peer watcher(io, "watcher", platform_protocol);
  test_peer follower(io, "follower", platform_protocol);
  const std::string address = watcher.link.listen("127.0.0.1:0").value();
  watcher.texts = {text("a"), text("b")};
  const serving::peer_replied received = send_query(io, follower, address);
  CHECK(received.node == "watcher");
  CHECK(received.serial == 7);
  CHECK(received.kind == peer_reply_status::changes);
  CHECK(received.update.topic == store_topic::leafs);
  CHECK(received.update.revision == serving::store_revision{3, 42});
  REQUIRE(received.update.leafs.size() == 2);
  CHECK(received.update.leafs[0].id == "a");
  CHECK(received.update.leafs[1].id == "b");
}

TEST_CASE(
    "A peer that cannot be reached or whose reply cannot be decoded is unreachable") {
  const protocol platform_protocol = make_test_protocol();
  asio::io_context io;
  test_peer watcher(io, "watcher", platform_protocol);
  test_peer follower(io, "follower", platform_protocol);
  const std::string address = watcher.link.listen("127.0.0.1:0").value();
  watcher.texts = {text("a"), text("junk")};
  CHECK(send_query(io, follower, address).kind == peer_reply_status::unreachable);
  test_peer other(io, "other", platform_protocol);
  CHECK(send_query(io, other, "no address").kind == peer_reply_status::unreachable);
}

}  // namespace
}  // namespace ibis::reactor
