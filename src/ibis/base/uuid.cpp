#include "ibis/base/uuid.hpp"

#include <array>    // for array
#include <cctype>   // for isxdigit
#include <cstdint>  // for uint64_t
#include <cstdio>   // for snprintf

namespace ibis::base {
namespace {

constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_position = 14;
constexpr std::size_t variant_position = 19;
constexpr int hex_base = 16;

bool is_dash_position(std::size_t position) {
  constexpr std::array<std::size_t, 4> dashes{8, 13, 18, 23};
  for (const std::size_t dash : dashes) {
    if (dash == position) {
      return true;
    }
  }
  return false;
}

bool has_uuid_form(std::string_view text) {
  if (text.size() != uuid_length) {
    return false;
  }
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool is_valid = is_dash_position(i)
                              ? text[i] == '-'
                              : std::isxdigit(static_cast<unsigned char>(text[i])) != 0;
    if (!is_valid) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::optional<milliseconds> uuid_v7_time(std::string_view text) {
  if (!has_uuid_form(text) || text[version_position] != '7') {
    return std::nullopt;
  }
  const std::string_view variants = "89abAB";
  if (variants.find(text[variant_position]) == std::string_view::npos) {
    return std::nullopt;
  }
  constexpr std::size_t high_digits = 8;
  constexpr std::size_t low_digits = 4;
  const std::string digits = std::string(text.substr(0, high_digits)) +
                             std::string(text.substr(high_digits + 1, low_digits));
  return milliseconds(std::stoull(digits, nullptr, hex_base));
}

std::string make_uuid_v7(milliseconds unix_time, std::uint64_t random_high,
                         std::uint64_t random_low) {
  constexpr std::uint64_t low_16 = 0xffff;
  constexpr std::uint64_t low_12 = 0x0fff;
  constexpr std::uint64_t low_14 = 0x3fff;
  constexpr std::uint64_t low_48 = 0xffffffffffff;
  constexpr std::uint64_t variant = 0x8000;
  constexpr unsigned bits_16 = 16;
  const auto time = static_cast<std::uint64_t>(unix_time.count());
  constexpr std::size_t buffer_size = 64;
  std::array<char, buffer_size> text{};
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
  std::snprintf(
      text.data(), text.size(), "%08llx-%04llx-7%03llx-%04llx-%012llx",
      static_cast<unsigned long long>(time >> bits_16),
      static_cast<unsigned long long>(time & low_16),
      static_cast<unsigned long long>(random_high & low_12),
      static_cast<unsigned long long>(variant | (random_high >> bits_16 & low_14)),
      static_cast<unsigned long long>(random_low & low_48));
  return {text.data(), uuid_length};
}

}  // namespace ibis::base
