/// Incremental parsers of HTTP/1.1 messages, built on Boost.Beast.
#pragma once

#include <cstddef>      // for size_t
#include <cstdint>      // for uint64_t
#include <memory>       // for unique_ptr
#include <string_view>  // for string_view

#include "ibis/http/message.hpp"  // for request, response

namespace ibis::http {

/// The state of a parser after some bytes were fed to it.
enum class parse_state : std::uint8_t {
  need_more,
  complete,
  malformed,
  unsupported_coding,  ///< The body has a transfer coding beside chunked.
  header_too_large,
  body_too_large,
};

/// The result of one call of `feed`.
struct parse_progress {
  parse_state state = parse_state::need_more;
  /// Bytes used up. The caller passes the others again, followed by newly received
  /// ones.
  std::size_t consumed = 0;
};

/// The largest message that a parser accepts.
struct parse_limits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = 1 << 20;
};

/// Parses one request. Use a new parser for each request of a connection:
///
///     request_parser parser(limits);
///     const parse_progress progress = parser.feed(input);
///     input.erase(0, progress.consumed);
///     if (progress.state == parse_state::complete) handle(parser.take());
class request_parser {
 public:
  explicit request_parser(const parse_limits& limits);
  request_parser(request_parser&&) noexcept;
  request_parser& operator=(request_parser&&) noexcept;
  ~request_parser();

  /// Parses received bytes, which begin with those that the last call did not consume.
  /// A few empty lines before the request are passed over (RFC 9112, section 2.2).
  parse_progress feed(std::string_view bytes);
  /// Whether any byte of the request itself was parsed.
  [[nodiscard]] bool started() const;
  /// Whether the request line and all header fields were parsed.
  [[nodiscard]] bool header_complete() const;
  /// Whether the client waits for a "100 Continue" response before it sends the body.
  [[nodiscard]] bool expects_continue() const;
  /// Moves the request out of the parser. Call it once, after `feed` returned
  /// `complete`.
  request take();

 private:
  /// @return The size of the empty lines at the start of the bytes, up to a limit.
  std::size_t skip_empty_lines(std::string_view bytes);

  struct implementation;
  std::unique_ptr<implementation> parser_;
};

/// Parses one response. Use a new parser for each response of a connection. A response
/// with a line that continues a field is malformed: a name that begins with a blank
/// looks the same.
class response_parser {
 public:
  /// @param for_head_request Whether the response answers a HEAD request and therefore
  /// has no body, whatever length it states.
  response_parser(const parse_limits& limits, bool for_head_request);
  response_parser(response_parser&&) noexcept;
  response_parser& operator=(response_parser&&) noexcept;
  ~response_parser();

  /// Parses received bytes, which begin with those that the last call did not consume.
  parse_progress feed(std::string_view bytes);
  /// Tells the parser that the peer closed the connection cleanly (end of file).
  /// @return Whether the response is complete: one without a length ends there, while
  /// one that is shorter than its stated length is truncated.
  bool finish();
  /// Whether the status line and all header fields were parsed.
  [[nodiscard]] bool header_complete() const;
  /// Whether any byte of the response was parsed.
  [[nodiscard]] bool started() const;
  /// Moves the response out of the parser. Call it once, after `feed` returned
  /// `complete` or `finish` returned true; or, for the head of a response that broke
  /// off, once `header_complete` is true.
  response take();

 private:
  /// @param parsed Bytes that end with the response.
  [[nodiscard]] bool has_folded_trailer(std::string_view parsed) const;

  struct implementation;
  std::unique_ptr<implementation> parser_;
};

}  // namespace ibis::http
