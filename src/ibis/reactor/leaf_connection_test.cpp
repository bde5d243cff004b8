#include "ibis/reactor/leaf_connection.hpp"

#include <array>             // for array
#include <asio/buffer.hpp>   // for buffer
#include <asio/write.hpp>    // for async_write
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <string>            // for string
#include <vector>            // for vector

#include "endless_leaf.hpp"  // for endless_answers, endless_leaf

namespace ibis::reactor {
namespace {

using asio::ip::tcp;

/// What a leaf may send before its connection must be closed.
constexpr std::size_t tolerated_bytes = 16UL * 1024 * 1024;

protocol make_test_protocol() {
  protocol value;
  value.append_leaf_request = [](std::string& out, const serving::send_to_leaf&) {
    out += "GET / HTTP/1.1\r\n\r\n";
  };
  value.decode_leaf_response = [](http::response&& response) {
    leaf_response decoded;
    decoded.answer.status = response.status;
    decoded.answer.body = std::move(response.body);
    const auto id = http::find_field(response.fields, "Answer-To");
    decoded.request_id = id ? std::string(*id) : "";
    decoded.answer.leaf_leaving =
        http::find_field(response.fields, "Leaving").has_value();
    return decoded;
  };
  return value;
}

/// How a leaf ends the connection after its last answer.
enum class leaf_end : std::uint8_t { keep_open, close, reset };

/// A leaf that waits for each request and then sends the next of its texts.
class scripted_leaf {
 public:
  scripted_leaf(asio::io_context& io, std::vector<std::string> texts, leaf_end end)
      : acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        socket_(io),
        texts_(std::move(texts)),
        end_(end) {
    acceptor_.async_accept(socket_, [this](const asio::error_code& ec) {
      if (!ec) {
        await_request();
      }
    });
  }

  [[nodiscard]] tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

 private:
  void await_request() {
    socket_.async_read_some(asio::buffer(input_),
                            [this](const asio::error_code& ec, std::size_t) {
                              if (!ec && next_ < texts_.size()) {
                                send_next();
                              }
                            });
  }

  void send_next() {
    asio::async_write(socket_, asio::buffer(texts_[next_++]),
                      [this](const asio::error_code& ec, std::size_t) {
                        if (ec) {
                          return;
                        }
                        if (next_ < texts_.size()) {
                          await_request();
                          return;
                        }
                        finish();
                      });
  }

  void finish() {
    if (end_ == leaf_end::keep_open) {
      return;
    }
    if (end_ == leaf_end::reset) {
      socket_.set_option(asio::socket_base::linger(true, 0));
    }
    socket_.close();
  }

  tcp::acceptor acceptor_;
  tcp::socket socket_;
  std::vector<std::string> texts_;
  leaf_end end_;
  std::size_t next_ = 0;
  std::array<char, 1024> input_{};
};

/// What a connection reported.
struct session_result {
  std::vector<std::string> bodies;  ///< Of the answers, in order.
  bool lost = false;
  bool leaf_leaving = false;  ///< Stated when the connection was lost.
};

/// Sends requests with the ids "r1", "r2", ... to a leaf, each after the answer to the
/// one before.
session_result run_session(std::vector<std::string> texts, leaf_end end,
                           std::size_t requests) {
  constexpr std::chrono::seconds limit{2};
  asio::io_context io;
  const protocol platform_protocol = make_test_protocol();
  scripted_leaf leaf(io, std::move(texts), end);
  session_result result;
  std::size_t sent = 0;
  std::shared_ptr<leaf_connection> connection;
  const auto send_next = [&] {
    if (sent == requests) {
      connection->close();
      io.stop();
      return;
    }
    auto request = std::make_shared<serving::inbound_request>();
    request->id = "r" + std::to_string(++sent);
    connection->send({base::connection_id{1}, request, "leaf", {}});
  };
  connection = std::make_shared<leaf_connection>(
      io, base::connection_id{1}, platform_protocol, [&](const serving::event& event) {
        if (std::holds_alternative<serving::connection_opened>(event)) {
          send_next();
        } else if (const auto* answered = std::get_if<serving::leaf_answered>(&event)) {
          result.bodies.push_back(answered->answer->body);
          send_next();
        } else if (const auto* lost = std::get_if<serving::connection_lost>(&event)) {
          result.lost = true;
          result.leaf_leaving = lost->leaf_leaving;
          io.stop();
        }
      });
  connection->open(leaf.endpoint());
  io.run_for(limit);
  return result;
}

std::string make_answer(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nAnswer-To: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST_CASE("A second copy of an answer is not the answer to the next request") {
  const session_result result =
      run_session({make_answer("r1", "first"),
                   make_answer("r1", "first") + make_answer("r2", "second")},
                  leaf_end::keep_open, 2);
  CHECK(result.bodies == std::vector<std::string>{"first", "second"});
}

TEST_CASE("A second copy of an answer before the next request ends the connection") {
  const std::string answer = make_answer("r1", "first");
  const session_result result =
      run_session({answer + answer, make_answer("r2", "x")}, leaf_end::keep_open, 2);
  CHECK(result.bodies == std::vector<std::string>{"first"});
}

// Guards against a late copy that states no id and is taken for the next answer.
TEST_CASE("An answer without an id is lost if earlier answers of its leaf had one") {
  const std::string without_id = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
  const session_result mixed =
      run_session({make_answer("r1", "first"), without_id}, leaf_end::keep_open, 2);
  CHECK(mixed.bodies == std::vector<std::string>{"first"});
  CHECK(mixed.lost);
  // Of a leaf that states no ids, each answer counts.
  const session_result none =
      run_session({without_id, without_id}, leaf_end::keep_open, 2);
  CHECK(none.bodies == std::vector<std::string>{"x", "x"});
}

TEST_CASE("An answer that breaks off is lost, not complete") {
  const std::string head = "HTTP/1.1 200 OK\r\nAnswer-To: r1\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, leaf_end>> broken{
      {head + "Content-Length: 9\r\n\r\nhalf", leaf_end::close},
      {head + "Content-Length: 9\r\n\r\nhalf", leaf_end::reset},
      {chunked + "4\r\nhalf\r\n", leaf_end::close},
      {chunked + "9\r\nhalf", leaf_end::close},
      {head + "\r\nhalf", leaf_end::reset},
      {head, leaf_end::close},
      {"", leaf_end::close}};
  for (const auto& [text, end] : broken) {
    INFO(text);
    const session_result result = run_session({text}, end, 1);
    CHECK(result.lost);
    CHECK(result.bodies.empty());
  }
}

// Guards against a leaf that stops in the middle of its answer's head and closes: that
// must not count as an answer with an empty body.
TEST_CASE("An answer whose head breaks off anywhere is lost") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nAnswer-To: r1\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t size = 0; size < head.size(); ++size) {
    INFO(head.substr(0, size));
    const session_result result =
        run_session({head.substr(0, size)}, leaf_end::close, 1);
    CHECK(result.lost);
    CHECK(result.bodies.empty());
  }
}

