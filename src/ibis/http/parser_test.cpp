#include "ibis/http/parser.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <random>            // for mt19937_64

#include "ibis/http/serialize.hpp"  // for append_response

namespace ibis::http {
namespace {

constexpr parse_limits limits{512, 64};

parse_progress parse_request_text(const std::string& text, request& out) {
  request_parser parser(limits);
  const parse_progress progress = parser.feed(text);
  if (progress.state == parse_state::complete) {
    out = parser.take();
  }
  return progress;
}

}  // namespace

TEST_CASE("A request is parsed completely and the bytes after it are not consumed") {
  request value;
  const std::string first =
      "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz";
  const parse_progress progress = parse_request_text(first + "GET / HTTP/1.1", value);
  CHECK(progress.state == parse_state::complete);
  CHECK(progress.consumed == first.size());
  CHECK(value.method == "POST");
  CHECK(value.target == "/a/b?c=d");
  CHECK(value.body == "xyz");
  CHECK(find_field(value.fields, "hOST").value_or("") == "h");
}

TEST_CASE("A chunked body is decoded") {
  request value;
  const auto progress = parse_request_text(
      "POST / HTTP/1.1\r\nTransfer-Encoding: "
      "chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n",
      value);
  CHECK(progress.state == parse_state::complete);
  CHECK(value.body == "abc");
}

TEST_CASE("A request parses the same for any segmentation of its bytes") {
  const std::string text =
      "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
  for (std::size_t step = 1; step < text.size(); ++step) {
    request_parser parser(limits);
    std::string pending;
    parse_state state = parse_state::need_more;
    for (std::size_t at = 0; at < text.size(); at += step) {
      pending += text.substr(at, step);
      const parse_progress progress = parser.feed(pending);
      pending.erase(0, progress.consumed);
      state = progress.state;
    }
    REQUIRE(state == parse_state::complete);
    CHECK(parser.take().body == "hello world");
  }
}

TEST_CASE("Requests that allow request smuggling are malformed") {
  const std::vector<std::string> texts{
      "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
      "chunked\r\n\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
      "GET / HTTP/1.1\r\nHost : h\r\n\r\n",
      "GET / HTTP/1.1\r\nA: b\n\r\nHost: h\r\n\r\n",
      "GET  / HTTP/1.1\r\n\r\n",
      "\x01\x02\x03\r\n\r\n"};
  for (const std::string& text : texts) {
    request value;
    INFO(text);
    CHECK(parse_request_text(text, value).state == parse_state::malformed);
  }
}

// Guards against bytes of a body that are run as further requests, because the reader
// ignores a transfer coding that it does not know.
TEST_CASE("A message whose transfer coding is not chunked alone is never complete") {
  struct coding_case {
    std::string fields;
    parse_state request_state;
  };
  const std::vector<coding_case> cases{
      {"Transfer-Encoding: gzip\r\n", parse_state::malformed},
      {"Transfer-Encoding: identity\r\n", parse_state::malformed},
      {"Transfer-Encoding: xchunked\r\n", parse_state::malformed},
      {"Transfer-Encoding: chunked, gzip\r\n", parse_state::malformed},
      {"Transfer-Encoding:\r\n", parse_state::malformed},
      {"Transfer-Encoding: chunked, chunked\r\n", parse_state::malformed},
      {"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
       parse_state::malformed},
      {"TRANSFER-encoding:\tGZIP ,\r\n", parse_state::malformed},
      {"Transfer-Encoding: gzip, chunked\r\n", parse_state::unsupported_coding},
      {"Transfer-Encoding: gzip\r\nTransfer-Encoding: Chunked\r\n",
       parse_state::unsupported_coding}};
  const std::string body = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const coding_case& tested : cases) {
    INFO(tested.fields);
    request value;
    CHECK(
        parse_request_text("POST / HTTP/1.1\r\n" + tested.fields + "\r\n" + body, value)
            .state == tested.request_state);
    response_parser parser(limits, false);
    const parse_progress progress =
        parser.feed("HTTP/1.1 200 OK\r\n" + tested.fields + "\r\n" + body);
    CHECK(progress.state == tested.request_state);
  }
}

