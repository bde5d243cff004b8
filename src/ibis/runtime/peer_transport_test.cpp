#include "ibis/runtime/peer_transport.hpp"

#include <asio/io_context.hpp>  // for io_context
#include <asio/ip/tcp.hpp>      // for tcp
#include <asio/write.hpp>       // for write
#include <catch2/catch.hpp>     // for TEST_CASE, CHECK

#include "ibis/base/time.hpp"             // for clock
#include "ibis/runtime/address.hpp"       // for to_endpoint
#include "ibis/runtime/steady_timer.hpp"  // for steady_timer
#include "ibis/wire/codec.hpp"            // for encode

namespace ibis::runtime {
namespace {

using asio::ip::tcp;

/// A transport whose callbacks record their arguments.
struct recording_node {
  std::vector<std::pair<std::string, wire::message>> messages;
  std::vector<std::string> undeliverable;
  std::vector<std::string> lost;
  std::vector<base::error> errors;
  std::unique_ptr<peer_transport> transport;
  std::string address;

  recording_node(asio::io_context& io, const std::string& name) {
    peer_hooks hooks{[this](const std::string& node, wire::message body) {
                       messages.emplace_back(node, std::move(body));
                     },
                     [this](const std::string& node, const wire::message&) {
                       undeliverable.push_back(node);
                     },
                     [this](const std::string& node) { lost.push_back(node); },
                     [this](const base::error& problem) { errors.push_back(problem); }};
    transport = std::make_unique<peer_transport>(
        io, wire::hello{name, name, "zone", "relay", "", wire::channel::data},
        std::move(hooks));
    address = transport->listen("127.0.0.1:0").value();
  }
};

/// Runs the context until the condition is true, for at most 10 s.
/// @return Whether the condition became true.
template <typename Condition>
bool run_until(asio::io_context& io, const Condition& condition) {
  constexpr int max_steps = 2000;
  for (int step = 0; step < max_steps && !condition(); ++step) {
    io.run_for(std::chrono::milliseconds(5));
    io.restart();
  }
  return condition();
}

wire::message make_cancel(std::uint64_t call) {
  return wire::block_cancel{{call}};
}

TEST_CASE("Messages arrive in order, and replies use the same connection") {
  asio::io_context io;
  recording_node first(io, "a");
  recording_node second(io, "b");
  for (std::uint64_t call = 1; call <= 50; ++call) {
    first.transport->send("b", wire::channel::data, second.address, make_cancel(call));
  }
  REQUIRE(run_until(io, [&] { return second.messages.size() == 50; }));
  for (std::uint64_t call = 1; call <= 50; ++call) {
    CHECK(std::get<wire::block_cancel>(second.messages[call - 1].second).call.value ==
          call);
  }
  // No address is needed: the connection was identified by its hello.
  second.transport->send("a", wire::channel::data, "", make_cancel(99));
  REQUIRE(run_until(io, [&] { return first.messages.size() == 1; }));
  CHECK(first.messages.front().first == "b");
}

TEST_CASE("A message that cannot be sent is reported as undeliverable") {
  asio::io_context io;
  recording_node first(io, "a");
  first.transport->send("b", wire::channel::data, "", make_cancel(1));
  CHECK(first.undeliverable.size() == 1);
  first.transport->send("b", wire::channel::data, "127.0.0.1:1", make_cancel(2));
  CHECK(run_until(io, [&] { return first.undeliverable.size() == 2; }));
}

TEST_CASE(
    "A closed data connection is reported, and the next message opens a new one") {
  asio::io_context io;
  recording_node first(io, "a");
  recording_node second(io, "b");
  first.transport->send("b", wire::channel::data, second.address, make_cancel(1));
  REQUIRE(run_until(io, [&] { return second.messages.size() == 1; }));
  first.transport->reset("b", wire::channel::data);
  CHECK(first.lost == std::vector<std::string>{"b"});
  REQUIRE(run_until(io, [&] { return second.lost.size() == 1; }));
  first.transport->send("b", wire::channel::data, second.address, make_cancel(2));
  CHECK(run_until(io, [&] { return second.messages.size() == 2; }));
}

TEST_CASE("A closed control connection is not reported") {
  asio::io_context io;
  recording_node first(io, "a");
  recording_node second(io, "b");
  first.transport->send("b", wire::channel::control, second.address, make_cancel(1));
  REQUIRE(run_until(io, [&] { return second.messages.size() == 1; }));
  first.transport->reset("b", wire::channel::control);
  CHECK(first.lost.empty());
}

struct invalid_stream_case {
  std::string name;
  std::string bytes;
};

TEST_CASE("A connection that violates the protocol is closed") {
  const std::vector<invalid_stream_case> table{
      {"HTTP", "GET / HTTP/1.1\r\n\r\n"},
      {"a huge frame", std::string("\xff\xff\xff\x7f\x01", 5)},
      {"garbage in a frame", std::string("\x04\x00\x00\x00\x01zzzz", 9)},
      {"no hello first", wire::encode(make_cancel(1))},
  };
  for (const invalid_stream_case& item : table) {
    asio::io_context io;
    recording_node node(io, "a");
    tcp::socket socket(io);
    socket.connect(to_endpoint(node.address).value());
    asio::write(socket, asio::buffer(item.bytes));
    INFO(item.name);
    CHECK(run_until(io, [&] { return node.errors.size() == 1; }));
    CHECK(node.messages.empty());
  }
}

TEST_CASE("A connection without a hello is closed after the timeout") {
  base::clock::pause();
  asio::io_context io;
  recording_node node(io, "a");
  tcp::socket socket(io);
  socket.connect(to_endpoint(node.address).value());
  io.run_for(std::chrono::milliseconds(60));
  io.restart();
  CHECK(node.errors.empty());
  base::clock::advance(std::chrono::seconds(3));
  CHECK(run_until(io, [&] { return node.errors.size() == 1; }));
  base::clock::resume();
}

}  // namespace
}  // namespace ibis::runtime
