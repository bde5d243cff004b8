#include "ibis/http/framing.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

namespace ibis::http {

TEST_CASE("Without a length or a transfer coding, the framing is unstated") {
  CHECK(determine_framing({{"Host", "h"}}, false) == body_framing::unstated);
}

TEST_CASE("A length is one field of digits alone") {
  CHECK(determine_framing({{"Content-Length", "12"}}, false) == body_framing::length);
  CHECK(determine_framing({{"content-LENGTH", " 12\t"}}, true) == body_framing::length);
  for (const char* value : {"", "+1", "-1", "0x1", "1 2", "1,1", "1.0", "one"}) {
    INFO(value);
    CHECK(determine_framing({{"Content-Length", value}}, false) ==
          body_framing::invalid);
  }
  CHECK(determine_framing({{"Content-Length", "1"}, {"Content-Length", "2"}}, false) ==
        body_framing::invalid);
  CHECK(determine_framing({{"Content-Length", "1"}, {"Content-Length", "1"}}, false) ==
        body_framing::invalid);
}

TEST_CASE("Chunked is the only supported coding, in any case and list form") {
  for (const char* value :
       {"chunked", "ChunKed", "\tchunked ", ",chunked", "chunked, ,"}) {
    INFO(value);
    CHECK(determine_framing({{"Transfer-Encoding", value}}, false) ==
          body_framing::chunked);
  }
  for (const char* value : {"", ",", "gzip", "identity", "xchunked", "chunked, gzip",
                            "chunked, chunked", "chunked;q=1", "chunked gzip"}) {
    INFO(value);
    CHECK(determine_framing({{"Transfer-Encoding", value}}, false) ==
          body_framing::invalid);
  }
  CHECK(determine_framing({{"Transfer-Encoding", "gzip, chunked"}}, false) ==
        body_framing::unsupported_coding);
}

TEST_CASE("Codings of several fields are one list") {
  CHECK(determine_framing(
            {{"Transfer-Encoding", "gzip"}, {"Transfer-Encoding", "chunked"}}, false) ==
        body_framing::unsupported_coding);
  CHECK(determine_framing(
            {{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "gzip"}}, false) ==
        body_framing::invalid);
  CHECK(determine_framing({{"Transfer-Encoding", ""}, {"Transfer-Encoding", "chunked"}},
                          false) == body_framing::chunked);
}

TEST_CASE("A coding beside a length, or in HTTP/1.0, is invalid") {
  CHECK(determine_framing({{"Transfer-Encoding", "chunked"}, {"Content-Length", "3"}},
                          false) == body_framing::invalid);
  CHECK(determine_framing({{"Transfer-Encoding", "chunked"}}, true) ==
        body_framing::invalid);
}

}  // namespace ibis::http