TEST_CASE("A chunked coding is recognized in any case and list form") {
  const std::string body = "\r\n3\r\nabc\r\n0\r\n\r\n";
  for (const char* coding : {"chunked", "Chunked", "\tchunked\t"}) {
    INFO(coding);
    request value;
    const auto progress = parse_request_text(
        std::string("POST / HTTP/1.1\r\nTransfer-Encoding: ") + coding + "\r\n" + body,
        value);
    CHECK(progress.state == parse_state::complete);
    CHECK(value.body == "abc");
  }
}

TEST_CASE("A transfer coding in HTTP/1.0 is malformed") {
  request value;
  CHECK(parse_request_text("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "0\r\n\r\n",
                           value)
            .state == parse_state::malformed);
}

// Guards against trailer fields that are taken for header fields, and so for what the
// sender says of the message.
TEST_CASE("Trailer fields are dropped") {
  const std::string body =
      "Transfer-Encoding: chunked\r\nA: 1\r\n\r\n"
      "1\r\nx\r\n0\r\nX-Request-Id: other\r\nServer-Leaving: 1\r\n\r\n";
  request value;
  REQUIRE(parse_request_text("POST / HTTP/1.1\r\n" + body, value).state ==
          parse_state::complete);
  CHECK(value.fields.size() == 2);
  response_parser parser(limits, false);
  REQUIRE(parser.feed("HTTP/1.1 200 OK\r\n" + body).state == parse_state::complete);
  CHECK(parser.take().fields.size() == 2);
}

TEST_CASE("A few empty lines before a request are passed over") {
  const std::string text = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  request value;
  for (const char* lines : {"\r\n", "\r\n\r\n\r\n\r\n"}) {
    const auto progress = parse_request_text(lines + text, value);
    CHECK(progress.state == parse_state::complete);
    CHECK(progress.consumed == std::string(lines).size() + text.size());
    CHECK(value.target == "/a");
  }
  CHECK(parse_request_text("\r\n\r\n\r\n\r\n\r\n" + text, value).state ==
        parse_state::malformed);
  CHECK(parse_request_text("\n" + text, value).state == parse_state::malformed);
}

TEST_CASE("Empty lines before a request are passed over byte by byte") {
  request_parser parser(limits);
  std::string pending;
  parse_state state = parse_state::need_more;
  for (const char byte : std::string("\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n")) {
    pending += byte;
    const parse_progress progress = parser.feed(pending);
    pending.erase(0, progress.consumed);
    state = progress.state;
  }
  CHECK(state == parse_state::complete);
}

TEST_CASE("Each exceeded size limit has its own parse state") {
  request value;
  const std::string long_header =
      "GET / HTTP/1.1\r\nA: " + std::string(600, 'x') + "\r\n\r\n";
  CHECK(parse_request_text(long_header, value).state == parse_state::header_too_large);
  const std::string long_body =
      "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n" + std::string(65, 'x');
  CHECK(parse_request_text(long_body, value).state == parse_state::body_too_large);
}

TEST_CASE("A response without a length ends with a clean close of the connection") {
  response_parser parser(limits, false);
  CHECK(parser.feed("HTTP/1.1 200 OK\r\n\r\nabc").state == parse_state::need_more);
  CHECK(parser.finish());
  const response value = parser.take();
  CHECK(value.body == "abc");
  CHECK_FALSE(value.keep_alive);
}

TEST_CASE("A truncated response is not complete") {
  response_parser parser(limits, false);
  parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc");
  CHECK_FALSE(parser.finish());
}

