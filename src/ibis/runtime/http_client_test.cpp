#include "ibis/runtime/http_client.hpp"

#include <asio/read_until.hpp>  // for read_until
#include <asio/streambuf.hpp>   // for streambuf
#include <asio/write.hpp>       // for write
#include <catch2/catch.hpp>     // for TEST_CASE, CHECK
#include <optional>             // for optional
#include <thread>               // for thread

namespace ibis::runtime {
namespace {

using asio::ip::tcp;

constexpr const char* small_response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

tcp::acceptor make_acceptor(asio::io_context& io) {
  return tcp::acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
}

/// Makes a call and runs the client until it has ended.
base::result<http::response> call(asio::io_context& io, http_client& client,
                                  const http::request& request) {
  std::optional<base::result<http::response>> received;
  client.call(request, http_client::retry_mode::on_closed_connection,
              [&received](base::result<http::response> response) {
                received = std::move(response);
              });
  io.restart();
  while (!received) {
    io.run_one();
  }
  return std::move(*received);
}

http::request make_request(std::string body) {
  return {"POST", "/", {{"Host", "h"}}, std::move(body), true};
}

/// Accepts a connection, reads the head of one request and responds.
tcp::socket respond_to_one(asio::io_context& io, tcp::acceptor& acceptor) {
  tcp::socket socket(io);
  acceptor.accept(socket);
  asio::streambuf head;
  asio::read_until(socket, head, "\r\n\r\n");
  asio::write(socket, asio::buffer(std::string(small_response)));
  return socket;
}

}  // namespace

// Guards against a call that is reported as never sent although a connection that was
// closed had carried it: the peer may have executed it.
TEST_CASE("A call is not refused if a connection before had carried it") {
  asio::io_context peer_io;
  tcp::acceptor acceptor = make_acceptor(peer_io);
  asio::io_context io;
  const auto client = std::make_shared<http_client>(io, acceptor.local_endpoint());
  std::thread peer([&] {
    tcp::socket socket = respond_to_one(peer_io, acceptor);
    acceptor.close();
    asio::streambuf second;
    asio::error_code ignored;
    asio::read_until(socket, second, "\r\n\r\n", ignored);
    socket.close();
  });
  REQUIRE(call(io, *client, make_request("")).has_value());
  const auto result = call(io, *client, make_request(""));
  peer.join();
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().code == base::error_code::unavailable);
}

TEST_CASE("A call to an address where nothing listens is refused") {
  asio::io_context io;
  tcp::acceptor acceptor = make_acceptor(io);
  const tcp::endpoint address = acceptor.local_endpoint();
  acceptor.close();
  const auto client = std::make_shared<http_client>(io, address);
  const auto result = call(io, *client, make_request(""));
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().code == base::error_code::refused);
}

// Guards against a call whose bytes mix with those of the call before, which was
// answered before all of it was sent.
TEST_CASE("A connection whose request was answered early is not used again") {
  constexpr std::size_t more_than_sockets_hold = 64UL * 1024 * 1024;
  asio::io_context peer_io;
  tcp::acceptor acceptor = make_acceptor(peer_io);
  asio::io_context io;
  const auto client = std::make_shared<http_client>(io, acceptor.local_endpoint());
  bool mixed = false;
  std::thread peer([&] {
    tcp::socket first = respond_to_one(peer_io, acceptor);
    std::string rest;
    asio::error_code ended;
    asio::read_until(first, asio::dynamic_buffer(rest), "POST", ended);
    mixed = !ended;
    if (mixed) {
      asio::write(first, asio::buffer(std::string(small_response)));
    } else {
      respond_to_one(peer_io, acceptor);
    }
  });
  CHECK(call(io, *client, make_request(std::string(more_than_sockets_hold, 'a')))
            .has_value());
  CHECK(call(io, *client, make_request("")).has_value());
  peer.join();
  CHECK_FALSE(mixed);
}

}  // namespace ibis::runtime
