/// Merges the answers of the shards of a query.
#pragma once

#include <cstddef>      // for size_t
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

namespace ibis::serving {

/// Size of one record in bytes.
inline constexpr std::size_t record_bytes = 16;

/// Merges shard answers into the `top` greatest records, compared byte by byte,
/// greatest first. Duplicates are kept.
///
/// @param parts Bodies of the shard answers: records of `record_bytes` bytes each, in
/// any order. An incomplete record at the end of a body is ignored.
std::string merge_records(const std::vector<std::string_view>& parts, std::size_t top);

}  // namespace ibis::serving
