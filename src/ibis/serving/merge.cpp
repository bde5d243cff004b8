#include "ibis/serving/merge.hpp"

#include <algorithm>  // for min, partial_sort
#include <array>      // for array
#include <cstdint>    // for uint64_t
#include <cstring>    // for memcpy

namespace ibis::serving {
namespace {

/// A record as two integers that compare in the same order as its bytes.
using record_key = std::array<std::uint64_t, 2>;

std::uint64_t big_endian(const char* bytes) {
  std::uint64_t value = 0;
  std::memcpy(&value, bytes, sizeof value);
  return __builtin_bswap64(value);
}

void append_big_endian(std::string& out, std::uint64_t value) {
  const std::uint64_t swapped = __builtin_bswap64(value);
  std::array<char, sizeof swapped> bytes{};
  std::memcpy(bytes.data(), &swapped, sizeof swapped);
  out.append(bytes.data(), bytes.size());
}

std::vector<record_key> read_records(const std::vector<std::string_view>& parts) {
  std::size_t total = 0;
  for (const std::string_view part : parts) {
    total += part.size() / record_bytes;
  }
  std::vector<record_key> records;
  records.reserve(total);
  for (std::string_view part : parts) {
    for (; part.size() >= record_bytes; part.remove_prefix(record_bytes)) {
      const std::string_view low = part.substr(sizeof(std::uint64_t));
      records.push_back({big_endian(part.data()), big_endian(low.data())});
    }
  }
  return records;
}

}  // namespace

std::string merge_records(const std::vector<std::string_view>& parts, std::size_t top) {
  std::vector<record_key> records = read_records(parts);
  const std::size_t count = std::min(top, records.size());
  const auto last = records.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(records.begin(), last, records.end(), std::greater<>());
  std::string body;
  body.reserve(count * record_bytes);
  for (auto record = records.begin(); record != last; ++record) {
    append_big_endian(body, (*record)[0]);
    append_big_endian(body, (*record)[1]);
  }
  return body;
}

}  // namespace ibis::serving
