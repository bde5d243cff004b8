#include "endless_leaf.hpp"

#include <asio/buffer.hpp>  // for buffer
#include <asio/write.hpp>   // for async_write

namespace ibis::tests {

std::vector<endless_answer> endless_answers() {
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  return {
      {"a line that is no answer", "", "x"},
      {"lines that are no answer", "", "junk\r\n"},
      {"a head without end", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
      {"a field without end", "HTTP/1.1 200 OK\r\nX-Field: ", "v"},
      {"a body of unknown length", "HTTP/1.1 200 OK\r\n\r\n", "0123456789"},
      {"a body of great length", "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n",
       "0123456789"},
      {"chunks without end", chunked, "5\r\nabcde\r\n"},
      {"a chunk extension without end", chunked + "5;", "e"},
      {"trailers without end", chunked + "0\r\n", "X-Field: value\r\n"},
      {"interim answers without end", "", "HTTP/1.1 102 Processing\r\n\r\n"},
  };
}

endless_leaf::endless_leaf(asio::io_context& io, const endless_answer& answer)
    : acceptor_(io, {asio::ip::address_v4::loopback(), 0}),
      socket_(io),
      head_(answer.head) {
  constexpr std::size_t block_bytes = 64UL * 1024;
  while (block_.size() < block_bytes) {
    block_ += answer.piece;
  }
  acceptor_.async_accept(socket_, [this](const asio::error_code& ec) {
    if (!ec) {
      write(head_);
    }
  });
}

void endless_leaf::write(const std::string& bytes) {
  constexpr std::size_t endless_bytes = 256UL * 1024 * 1024;
  asio::async_write(socket_, asio::buffer(bytes),
                    [this](const asio::error_code& ec, std::size_t size) {
                      sent_bytes_ += size;
                      if (!ec && sent_bytes_ < endless_bytes) {
                        write(block_);
                      } else {
                        asio::error_code ignored;
                        socket_.close(ignored);
                      }
                    });
}

}  // namespace ibis::tests
