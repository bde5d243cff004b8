#include "ibis/base/hash.hpp"

#include <xxhash.h>  // for XXH3_64bits_withSeed, XXH3_128bits

#include <array>   // for array
#include <cstdio>  // for snprintf

namespace ibis::base {

std::uint64_t hash64(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string content_hash(std::string_view bytes) {
  constexpr std::size_t hex_digits = 32;
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  std::array<char, hex_digits + 1> text{};
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return {text.data(), hex_digits};
}

}  // namespace ibis::base
