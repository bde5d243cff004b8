/// A leaf for tests whose answer never ends.
#pragma once

#include <asio/io_context.hpp>  // for io_context
#include <asio/ip/tcp.hpp>      // for tcp
#include <cstddef>              // for size_t
#include <string>               // for string
#include <vector>               // for vector

namespace ibis::tests {

/// An answer that starts with `head` and continues with `piece` again and again.
struct endless_answer {
  const char* name;
  std::string head;
  std::string piece;
};

/// Returns answers that have no end in each part of a response.
std::vector<endless_answer> endless_answers();

/// Accepts one connection and sends an answer, without waiting for a request, until the
/// connection is closed or 256 MB are sent.
class endless_leaf {
 public:
  endless_leaf(asio::io_context& io, const endless_answer& answer);

  [[nodiscard]] asio::ip::tcp::endpoint endpoint() const {
    return acceptor_.local_endpoint();
  }
  [[nodiscard]] std::size_t sent_bytes() const { return sent_bytes_; }

 private:
  void write(const std::string& bytes);

  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
  std::string head_;
  std::string block_;
  std::size_t sent_bytes_ = 0;
};

}  // namespace ibis::tests
