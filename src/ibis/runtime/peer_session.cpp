#include "peer_session.hpp"

#include <asio/buffer.hpp>  // for buffer
#include <asio/read.hpp>    // for async_read
#include <asio/write.hpp>   // for async_write
#include <utility>          // for move

#include "ibis/runtime/socket_options.hpp"  // for configure_socket

namespace ibis::runtime {
namespace {

/// Detects a peer that lost power or is cut off while no message is on its way.
constexpr keepalive_limits peer_keepalive{std::chrono::seconds(3),
                                          std::chrono::seconds(1), 2};

base::error unavailable_error(std::string step, const std::string& peer,
                              const asio::error_code& failure) {
  return {base::error_code::unavailable, std::move(step), peer, failure.message()};
}

}  // namespace

peer_session::peer_session(asio::ip::tcp::socket socket, hooks callbacks)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      hooks_(std::move(callbacks)) {}

void peer_session::connect(const asio::ip::tcp::endpoint& endpoint,
                           base::milliseconds timeout) {
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& failure) {
    if (!failure && !self->open_) {
      self->close({base::error_code::timeout, "connect", self->address, ""});
    }
  });
  socket_.async_connect(
      endpoint, [self = shared_from_this()](const asio::error_code& failure) {
        if (self->closed_) {
          return;
        }
        if (failure) {
          self->close(unavailable_error("connect", self->address, failure));
          return;
        }
        self->timer_.cancel();
        self->start();
      });
}

void peer_session::accept() {
  start();
}

void peer_session::expect_hello(base::milliseconds timeout) {
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& failure) {
    if (!failure && !self->hello_received) {
      self->close({base::error_code::timeout, "await hello", self->address, ""});
    }
  });
}

void peer_session::start() {
  open_ = true;
  configure_socket(socket_, peer_keepalive);
  read_header();
  write_next();
}

void peer_session::read_header() {
  asio::async_read(
      socket_, asio::buffer(header_),
      [self = shared_from_this()](const asio::error_code& failure,
                                  std::size_t /*size*/) {
        if (failure) {
          self->close(unavailable_error("read frame", self->address, failure));
          return;
        }
        const auto size = wire::decode_header(self->header_);
        if (!size) {
          base::error problem = size.error();
          problem.peer = self->address;
          self->close(problem);
          return;
        }
        self->read_body(size.value());
      });
}

void peer_session::read_body(std::size_t size) {
  body_.resize(size);
  asio::async_read(
      socket_, asio::buffer(body_),
      [self = shared_from_this()](const asio::error_code& failure, std::size_t read) {
        if (failure) {
          self->close(unavailable_error("read frame", self->address, failure));
          return;
        }
        self->received_bytes_ += read + wire::header_size;
        auto decoded = wire::decode_body(self->body_);
        if (!decoded) {
          base::error problem = decoded.error();
          problem.peer = self->address;
          self->close(problem);
          return;
        }
        self->hooks_.on_message(*self, std::move(decoded.value()));
        if (!self->closed_) {
          self->read_header();
        }
      });
}

void peer_session::send(wire::message body) {
  std::string bytes = wire::encode(body);
  queued_bytes_ += bytes.size();
  queue_.push_back({std::move(body), std::move(bytes)});
  write_next();
}

void peer_session::write_next() {
  if (!open_ || writing_ || closed_ || queue_.empty()) {
    return;
  }
  writing_ = true;
  asio::async_write(
      socket_, asio::buffer(queue_.front().bytes),
      [self = shared_from_this()](const asio::error_code& failure,
                                  std::size_t written) {
        self->writing_ = false;
        if (self->closed_) {
          return;
        }
        if (failure) {
          // Part of the first message may have reached the peer, so `close` must not
          // report it as unsent.
          self->writing_ = true;
          self->close(unavailable_error("write frame", self->address, failure));
          return;
        }
        self->sent_bytes_ += written;
        self->queued_bytes_ -= self->queue_.front().bytes.size();
        self->queue_.pop_front();
        self->write_next();
      });
}

void peer_session::discard_unsent() {
  asio::error_code ignored;  // Without it, the peer may get messages that are obsolete.
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
}

void peer_session::close_silently() {
  closed_ = true;
  asio::error_code ignored;
  timer_.cancel();
  socket_.close(ignored);
}

void peer_session::close(const base::error& reason) {
  if (closed_) {
    return;
  }
  const bool front_may_be_sent = writing_;
  close_silently();
  std::vector<wire::message> unsent;
  for (std::size_t i = front_may_be_sent ? 1 : 0; i < queue_.size(); ++i) {
    unsent.push_back(std::move(queue_[i].body));
  }
  hooks_.on_closed(*this, reason, std::move(unsent));
}

}  // namespace ibis::runtime
