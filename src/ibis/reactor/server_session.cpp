#include "ibis/reactor/server_session.hpp"

#include <utility>  // for move

#include "ibis/http/serialize.hpp"  // for append_response

namespace ibis::reactor {
namespace {

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_timeout = 408;
constexpr unsigned status_body_too_large = 413;
constexpr unsigned status_header_too_large = 431;
constexpr unsigned status_not_implemented = 501;

/// Reading pauses once more bytes than this of pipelined requests are buffered.
constexpr std::size_t read_ahead_limit = 65536;
/// How long the client has, after the last response, to read it and to close its side.
constexpr base::milliseconds graceful_close_timeout{1000};

unsigned status_for(http::parse_state state) {
  switch (state) {
    case http::parse_state::header_too_large:
      return status_header_too_large;
    case http::parse_state::body_too_large:
      return status_body_too_large;
    case http::parse_state::unsupported_coding:
      return status_not_implemented;
    default:
      return status_bad_request;
  }
}

}  // namespace

server_session::server_session(asio::ip::tcp::socket socket, const session_hooks& hooks)
    : socket_(std::move(socket)), hooks_(hooks) {}

void server_session::start() {
  asio::error_code ec;
  socket_.non_blocking(true, ec);
  if (!ec) {
    socket_.set_option(asio::ip::tcp::no_delay(true), ec);
  }
  if (ec) {
    close();
    return;
  }
  enter_phase(phase::idle);
  read();
}

void server_session::enter_phase(phase next) {
  phase_ = next;
  phase_started_at_ = base::clock::now();
}

void server_session::read() {
  if (reading_ || phase_ == phase::closed || input_.size() > read_ahead_limit) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](const asio::error_code& ec, std::size_t size) {
        self->reading_ = false;
        self->on_read(ec, size);
      });
}

void server_session::on_read(const asio::error_code& ec, std::size_t size) {
  if (phase_ == phase::closed) {
    return;
  }
  if (ec) {
    on_disconnect();
    return;
  }
  last_received_at_ = base::clock::now();
  if (phase_ != phase::closing) {
    input_.append(read_buffer_.data(), size);
    parse();
  }
  read();
}

void server_session::on_disconnect() {
  const bool handling_request = phase_ == phase::handling_request;
  close();
  if (handling_request) {
    hooks_.on_client_disconnected(*this);
  }
}

void server_session::parse() {
  while (!input_.empty() && (phase_ == phase::idle || phase_ == phase::reading)) {
    if (!parser_) {
      const serving::client_limits limits = hooks_.limits();
      parser_.emplace(http::parse_limits{limits.header_bytes, limits.body_bytes});
      continue_sent_ = false;
    }
    const http::parse_progress progress = parser_->feed(input_);
    input_.erase(0, progress.consumed);
    // Empty lines before a request leave the connection idle.
    const bool request_begun = parser_->started() || !input_.empty();
    if (phase_ == phase::idle && request_begun) {
      enter_phase(phase::reading);
    }
    if (progress.state == http::parse_state::complete) {
      dispatch_request();
      return;
    }
    if (progress.state != http::parse_state::need_more) {
      reject(status_for(progress.state));
      return;
    }
    if (parser_->header_complete() && parser_->expects_continue() && !continue_sent_) {
      continue_sent_ = true;
      output_ += "HTTP/1.1 100 Continue\r\n\r\n";
      write();
    }
    if (progress.consumed == 0) {
      return;
    }
  }
}

void server_session::dispatch_request() {
  enter_phase(phase::handling_request);
  ++request_count_;
  http::request value = parser_->take();
  parser_.reset();
  client_keep_alive_ = value.keep_alive;
  for_head_request_ = value.method == "HEAD";
  hooks_.on_request(shared_from_this(), std::move(value));
}

void server_session::reject(unsigned status) {
  http::response value;
  value.status = status;
  value.keep_alive = false;
  // The method of a request that was not read whole is unknown.
  for_head_request_ = false;
  enter_phase(phase::handling_request);
  answer(std::move(value));
}

void server_session::answer(http::response value) {
  if (phase_ != phase::handling_request) {
    return;
  }
  value.keep_alive = value.keep_alive && client_keep_alive_;
  close_after_write_ = !value.keep_alive;
  http::append_response(output_, value, for_head_request_);
  enter_phase(phase::idle);
  write();
  if (phase_ == phase::idle && !close_after_write_) {
    parse();
    read();
  }
}

void server_session::write() {
  if (writing_ || phase_ == phase::closed) {
    return;
  }
  asio::error_code ec;
  const std::string_view rest = std::string_view(output_).substr(bytes_written_);
  bytes_written_ += socket_.write_some(asio::buffer(rest.data(), rest.size()), ec);
  if (ec && ec != asio::error::would_block) {
    on_disconnect();
    return;
  }
  if (bytes_written_ < output_.size()) {
    writing_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_write,
                       [self = shared_from_this()](const asio::error_code& done) {
                         self->writing_ = false;
                         if (!done) {
                           self->write();
                         }
                       });
    return;
  }
  output_.clear();
  bytes_written_ = 0;
  if (close_after_write_) {
    begin_graceful_close();
  }
}

void server_session::begin_graceful_close() {
  asio::error_code ignored;  // The client may have disconnected already.
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  enter_phase(phase::closing);
  input_.clear();
  read();
}

void server_session::close_if_idle() {
  if (phase_ == phase::idle && input_.empty() && output_.empty()) {
    begin_graceful_close();
  }
}

bool server_session::is_overdue(base::time_point now,
                                const serving::client_limits& limits) const {
  if (!parser_->header_complete()) {
    return now - phase_started_at_ > limits.header_timeout;
  }
  return now - last_received_at_ > limits.idle_timeout;
}

void server_session::enforce_timeouts(base::time_point now) {
  const serving::client_limits limits = hooks_.limits();
  const base::duration elapsed = now - phase_started_at_;
  if (phase_ == phase::idle && elapsed > limits.idle_timeout) {
    close_if_idle();
  } else if (phase_ == phase::reading && is_overdue(now, limits)) {
    reject(status_timeout);
  } else if (phase_ == phase::closing && elapsed > graceful_close_timeout) {
    close();
  } else if (writing_ && elapsed > limits.idle_timeout) {
    on_disconnect();
  }
}

void server_session::close() {
  if (phase_ == phase::closed) {
    return;
  }
  enter_phase(phase::closed);
  asio::error_code ignored;  // The socket is not used again in any case.
  socket_.close(ignored);
  hooks_.on_closed(*this);
}

}  // namespace ibis::reactor
