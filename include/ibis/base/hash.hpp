/// Hashes of names and contents. Their values are the same on every VM and in every
/// release.
#pragma once

#include <cstdint>      // for uint64_t
#include <string>       // for string
#include <string_view>  // for string_view

namespace ibis::base {

/// @return The 64-bit XXH3 hash of the text; each seed gives a different hash function.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// @return The 128-bit XXH3 hash of the bytes as 32 lower-case hexadecimal digits.
std::string content_hash(std::string_view bytes);

}  // namespace ibis::base