// Guards against a leaf that stops in the middle of its response's head and closes:
// what has arrived must not pass as a whole response, with an empty or a short body.
TEST_CASE("A response that ends anywhere in its head or body is not complete") {
  const std::string head = "HTTP/1.1 200 OK\r\nServer: a\r\n";
  const std::vector<std::string> whole_responses{
      head + "Content-Length: 12\r\nKeep-Alive: timeout=5\r\n\r\nabcdefghijkl",
      head + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\nA: b\r\n\r\n",
      head + "Content-Length: 0\r\n\r\n", "HTTP/1.1 204 No Content\r\nA: b\r\n\r\n",
      "HTTP/1.1 503 \r\nA: b\r\nContent-Length: 2\r\n\r\n{}"};
  for (const std::string& text : whole_responses) {
    for (std::size_t size = 0; size < text.size(); ++size) {
      INFO(text.substr(0, size));
      response_parser parser(limits, false);
      CHECK(parser.feed(text.substr(0, size)).state == parse_state::need_more);
      CHECK_FALSE(parser.finish());
    }
  }
  // Without a length the body ends with the connection, but the head must be whole.
  const std::string without_length = head + "\r\n";
  for (std::size_t size = 0; size < without_length.size(); ++size) {
    INFO(without_length.substr(0, size));
    response_parser parser(limits, false);
    parser.feed(without_length.substr(0, size));
    CHECK_FALSE(parser.finish());
  }
}

// Guards against bytes of a leaf in trouble that reach a client as an answer.
TEST_CASE("A response whose status is outside of 100 to 599 is malformed") {
  for (const char* status : {"000", "001", "042", "099", "600", "999", "20", "2000",
                             "2 0", "+20", "-20", "2x0",
                             "\x01"
                             "00"}) {
    INFO(status);
    response_parser parser({1024, 64}, false);
    CHECK(parser
              .feed("HTTP/1.1 " + std::string(status) +
                    " Odd\r\nContent-Length: 0\r\n\r\n")
              .state == parse_state::malformed);
  }
  for (const char* status : {"200", "299", "404", "599"}) {
    INFO(status);
    response_parser parser({1024, 64}, false);
    CHECK(parser
              .feed("HTTP/1.1 " + std::string(status) +
                    " Good\r\nContent-Length: 0\r\n\r\n")
              .state == parse_state::complete);
  }
}

TEST_CASE("A response with an odd byte in its status line or in a value is malformed") {
  const std::string rest = "Content-Length: 0\r\n\r\n";
  std::vector<std::string> texts{
      "HTTP/1.1  200 OK\r\n" + rest,     "HTTP/1.1\t200 OK\r\n" + rest,
      "HTTP/1.1 200OK\r\n" + rest,       "HTTP/1.1 200\tOK\r\n" + rest,
      "HTTP/2.0 200 OK\r\n" + rest,      "HTTP/0.9 200 OK\r\n" + rest,
      "http/1.1 200 OK\r\n" + rest,      "HTTP/1.1 200 OK\n" + rest,
      " HTTP/1.1 200 OK\r\n" + rest,     "\r\nHTTP/1.1 200 OK\r\n" + rest,
      "HTTP/1.1 200 OK\r\r\n" + rest,    "HTTP/1.1 200 OK\r\nX: a\n" + rest,
      "HTTP/1.1 200 OK\r\nX\r\n" + rest, "HTTP/1.1 200 OK\r\n: x\r\n" + rest};
  constexpr char first_printable = 0x20;
  constexpr char delete_byte = 0x7f;
  for (char byte = 0; byte < first_printable; ++byte) {
    if (byte != '\t') {
      texts.push_back(std::string("HTTP/1.1 200 O") + byte + "K\r\n" + rest);
      texts.push_back(std::string("HTTP/1.1 200 OK\r\nX: a") + byte + "b\r\n" + rest);
    }
  }
  texts.push_back(std::string("HTTP/1.1 200 O") + delete_byte + "K\r\n" + rest);
  texts.push_back(std::string("HTTP/1.1 200 OK\r\nX: a") + delete_byte + "b\r\n" +
                  rest);
  for (const std::string& text : texts) {
    INFO(text);
    response_parser parser({1024, 64}, false);
    CHECK(parser.feed(text).state == parse_state::malformed);
  }
}

/// @return The state after the byte that ends the response or breaks it off.
parse_state feed_bytewise(const std::string& text) {
  response_parser parser({1024, 64}, false);
  std::string input;
  parse_progress progress;
  for (std::size_t i = 0; i < text.size() && progress.state == parse_state::need_more;
       ++i) {
    input += text[i];
    progress = parser.feed(input);
    input.erase(0, progress.consumed);
  }
  return progress.state;
}

