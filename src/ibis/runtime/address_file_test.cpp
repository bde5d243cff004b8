#include "ibis/runtime/address_file.hpp"

#include <unistd.h>  // for getpid

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <filesystem>        // for temp_directory_path
#include <fstream>           // for ifstream
#include <sstream>           // for stringstream

namespace ibis::runtime {

TEST_CASE("Addresses are written one a line, and nothing without a path") {
  const auto path = std::filesystem::temp_directory_path() /
                    ("ibis-addresses-" + std::to_string(::getpid()));
  REQUIRE(write_address_file(path.string(), {{"a", "127.0.0.1:1"}, {"b", "c:2"}}));
  std::stringstream text;
  text << std::ifstream(path).rdbuf();
  CHECK(text.str() == "a=127.0.0.1:1\nb=c:2\n");
  CHECK_FALSE(std::filesystem::exists(path.string() + ".part"));
  std::filesystem::remove(path);
  CHECK(write_address_file("", {}));
}

// Guards against a process that seems to have started although nobody can find it.
TEST_CASE("An address file that cannot be written is an error") {
  const auto written = write_address_file("/nowhere/addresses", {{"a", "b:1"}});
  REQUIRE_FALSE(written);
  CHECK(written.error().peer == "/nowhere/addresses");
}

}  // namespace ibis::runtime
