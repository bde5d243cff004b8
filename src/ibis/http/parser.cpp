#include "ibis/http/parser.hpp"

#include <algorithm>                          // for min
#include <boost/asio/buffer.hpp>              // for buffer
#include <boost/beast/http/basic_parser.hpp>  // for basic_parser
#include <utility>                            // for move

#include "ibis/http/framing.hpp"  // for determine_framing

namespace ibis::http {
namespace {

namespace beast = boost::beast;
namespace beast_http = boost::beast::http;
using boost_error = boost::system::error_code;

std::string to_std_string(beast::string_view text) {
  return {text.data(), text.size()};
}

/// Builds a message from the callbacks of Boost.Beast's parser. `Message` is `request`
/// or `response`.
template <bool IsRequest, typename Message>
class message_builder : public beast_http::basic_parser<IsRequest> {
 public:
  Message message;
  body_framing framing = body_framing::unstated;
  std::size_t trailer_fields = 0;

 private:
  using verb = beast_http::verb;
  using field = beast_http::field;
  using text = beast::string_view;
  using optional_length = boost::optional<std::uint64_t>;

  // The callbacks' names are those of the base class.
  void on_request_impl(verb /*known*/, text method, text target, int version,
                       boost_error& /*ec*/) override {
    http_1_0_ = version == http_1_0_version;
    if constexpr (IsRequest) {
      message.method = to_std_string(method);
      message.target = to_std_string(target);
    }
  }
  void on_response_impl(int status, text reason, int version,
                        boost_error& ec) override {
    http_1_0_ = version == http_1_0_version;
    // Others are invalid (RFC 9110, section 15). The base class takes any three digits.
    constexpr int first_status = 100;
    constexpr int last_status = 599;
    if (status < first_status || status > last_status) {
      ec = beast_http::error::bad_status;
      return;
    }
    if constexpr (!IsRequest) {
      message.status = static_cast<unsigned>(status);
      message.reason = to_std_string(reason);
    }
  }
  void on_field_impl(field /*known*/, text name, text value,
                     boost_error& /*ec*/) override {
    // Trailer fields are not merged into the header (RFC 9110, section 6.5.1).
    if (head_read_) {
      ++trailer_fields;
      return;
    }
    message.fields.push_back({to_std_string(name), to_std_string(value)});
  }
  void on_header_impl(boost_error& ec) override {
    head_read_ = true;
    framing = determine_framing(message.fields, http_1_0_);
    // The base class ignores codings that it does not know.
    const bool agreed = this->chunked() == (framing == body_framing::chunked);
    if (!agreed || framing == body_framing::invalid) {
      ec = beast_http::error::bad_transfer_encoding;
    }
  }
  void on_body_init_impl(const optional_length& length, boost_error& /*ec*/) override {
    // The announced length may be false.
    constexpr std::uint64_t max_reserved_bytes = 64ULL * 1024;
    if (length) {
      message.body.reserve(static_cast<std::size_t>(
          std::min<std::uint64_t>(*length, max_reserved_bytes)));
    }
  }
  std::size_t on_body_impl(text body, boost_error& /*ec*/) override {
    message.body.append(body.data(), body.size());
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/, text /*extensions*/,
                            boost_error& /*ec*/) override {}
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, text body,
                                 boost_error& ec) override {
    return on_body_impl(body, ec);
  }
  void on_finish_impl(boost_error& /*ec*/) override {}

  static constexpr int http_1_0_version = 10;  // As the base class states versions.

  bool http_1_0_ = false;
  bool head_read_ = false;
};

bool starts_with_blank(std::string_view line) {
  return !line.empty() && (line.front() == ' ' || line.front() == '\t');
}

constexpr std::string_view line_end = "\r\n";

/// Whether one of the lines continues the line before, which is obsolete (RFC 9112,
/// section 5.2).
bool has_folded_line(std::string_view lines) {
  for (std::size_t end = lines.find(line_end); end != std::string_view::npos;
       end = lines.find(line_end, end + 1)) {
    if (starts_with_blank(lines.substr(end + line_end.size()))) {
      return true;
    }
  }
  return false;
}

/// @return The part of parsed bytes that belongs to a head.
/// @param continued Whether the bytes before them belong to it as well.
std::string_view take_head(std::string_view parsed, bool continued) {
  if (continued && parsed.substr(0, line_end.size()) == line_end) {
    return {};
  }
  const std::size_t end = parsed.find("\r\n\r\n");
  return parsed.substr(0, end);
}

/// @return The last lines before the empty line that ends a trailer.
std::string_view take_last_lines(std::string_view parsed, std::size_t count) {
  parsed.remove_suffix(line_end.size());
  std::size_t start = parsed.size();
  for (; count > 0 && start > line_end.size(); --count) {
    const std::size_t end_before = parsed.rfind(line_end, start - line_end.size() - 1);
    start = end_before == std::string_view::npos ? 0 : end_before + line_end.size();
  }
  return parsed.substr(start);
}

template <typename Parser>
void configure(Parser& parser, const parse_limits& limits) {
  parser.eager(true);
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
}

parse_state state_for(const boost_error& ec) {
  if (ec == beast_http::error::need_more) {
    return parse_state::need_more;
  }
  if (ec == beast_http::error::header_limit) {
    return parse_state::header_too_large;
  }
  return ec == beast_http::error::body_limit ? parse_state::body_too_large
                                             : parse_state::malformed;
}

template <typename Parser>
parse_progress feed_parser(Parser& parser, std::string_view bytes) {
  boost_error ec;
  const std::size_t consumed =
      parser.put(boost::asio::const_buffer(bytes.data(), bytes.size()), ec);
  if (ec) {
    const bool unsupported = parser.framing == body_framing::unsupported_coding;
    return {unsupported ? parse_state::unsupported_coding : state_for(ec), consumed};
  }
  return {parser.is_done() ? parse_state::complete : parse_state::need_more, consumed};
}

}  // namespace

