#include "ibis/base/error.hpp"

namespace ibis::base {

std::string_view to_string(error_code code) {
  switch (code) {
    case error_code::invalid_input:
      return "invalid_input";
    case error_code::not_found:
      return "not_found";
    case error_code::conflict:
      return "conflict";
    case error_code::unavailable:
      return "unavailable";
    case error_code::timeout:
      return "timeout";
    case error_code::refused:
      return "refused";
    case error_code::protocol:
      return "protocol";
    case error_code::too_large:
      return "too_large";
  }
  return "unknown";
}

std::string describe(const error& value) {
  std::string text = value.step;
  if (!value.peer.empty()) {
    text += " (" + value.peer + ")";
  }
  text += ": ";
  text += to_string(value.code);
  if (!value.detail.empty()) {
    text += ": " + value.detail;
  }
  return text;
}

}  // namespace ibis::base
