/// A file in which a process states the addresses that it has bound, so that others
/// find it when the system chose its ports.
#pragma once

#include <string>   // for string
#include <utility>  // for pair
#include <vector>   // for vector

#include "ibis/base/error.hpp"  // for result

namespace ibis::runtime {

/// A named address, such as "clients" and "10.0.0.1:8104".
using named_address = std::pair<std::string, std::string>;

/// Writes the addresses, one "name=ip:port" a line. The file appears only once
/// complete.
/// @param file An empty path writes nothing.
/// @return `unavailable` if the file cannot be written.
base::result<void> write_address_file(const std::string& file,
                                      const std::vector<named_address>& addresses);

}  // namespace ibis::runtime