struct request_parser::implementation {
  message_builder<true, request> beast_parser;
  std::size_t empty_lines = 0;  ///< Passed over before the request.
};

request_parser::request_parser(const parse_limits& limits)
    : parser_(std::make_unique<implementation>()) {
  configure(parser_->beast_parser, limits);
}

request_parser::request_parser(request_parser&&) noexcept = default;
request_parser& request_parser::operator=(request_parser&&) noexcept = default;
request_parser::~request_parser() = default;

parse_progress request_parser::feed(std::string_view bytes) {
  const std::size_t skipped = started() ? 0 : skip_empty_lines(bytes);
  const std::string_view rest = bytes.substr(skipped);
  if (!started() && (rest.empty() || rest == "\r")) {
    return {parse_state::need_more, skipped};
  }
  parse_progress progress = feed_parser(parser_->beast_parser, rest);
  progress.consumed += skipped;
  return progress;
}

std::size_t request_parser::skip_empty_lines(std::string_view bytes) {
  constexpr std::string_view empty_line = "\r\n";
  constexpr std::size_t max_empty_lines = 4;
  std::size_t skipped = 0;
  while (bytes.substr(skipped, empty_line.size()) == empty_line &&
         parser_->empty_lines < max_empty_lines) {
    ++parser_->empty_lines;
    skipped += empty_line.size();
  }
  return skipped;
}

bool request_parser::started() const {
  return parser_->beast_parser.got_some();
}

bool request_parser::header_complete() const {
  return parser_->beast_parser.is_header_done();
}

bool request_parser::expects_continue() const {
  const auto expect = find_field(parser_->beast_parser.message.fields, "expect");
  return expect && field_names_equal(*expect, "100-continue");
}

request request_parser::take() {
  request taken = std::move(parser_->beast_parser.message);
  taken.keep_alive = parser_->beast_parser.keep_alive();
  return taken;
}

struct response_parser::implementation {
  message_builder<false, response> beast_parser;
};

response_parser::response_parser(const parse_limits& limits, bool for_head_request)
    : parser_(std::make_unique<implementation>()) {
  configure(parser_->beast_parser, limits);
  parser_->beast_parser.skip(for_head_request);
}

response_parser::response_parser(response_parser&&) noexcept = default;
response_parser& response_parser::operator=(response_parser&&) noexcept = default;
response_parser::~response_parser() = default;

parse_progress response_parser::feed(std::string_view bytes) {
  const bool continued = started();
  const bool in_head = !header_complete();
  const parse_progress progress = feed_parser(parser_->beast_parser, bytes);
  const std::string_view parsed = bytes.substr(0, progress.consumed);
  const bool folded =
      (in_head && has_folded_line(take_head(parsed, continued))) ||
      (progress.state == parse_state::complete && has_folded_trailer(parsed));
  return folded ? parse_progress{parse_state::malformed, progress.consumed} : progress;
}

bool response_parser::has_folded_trailer(std::string_view parsed) const {
  const std::size_t fields = parser_->beast_parser.trailer_fields;
  if (fields == 0) {
    return false;
  }
  // The first line of a trailer starts a field. So if there are more lines than fields,
  // one of the last lines continues a field.
  const std::string_view lines = take_last_lines(parsed, fields);
  return starts_with_blank(lines) || has_folded_line(lines);
}

bool response_parser::finish() {
  if (!parser_->beast_parser.got_some()) {
    return false;
  }
  boost_error ec;
  parser_->beast_parser.put_eof(ec);
  return !ec && parser_->beast_parser.is_done();
}

bool response_parser::header_complete() const {
  return parser_->beast_parser.is_header_done();
}

bool response_parser::started() const {
  return parser_->beast_parser.got_some();
}

response response_parser::take() {
  response taken = std::move(parser_->beast_parser.message);
  taken.keep_alive = parser_->beast_parser.keep_alive();
  return taken;
}

}  // namespace ibis::http
