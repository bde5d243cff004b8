#include "ibis/runtime/http_client.hpp"

#include <asio/write.hpp>  // for async_write
#include <utility>         // for exchange, move

#include "ibis/http/serialize.hpp"          // for append_request
#include "ibis/runtime/address.hpp"         // for to_text
#include "ibis/runtime/socket_options.hpp"  // for configure_socket

namespace ibis::runtime {
namespace {

constexpr std::uint32_t max_header_bytes = 64 * 1024;
/// While a watch waits for a change, a healthy store sends nothing, so only the
/// kernel's keep-alive probes can tell that the store is still there.
constexpr keepalive_limits store_keepalive{std::chrono::seconds(1),
                                           std::chrono::seconds(1), 2};

}  // namespace

http_client::http_client(asio::io_context& io, const asio::ip::tcp::endpoint& peer,
                         std::size_t max_response_bytes)
    : io_(io), peer_(peer), max_response_bytes_(max_response_bytes) {}

void http_client::call(const http::request& request, retry_mode mode,
                       completion_handler done) {
  if (done_) {
    close();
  }
  done_ = std::move(done);
  output_.clear();
  input_.clear();
  http::append_request(output_, request);
  parser_.emplace(http::parse_limits{max_header_bytes, max_response_bytes_}, false);
  received_bytes_ = 0;
  sent_ = false;
  const bool reused = socket_.has_value();
  may_retry_ = reused && mode == retry_mode::on_closed_connection;
  if (reused) {
    send();
    return;
  }
  connect();
}

void http_client::cancel() {
  done_ = nullptr;
  close();
}

void http_client::connect() {
  ++connection_serial_;
  socket_.emplace(io_);
  socket_->async_connect(peer_, [self = shared_from_this(),
                                 serial =
                                     connection_serial_](const asio::error_code& ec) {
    if (serial != self->connection_serial_) {
      return;
    }
    if (ec) {
      self->close();
      // A connection before this one may have carried the request.
      const auto code =
          self->sent_ ? base::error_code::unavailable : base::error_code::refused;
      self->finish(base::error{code, "connect", to_text(self->peer_), ec.message()});
      return;
    }
    configure_socket(*self->socket_, store_keepalive);
    self->send();
    self->read(serial);
  });
}

void http_client::send() {
  sent_ = true;
  writing_ = true;
  asio::async_write(*socket_, asio::buffer(output_),
                    [self = shared_from_this(), serial = connection_serial_](
                        const asio::error_code& /*ec*/, std::size_t /*size*/) {
                      // A read is always pending, and it reports any failure.
                      if (serial == self->connection_serial_) {
                        self->writing_ = false;
                      }
                    });
}

void http_client::read(std::uint64_t serial) {
  socket_->async_read_some(asio::buffer(read_buffer_),
                           [self = shared_from_this(), serial](
                               const asio::error_code& ec, std::size_t size) {
                             self->on_read(ec, size, serial);
                           });
}

void http_client::on_read(const asio::error_code& ec, std::size_t size,
                          std::uint64_t serial) {
  if (serial != connection_serial_ || !socket_) {
    return;
  }
  if (ec || !done_) {
    on_connection_closed(ec);
    return;
  }
  received_bytes_ += size;
  if (received_bytes_ > max_response_bytes_) {
    fail("received a response without end");
    return;
  }
  input_.append(read_buffer_.data(), size);
  const http::parse_progress progress = parser_->feed(input_);
  input_.erase(0, progress.consumed);
  if (progress.state == http::parse_state::need_more) {
    read(serial);
    return;
  }
  if (progress.state != http::parse_state::complete || !input_.empty()) {
    fail("received bytes that are not an HTTP response");
    return;
  }
  http::response value = parser_->take();
  // The peer may respond before it has read the whole request. The next call must not
  // replace what is still being written.
  if (value.keep_alive && !writing_) {
    read(serial);
  } else {
    close();
  }
  finish(std::move(value));
}

void http_client::on_connection_closed(const asio::error_code& ec) {
  const bool nothing_received = parser_ && !parser_->started();
  const bool stale = may_retry_ && nothing_received;
  close();
  if (!done_) {
    return;
  }
  if (stale) {
    may_retry_ = false;
    connect();
    return;
  }
  finish(base::error{base::error_code::unavailable, "call", to_text(peer_),
                     ec ? ec.message() : "connection closed"});
}

void http_client::fail(const char* detail) {
  close();
  finish(
      base::error{base::error_code::protocol, "read response", to_text(peer_), detail});
}

void http_client::finish(base::result<http::response> value) {
  const completion_handler done = std::exchange(done_, nullptr);
  if (done) {
    done(std::move(value));
  }
}

void http_client::close() {
  ++connection_serial_;
  writing_ = false;
  if (socket_) {
    asio::error_code ignored;  // The socket is discarded either way.
    socket_->close(ignored);
    socket_.reset();
  }
}

}  // namespace ibis::runtime