/// Names of fields that hold a blank or a control byte, also where a field begins with
/// one, which looks like the folded line of the field before.
std::vector<std::string> odd_field_names() {
  std::vector<std::string> names{"",       "Content Length", "X-Odd ",
                                 " X-Odd", "\tX-Odd",        "X-Odd\t"};
  constexpr char first_printable = 0x21;
  constexpr char delete_byte = 0x7f;
  for (char byte = 0; byte < first_printable; ++byte) {
    names.push_back(std::string("X-") + byte + "Odd");
    names.push_back(std::string(1, byte) + "X-Odd");
    names.push_back(std::string("X-Odd") + byte);
  }
  names.push_back(std::string("X-") + delete_byte + "Odd");
  return names;
}

TEST_CASE("A response with a blank or a control byte in a field's name is malformed") {
  const std::string start = "HTTP/1.1 200 OK\r\n";
  for (const std::string& name : odd_field_names()) {
    INFO(name);
    const std::string odd = name + ": 1\r\n";
    const std::string length = "Content-Length: 2\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    for (const std::string& text :
         {start + odd + length + "\r\nab", start + length + odd + "\r\nab",
          start + chunked + odd + "\r\n2\r\nab\r\n0\r\n\r\n",
          start + chunked + "\r\n2\r\nab\r\n0\r\n" + odd + "\r\n",
          start + chunked + "\r\n2\r\nab\r\n0\r\nX-First: 1\r\n" + odd + "\r\n",
          "HTTP/1.1 103 Early\r\n" + odd + "\r\n",
          "HTTP/1.1 103 Early\r\nX-First: 1\r\n" + odd + "\r\n"}) {
      INFO(text);
      response_parser parser({1024, 64}, false);
      CHECK(parser.feed(text).state == parse_state::malformed);
      CHECK(feed_bytewise(text) == parse_state::malformed);
    }
  }
}

TEST_CASE("Blanks after a line's end in a body or around a value are no folded lines") {
  for (const std::string& text : {
           std::string("HTTP/1.1 200 OK\r\nX: \ta b \t\r\nContent-Length: 8\r\n\r\n"
                       "\r\n a\r\n\tb"),
           std::string("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n\r\n\r\n a b"),
           std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "7\r\n\r\n a\r\n \r\n0\r\nX-Last:  1 \r\nY: \r\n\r\n"),
           std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
       }) {
    INFO(text);
    response_parser parser({1024, 64}, false);
    CHECK(parser.feed(text).state == parse_state::complete);
    CHECK(feed_bytewise(text) == parse_state::complete);
  }
}

TEST_CASE("A response to HEAD has no body") {
  response_parser parser(limits, true);
  const auto progress = parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
  CHECK(progress.state == parse_state::complete);
}

TEST_CASE("Connection-specific and excluded fields are not forwarded") {
  const header_fields forwarded = end_to_end_fields({{"Host", "h"},
                                                     {"Connection", "close, X-Hop"},
                                                     {"X-Hop", "1"},
                                                     {"Keep-Alive", "timeout=5"},
                                                     {"Transfer-Encoding", "chunked"},
                                                     {"X-Own", "2"},
                                                     {"X-Id", "3"}},
                                                    {"x-own"});
  REQUIRE(forwarded.size() == 2);
  CHECK(forwarded[0].name == "Host");
  CHECK(forwarded[1].name == "X-Id");
}

TEST_CASE("Randomly mutated messages never crash the parsers") {
  std::mt19937_64 random(20261204);
  const std::string originals[] = {
      "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
      "POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=5\r\n\r\nhello"};
  for (int round = 0; round < 20000; ++round) {
    std::string text = originals[random() % 3];
    for (std::size_t i = random() % 4 + 1; i > 0; --i) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    request_parser requests(limits);
    response_parser responses(limits, false);
    if (requests.feed(text).state == parse_state::complete) {
      requests.take();
    }
    if (responses.feed(text).state == parse_state::need_more) {
      responses.finish();
    }
  }
  SUCCEED();
}

}  // namespace ibis::http
