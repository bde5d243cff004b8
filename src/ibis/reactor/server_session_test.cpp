#include "ibis/reactor/server_session.hpp"

#include <asio/io_context.hpp>  // for io_context
#include <asio/read.hpp>        // for read
#include <asio/write.hpp>       // for write
#include <catch2/catch.hpp>     // for TEST_CASE, CHECK

namespace ibis::reactor {
namespace {

using asio::ip::tcp;
using std::chrono::seconds;

/// A session with a client's socket at its other end.
class session_with_client {
 public:
  explicit session_with_client(const serving::client_limits& limits) : client(io) {
    hooks_.on_request = [](const std::shared_ptr<server_session>&, http::request&&) {};
    hooks_.on_client_disconnected = [](server_session&) {};
    hooks_.on_closed = [](server_session&) {};
    hooks_.limits = [limits] { return limits; };
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    client.connect(acceptor.local_endpoint());
    session = std::make_shared<server_session>(acceptor.accept(), hooks_);
    session->start();
  }
  ~session_with_client() { session->close(); }
  session_with_client(const session_with_client&) = delete;
  session_with_client& operator=(const session_with_client&) = delete;

  void send(const std::string& bytes) {
    asio::write(client, asio::buffer(bytes));
    // The session's read is pending, so that this handles the bytes.
    io.run_one();
  }
  /// @return The start of the response, for which it waits.
  std::string read_status_line() {
    std::string bytes(std::string("HTTP/1.1 408").size(), ' ');
    asio::read(client, asio::buffer(bytes));
    return bytes;
  }

  asio::io_context io;
  tcp::socket client;
  std::shared_ptr<server_session> session;

 private:
  session_hooks hooks_;
};

serving::client_limits make_limits(seconds header_timeout, seconds idle_timeout) {
  serving::client_limits limits;
  limits.header_timeout = header_timeout;
  limits.idle_timeout = idle_timeout;
  return limits;
}

}  // namespace

// Guards against a client that stops in the middle of a body and keeps its connection
// for the time that a head may take.
TEST_CASE("A body may pause for the idle timeout, whatever a head may take") {
  session_with_client tested(make_limits(seconds(30), seconds(2)));
  tested.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab");
  const base::time_point now = base::clock::now();
  tested.session->enforce_timeouts(now + seconds(1));
  CHECK(tested.client.available() == 0);
  tested.session->enforce_timeouts(now + seconds(3));
  CHECK(tested.read_status_line() == "HTTP/1.1 408");
}

TEST_CASE("A head may take its timeout as a whole") {
  session_with_client tested(make_limits(seconds(2), seconds(30)));
  tested.send("POST / HTTP/1.1\r\nHost: h\r\n");
  const base::time_point now = base::clock::now();
  tested.session->enforce_timeouts(now + seconds(1));
  CHECK(tested.client.available() == 0);
  tested.session->enforce_timeouts(now + seconds(3));
  CHECK(tested.read_status_line() == "HTTP/1.1 408");
}

}  // namespace ibis::reactor
