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

/// A transport that notes what its hooks are told.
struct witness {
  std::vector<std::pair<std::string, wire::message>> messages;
  std::vector<std::string> undeliverable;
  std::vector<std::string> lost;
  std::vector<base::error> errors;
  std::unique_ptr<peer_transport> transport;
  std::string address;

  witness(asio::io_context& io, const std::string& name) {
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

/// Runs until something holds, bounded by a number of steps.
template <typename Condition>
bool run_until(asio::io_context& io, const Condition& holds) {
  constexpr int most_steps = 2000;
  for (int step = 0; step < most_steps && !holds(); ++step) {
    io.run_for(std::chrono::milliseconds(5));
    io.restart();
  }
  return holds();
}

wire::message cancel(std::uint64_t call) {
  return wire::block_cancel{{call}};
}

TEST_CASE("Messages arrive in order, and answers come back on the same connection") {
  asio::io_context io;
  witness first(io, "a");
  witness second(io, "b");
  for (std::uint64_t call = 1; call <= 50; ++call) {
    first.transport->send("b", wire::channel::data, second.address, cancel(call));
  }
  REQUIRE(run_until(io, [&] { return second.messages.size() == 50; }));
  for (std::uint64_t call = 1; call <= 50; ++call) {
    CHECK(std::get<wire::block_cancel>(second.messages[call - 1].second).call.value ==
          call);
  }
  // No address is needed: the connection is known by its hello.
  second.transport->send("a", wire::channel::data, "", cancel(99));
  REQUIRE(run_until(io, [&] { return first.messages.size() == 1; }));
  CHECK(first.messages.front().first == "b");
}

TEST_CASE("What cannot be sent is given back") {
  asio::io_context io;
  witness first(io, "a");
  first.transport->send("b", wire::channel::data, "", cancel(1));
  CHECK(first.undeliverable.size() == 1);
  first.transport->send("b", wire::channel::data, "127.0.0.1:1", cancel(2));
  CHECK(run_until(io, [&] { return first.undeliverable.size() == 2; }));
}

TEST_CASE("A broken connection is told, and the next message opens another") {
  asio::io_context io;
  witness first(io, "a");
  witness second(io, "b");
  first.transport->send("b", wire::channel::data, second.address, cancel(1));
  REQUIRE(run_until(io, [&] { return second.messages.size() == 1; }));
  first.transport->reset("b", wire::channel::data);
  CHECK(first.lost == std::vector<std::string>{"b"});
  REQUIRE(run_until(io, [&] { return second.lost.size() == 1; }));
  first.transport->send("b", wire::channel::data, second.address, cancel(2));
  CHECK(run_until(io, [&] { return second.messages.size() == 2; }));
}

TEST_CASE("A broken control connection is not told") {
  asio::io_context io;
  witness first(io, "a");
  witness second(io, "b");
  first.transport->send("b", wire::channel::control, second.address, cancel(1));
  REQUIRE(run_until(io, [&] { return second.messages.size() == 1; }));
  first.transport->reset("b", wire::channel::control);
  CHECK(first.lost.empty());
}

struct bad_start {
  std::string name;
  std::string bytes;
};

TEST_CASE("A connection that does not speak the protocol is closed") {
  const std::vector<bad_start> table{
      {"HTTP", "GET / HTTP/1.1\r\n\r\n"},
      {"a huge frame", std::string("\xff\xff\xff\x7f\x01", 5)},
      {"garbage in a frame", std::string("\x04\x00\x00\x00\x01zzzz", 9)},
      {"no hello first", wire::encode(cancel(1))},
  };
  for (const bad_start& item : table) {
    asio::io_context io;
    witness node(io, "a");
    tcp::socket socket(io);
    socket.connect(to_endpoint(node.address).value());
    asio::write(socket, asio::buffer(item.bytes));
    INFO(item.name);
    CHECK(run_until(io, [&] { return node.errors.size() == 1; }));
    CHECK(node.messages.empty());
  }
}

TEST_CASE("A connection without a hello is closed once the time is over") {
  base::clock::pause();
  asio::io_context io;
  witness node(io, "a");
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
