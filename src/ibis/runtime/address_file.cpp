#include "ibis/runtime/address_file.hpp"

#include <filesystem>    // for rename
#include <fstream>       // for ofstream
#include <system_error>  // for error_code

namespace ibis::runtime {

base::result<void> write_address_file(const std::string& file,
                                      const std::vector<named_address>& addresses) {
  if (file.empty()) {
    return boost::outcome_v2::success();
  }
  const std::string temporary_path = file + ".part";
  std::ofstream out(temporary_path);
  for (const auto& [name, address] : addresses) {
    out << name << '=' << address << '\n';
  }
  out.close();
  std::error_code failure;
  if (out) {
    std::filesystem::rename(temporary_path, file, failure);
  }
  if (!out || failure) {
    return base::error{base::error_code::unavailable, "write address file", file,
                       failure ? failure.message() : "cannot be written"};
  }
  return boost::outcome_v2::success();
}

}  // namespace ibis::runtime