TEST_CASE("An answer without a length is complete when its connection ends cleanly") {
  const session_result result = run_session(
      {"HTTP/1.1 200 OK\r\nAnswer-To: r1\r\n\r\nwhole"}, leaf_end::close, 1);
  CHECK(result.bodies == std::vector<std::string>{"whole"});
}

TEST_CASE("An answer that breaks off after its head still says that its leaf leaves") {
  const std::string length = "Content-Length: 9\r\n\r\nhalf";
  const std::string head = "HTTP/1.1 200 OK\r\nAnswer-To: r1\r\n";
  const std::string notice = "Leaving: 1\r\n";
  const auto says_leaving = [](const std::string& text, leaf_end end) {
    const session_result result = run_session({text}, end, 1);
    CHECK(result.lost);
    return result.leaf_leaving;
  };
  CHECK(says_leaving(head + notice + length, leaf_end::close));
  CHECK(says_leaving(head + notice + length, leaf_end::reset));
  CHECK_FALSE(says_leaving(head + length, leaf_end::close));
  CHECK_FALSE(says_leaving(head + notice, leaf_end::close));
  // A late copy of another answer says nothing for certain.
  CHECK_FALSE(says_leaving("HTTP/1.1 200 OK\r\nAnswer-To: r0\r\n" + notice + length,
                           leaf_end::close));
}

TEST_CASE("A leaf whose answer has no end loses its connection") {
  const protocol platform_protocol = make_test_protocol();
  std::vector<tests::endless_answer> answers = tests::endless_answers();
  answers.push_back(
      {"answers to another request", "",
       "HTTP/1.1 200 OK\r\nAnswer-To: other\r\nContent-Length: 1\r\n\r\nx"});
  for (const tests::endless_answer& value : answers) {
    asio::io_context io;
    tests::endless_leaf leaf(io, value);
    bool lost = false;
    bool answered = false;
    std::shared_ptr<leaf_connection> connection;
    connection = std::make_shared<leaf_connection>(
        io, base::connection_id{1}, platform_protocol,
        [&](const serving::event& event) {
          if (std::holds_alternative<serving::connection_opened>(event)) {
            auto request = std::make_shared<serving::inbound_request>();
            request->id = "mine";
            connection->send({base::connection_id{1}, request, "leaf", {}});
          }
          lost = lost || std::holds_alternative<serving::connection_lost>(event);
          answered = answered || std::holds_alternative<serving::leaf_answered>(event);
        });
    connection->open(leaf.endpoint());
    io.run();
    INFO(value.name);
    CHECK(lost);
    CHECK_FALSE(answered);
    CHECK(leaf.sent_bytes() < tolerated_bytes);
  }
}

}  // namespace
}  // namespace ibis::reactor
