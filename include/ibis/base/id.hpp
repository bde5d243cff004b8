/// Strongly typed integer identifiers: ids of different kinds do not convert into each
/// other.
#pragma once

#include <compare>     // for strong_ordering
#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <functional>  // for hash

namespace ibis::base {

/// An integer identifier. Zero means "no id" and converts to false.
/// @tparam Tag Any type, which need not be defined; it only tells the kinds apart.
template <typename Tag>
struct id {
  std::uint64_t value = 0;
  auto operator<=>(const id&) const = default;
  explicit operator bool() const { return value != 0; }
};

/// A caller's request (query or submit) within an entry.
using request_id = id<struct request_tag>;
/// A caller that waits for an answer.
using caller_id = id<struct caller_tag>;
/// A call from an entry to a relay for one block of replica groups.
using block_call_id = id<struct block_call_tag>;
/// One attempt of a request at a leaf; retries and hedges are attempts of their own.
using attempt_id = id<struct attempt_tag>;
/// A connection to a leaf.
using connection_id = id<struct connection_tag>;
/// A call to the platform's object API.
using platform_call_id = id<struct platform_call_tag>;

}  // namespace ibis::base

template <typename Tag>
struct std::hash<ibis::base::id<Tag>> {
  std::size_t operator()(ibis::base::id<Tag> id) const noexcept {
    return std::hash<std::uint64_t>{}(id.value);
  }
};
