#include "peer_session.hpp"

#include <asio/buffer.hpp>  // for buffer
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
  asio::error_code failure;
  socket_.non_blocking(true, failure);
  if (failure) {
    close(unavailable_error("configure socket", address, failure));
    return;
  }
  wait_for_data();
  write_next();
}

void peer_session::wait_for_data() {
  socket_.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](const asio::error_code& failure) {
        if (self->closed_) {
          return;
        }
        if (failure) {
          self->close(unavailable_error("read frame", self->address, failure));
          return;
        }
        self->read_available();
      });
}

void peer_session::read_available() {
  constexpr std::size_t buffer_bytes = 64UL * 1024;
  std::array<char, buffer_bytes> buffer;  // NOLINT(*-member-init): read_some fills it.
  asio::error_code failure;
  const std::size_t size = socket_.read_some(asio::buffer(buffer), failure);
  if (failure && failure != asio::error::would_block) {
    close(unavailable_error("read frame", address, failure));
    return;
  }
  received_bytes_ += size;
  input_.insert(input_.end(), buffer.begin(),
                buffer.begin() + static_cast<std::ptrdiff_t>(size));
  deliver_frames();
  if (!closed_) {
    wait_for_data();
  }
}

void peer_session::deliver_frames() {
  std::vector<wire::message> messages;
  const auto failure = wire::take_frames(input_, messages);
  wire::remove_cancelled(messages);
  for (wire::message& body : messages) {
    if (closed_) {
      return;
    }
    hooks_.on_message(*this, std::move(body));
  }
  if (failure && !closed_) {
    base::error problem = *failure;
    problem.peer = address;
    close(problem);
  }
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
