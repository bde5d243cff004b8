#include "ibis/http/percent_encoding.hpp"

#include <charconv>  // for from_chars
#include <cstddef>   // for size_t
#include <optional>  // for optional

namespace ibis::http {
namespace {

constexpr std::size_t escape_size = 3;  // As in %2F.

bool is_unreserved(char character) {
  const bool letter =
      (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
  const bool digit = character >= '0' && character <= '9';
  return letter || digit ||
         std::string_view("-._~").find(character) != std::string_view::npos;
}

/// @return The byte of the escape sequence at the start of a text, or nothing if there
/// is none.
std::optional<char> read_escape(std::string_view text) {
  if (text.size() < escape_size || text.front() != '%') {
    return std::nullopt;
  }
  constexpr int hexadecimal = 16;
  const std::string digits(text.substr(1, escape_size - 1));
  const char* const end = digits.data() + digits.size();  // NOLINT
  unsigned char byte = 0;
  const auto parsed = std::from_chars(digits.data(), end, byte, hexadecimal);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == end;
  return valid ? std::optional(static_cast<char>(byte)) : std::nullopt;
}

}  // namespace

std::string percent_encode(std::string_view text) {
  constexpr std::string_view digits = "0123456789ABCDEF";
  constexpr unsigned digit_bits = 4;
  constexpr unsigned digit_mask = 0xf;
  std::string encoded;
  for (const char character : text) {
    if (is_unreserved(character)) {
      encoded += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    encoded += '%';
    encoded += digits[byte >> digit_bits];
    encoded += digits[byte & digit_mask];
  }
  return encoded;
}

std::string percent_decode(std::string_view text) {
  std::string decoded;
  while (!text.empty()) {
    const auto byte = read_escape(text);
    decoded += byte.value_or(text.front());
    text.remove_prefix(byte ? escape_size : 1);
  }
  return decoded;
}

}  // namespace ibis::http
