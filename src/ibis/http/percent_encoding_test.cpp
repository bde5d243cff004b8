#include "ibis/http/percent_encoding.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

namespace ibis::http {

TEST_CASE("All bytes but the unreserved ones are percent-encoded") {
  CHECK(percent_encode("i-09_az.AZ~") == "i-09_az.AZ~");
  CHECK(percent_encode("a b&c=d/e%?#+") == "a%20b%26c%3Dd%2Fe%25%3F%23%2B");
  CHECK(percent_encode("\xc3\xa9\x01\x7f") == "%C3%A9%01%7F");
  CHECK(percent_encode("").empty());
}

TEST_CASE("An encoded text is decoded, and an invalid escape kept") {
  std::string all;
  for (int byte = 0; byte < 256; ++byte) {
    all += static_cast<char>(byte);
  }
  CHECK(percent_decode(percent_encode(all)) == all);
  CHECK(percent_decode("%2f%2F") == "//");
  for (const char* invalid : {"%", "%2", "%g0", "%-1", "% 1"}) {
    CHECK(percent_decode(invalid) == invalid);
  }
}

}  // namespace ibis::http
