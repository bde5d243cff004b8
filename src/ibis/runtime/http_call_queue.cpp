#include "ibis/runtime/http_call_queue.hpp"

#include <utility>  // for move

namespace ibis::runtime {
namespace {

constexpr std::size_t max_queued_calls = 256;

}  // namespace

http_call_queue::http_call_queue(asio::io_context& io,
                                 const asio::ip::tcp::endpoint& peer,
                                 http_client::retry_mode mode,
                                 std::size_t max_response_bytes)
    : client_(std::make_shared<http_client>(io, peer, max_response_bytes)),
      mode_(mode),
      timer_(io) {}

bool http_call_queue::add(http::request request, base::milliseconds limit,
                          http_client::completion_handler done) {
  if (calls_.size() >= max_queued_calls) {
    return false;
  }
  calls_.push_back({std::move(request), limit, std::move(done)});
  start_next();
  return true;
}

void http_call_queue::start_next() {
  if (busy_ || stopped_ || calls_.empty()) {
    return;
  }
  busy_ = true;
  timer_.expires_after(calls_.front().limit);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& ec) {
    if (ec || self->stopped_ || !self->busy_) {
      return;
    }
    self->client_->cancel();
    self->finish(base::error{base::error_code::timeout, "call", "",
                             "no response within the time limit"});
  });
  client_->call(calls_.front().request, mode_,
                [self = shared_from_this()](base::result<http::response> response) {
                  self->finish(std::move(response));
                });
}

void http_call_queue::finish(base::result<http::response> response) {
  if (stopped_) {
    return;
  }
  timer_.cancel();
  busy_ = false;
  const http_client::completion_handler done = std::move(calls_.front().done);
  calls_.pop_front();
  done(std::move(response));
  start_next();
}

void http_call_queue::stop() {
  stopped_ = true;
  timer_.cancel();
  client_->cancel();
  calls_.clear();
}

}  // namespace ibis::runtime
