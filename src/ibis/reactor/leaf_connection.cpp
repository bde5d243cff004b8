#include "ibis/reactor/leaf_connection.hpp"

#include <utility>  // for move

#include "ibis/runtime/socket_options.hpp"  // for configure_socket

namespace ibis::reactor {
namespace {

constexpr http::parse_limits response_limits{64UL * 1024, 1024UL * 1024};
/// Limit of all bytes that a leaf may send for a request: the response with its
/// framing, interim responses and responses to other requests.
constexpr std::size_t max_received_bytes = 2UL * 1024 * 1024;
/// TCP keep-alive probes. Requests have their own timeouts; this detects idle
/// connections whose peer no longer responds.
constexpr runtime::keepalive_limits leaf_keepalive{std::chrono::seconds(4),
                                                   std::chrono::seconds(1), 2};

}  // namespace

leaf_connection::leaf_connection(asio::io_context& io, base::connection_id id,
                                 const protocol& platform_protocol,
                                 event_callback on_event)
    : socket_(io),
      id_(id),
      protocol_(platform_protocol),
      on_event_(std::move(on_event)) {}

void leaf_connection::open(const asio::ip::tcp::endpoint& peer) {
  asio::error_code ec;
  socket_.open(asio::ip::tcp::v4(), ec);
  if (ec) {
    closed_ = true;
    on_event_(serving::connection_failed{id_, ec.message()});
    return;
  }
  runtime::configure_socket(socket_, leaf_keepalive);
  socket_.async_connect(peer,
                        [self = shared_from_this()](const asio::error_code& done) {
                          self->on_connected(done);
                        });
}

void leaf_connection::on_connected(const asio::error_code& ec) {
  if (closed_) {
    return;
  }
  if (ec) {
    close();
    on_event_(serving::connection_failed{id_, ec.message()});
    return;
  }
  // If this fails, writes may block, but the connection still works.
  asio::error_code ignored;
  socket_.non_blocking(true, ignored);
  read();
  on_event_(serving::connection_opened{id_});
}

void leaf_connection::send(const serving::send_to_leaf& effect) {
  if (closed_) {
    return;
  }
  awaiting_response_ = true;
  for_head_request_ = effect.request->method == "HEAD";
  request_id_ = effect.request->id;
  parser_.emplace(response_limits, for_head_request_);
  output_.clear();
  bytes_written_ = 0;
  received_bytes_ = 0;
  protocol_.append_leaf_request(output_, effect);
  write();
}

void leaf_connection::write() {
  asio::error_code ec;
  const std::string_view rest = std::string_view(output_).substr(bytes_written_);
  bytes_written_ += socket_.write_some(asio::buffer(rest.data(), rest.size()), ec);
  if (ec && ec != asio::error::would_block) {
    // The leaf may have sent a response already. The pending read still receives it and
    // then reports that the connection ended.
    return;
  }
  if (bytes_written_ < output_.size()) {
    socket_.async_wait(asio::ip::tcp::socket::wait_write,
                       [self = shared_from_this()](const asio::error_code& done) {
                         self->on_writable(done);
                       });
  }
}

void leaf_connection::on_writable(const asio::error_code& ec) {
  if (!closed_ && !ec) {
    write();
  }
}

void leaf_connection::read() {
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](const asio::error_code& ec, std::size_t size) {
        self->on_read(ec, size);
      });
}

void leaf_connection::on_read(const asio::error_code& ec, std::size_t size) {
  if (closed_) {
    return;
  }
  if (ec) {
    on_read_error(ec);
    return;
  }
  if (!awaiting_response_) {
    // No request is in flight, so the message framing cannot be trusted any more.
    close_and_report_lost("unexpected bytes without a request in flight");
    return;
  }
  received_bytes_ += size;
  if (received_bytes_ > max_received_bytes) {
    close_and_report_lost("response without end");
    return;
  }
  input_.append(read_buffer_.data(), size);
  parse();
  if (!closed_) {
    read();
  }
}

void leaf_connection::on_read_error(const asio::error_code& ec) {
  const bool closed_cleanly = ec == asio::error::eof;
  if (awaiting_response_ && closed_cleanly && parser_->finish() &&
      deliver_response(parser_->take())) {
    return;
  }
  if (!closed_) {
    close_and_report_lost(ec.message());
  }
}

void leaf_connection::parse() {
  std::size_t consumed_bytes = 0;
  while (awaiting_response_ && !closed_) {
    const std::string_view rest = std::string_view(input_).substr(consumed_bytes);
    const http::parse_progress progress = parser_->feed(rest);
    consumed_bytes += progress.consumed;
    if (progress.state == http::parse_state::need_more) {
      break;
    }
    if (progress.state != http::parse_state::complete) {
      close_and_report_lost("malformed response");
      return;
    }
    http::response value = parser_->take();
    const bool has_extra_bytes = consumed_bytes < input_.size();
    if (has_extra_bytes || bytes_written_ < output_.size()) {
      value.keep_alive = false;
    }
    const bool is_interim = value.status / 100 == 1;
    if (is_interim || !deliver_response(std::move(value))) {
      parser_.emplace(response_limits, for_head_request_);
    }
  }
  input_.erase(0, consumed_bytes);
}

bool leaf_connection::lacks_id(const leaf_response& decoded) const {
  return states_ids_ && decoded.request_id.empty();
}

bool leaf_connection::deliver_response(http::response&& value) {
  const bool keep_alive = value.keep_alive;
  leaf_response decoded = protocol_.decode_leaf_response(std::move(value));
  if (lacks_id(decoded)) {
    close_and_report_lost("response without the request's id");
    return true;
  }
  states_ids_ = states_ids_ || !decoded.request_id.empty();
  if (!decoded.request_id.empty() && decoded.request_id != request_id_) {
    return false;
  }
  awaiting_response_ = false;
  if (!keep_alive) {
    close();
  }
  on_event_(serving::leaf_answered{
      id_, std::make_shared<serving::leaf_answer>(std::move(decoded.answer)),
      keep_alive, decoded.idle_timeout});
  return true;
}

bool leaf_connection::broken_response_says_leaving() {
  if (!awaiting_response_ || !parser_->header_complete()) {
    return false;
  }
  const leaf_response decoded = protocol_.decode_leaf_response(parser_->take());
  return decoded.answer.leaf_leaving && decoded.request_id == request_id_;
}

void leaf_connection::close_and_report_lost(const std::string& detail) {
  const bool leaf_leaving = broken_response_says_leaving();
  close();
  on_event_(serving::connection_lost{id_, detail, leaf_leaving});
}

void leaf_connection::close() {
  closed_ = true;
  asio::error_code ignored;  // The socket is not used again in any case.
  socket_.close(ignored);
}

}  // namespace ibis::reactor
