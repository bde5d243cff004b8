#include "ibis/runtime/leaf_client.hpp"

#include <asio/buffer.hpp>      // for buffer, dynamic_buffer
#include <asio/read_until.hpp>  // for async_read_until
#include <asio/write.hpp>       // for async_write
#include <catch2/catch.hpp>     // for TEST_CASE, CHECK
#include <optional>             // for optional
#include <string>               // for string
#include <utility>              // for move
#include <variant>              // for holds_alternative
#include <vector>               // for vector

#include "endless_leaf.hpp"          // for endless_answers, endless_leaf
#include "ibis/runtime/address.hpp"  // for to_text

namespace ibis::runtime {
namespace {

/// What a leaf may send before its connection must be closed: the 8 MB that a relay can
/// pass on, and what sockets hold.
constexpr std::size_t tolerated_bytes = 64UL * 1024 * 1024;

/// A leaf that serves one connection. Each request gets the next of its texts.
class scripted_leaf {
 public:
  scripted_leaf(asio::io_context& io, std::vector<std::string> texts)
      : acceptor_(io, {asio::ip::address_v4::loopback(), 0}),
        socket_(io),
        texts_(std::move(texts)) {
    acceptor_.async_accept(socket_, [this](const asio::error_code& ec) {
      if (!ec) {
        serve();
      }
    });
  }

  [[nodiscard]] std::string address() const {
    return to_text(acceptor_.local_endpoint());
  }

 private:
  void serve() {
    asio::async_read_until(
        socket_, asio::dynamic_buffer(input_), "\r\n\r\n",
        [this](const asio::error_code& ec, std::size_t size) {
          if (ec || next_ == texts_.size()) {
            return;
          }
          input_.erase(0, size);
          asio::async_write(socket_, asio::buffer(texts_[next_++]),
                            [this](const asio::error_code&, std::size_t) { serve(); });
        });
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
  std::vector<std::string> texts_;
  std::string input_;
  std::size_t next_ = 0;
};

std::string make_reply(const std::string& status, const std::string& line,
                       const std::string& body) {
  return "HTTP/1.1 " + status + " Any\r\nX-First: 1\r\n" + line +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

constexpr base::connection_id test_connection{1};
constexpr base::attempt_id test_attempt{7};

/// Opens a connection and sends a search on it.
/// @return The event that ends the attempt.
policy::event search(const std::string& reply) {
  constexpr std::chrono::minutes limit{1};
  asio::io_context io;
  scripted_leaf leaf(
      io, {make_reply("200", "", R"({"oldest_version":1,"newest_version":2})"), reply});
  std::optional<policy::event> ended;
  std::optional<leaf_client> client;
  client.emplace(
      io,
      [&](const policy::event& event) {
        if (std::holds_alternative<policy::connection_opened>(event)) {
          policy::send_leaf_request request;
          request.connection = test_connection;
          request.attempt = test_attempt;
          request.budget = limit;
          client->send(request);
          return;
        }
        ended = event;
        io.stop();
      },
      leaf_limits{limit, limit});
  client->open({test_connection, "leaf", leaf.address()});
  io.run();
  return ended.value();
}

}  // namespace

// Guards against an answer that counts as the leaf's refusal, or as its reply, although
// its bytes are none: the request may have run.
TEST_CASE("An attempt whose answer is no proper response is lost and may have run") {
  const std::string refusal = R"({"attempt":7,"refused":"shed"})";
  const auto refused = search(make_reply("503", "", refusal));
  REQUIRE(std::holds_alternative<policy::leaf_replied>(refused));
  CHECK(std::get<policy::leaf_replied>(refused).outcome == policy::leaf_outcome::shed);
  for (const std::string& reply :
       {make_reply("000", "", refusal), make_reply("099", "", refusal),
        make_reply("600", "", refusal), make_reply("503", "X Odd: 1\r\n", refusal),
        make_reply("503", "X-Odd : 1\r\n", refusal),
        make_reply("503", " X-Odd: 1\r\n", refusal),
        make_reply("503", "X-\x01Odd: 1\r\n", refusal)}) {
    INFO(reply);
    const auto lost = search(reply);
    REQUIRE(std::holds_alternative<policy::attempt_lost>(lost));
    CHECK(std::get<policy::attempt_lost>(lost).may_have_reached_leaf);
  }
}

// Guards against a leaf that sends bytes without end: a relay that keeps them all runs
// out of memory, and the requests of all its callers end with it.
TEST_CASE("A leaf whose status has no end is given up") {
  constexpr std::chrono::minutes limit{1};
  for (const tests::endless_answer& answer : tests::endless_answers()) {
    asio::io_context io;
    tests::endless_leaf leaf(io, answer);
    bool failed = false;
    leaf_client client(
        io,
        [&failed](const policy::event& event) {
          failed = failed || std::holds_alternative<policy::connection_failed>(event);
        },
        leaf_limits{limit, limit});
    client.open({base::connection_id{1}, "leaf", to_text(leaf.endpoint())});
    io.run();
    INFO(answer.name);
    CHECK(failed);
    CHECK(leaf.sent_bytes() < tolerated_bytes);
  }
}

}  // namespace ibis::runtime
