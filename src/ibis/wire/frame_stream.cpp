#include <algorithm>  // for copy_n
#include <array>      // for array
#include <set>        // for set

#include "ibis/wire/codec.hpp"

namespace ibis::wire {
namespace {

using byte_span = std::span<const std::uint8_t>;

/// @return The size of the body that a frame's header announces.
base::result<std::size_t> read_header(byte_span bytes) {
  std::array<std::uint8_t, header_size> header{};
  std::copy_n(bytes.begin(), header_size, header.begin());
  return decode_header(header);
}

}  // namespace

std::optional<base::error> take_frames(std::vector<std::uint8_t>& input,
                                       std::vector<message>& messages) {
  std::size_t done = 0;
  std::optional<base::error> failure;
  while (!failure && input.size() - done >= header_size) {
    const byte_span rest = byte_span(input).subspan(done);
    const auto size = read_header(rest);
    if (!size) {
      failure = size.error();
      break;
    }
    if (rest.size() < header_size + size.value()) {
      break;
    }
    auto body = decode_body(rest.subspan(header_size, size.value()));
    if (body) {
      messages.push_back(std::move(body.value()));
    } else {
      failure = body.error();
    }
    done += header_size + size.value();
  }
  input.erase(input.begin(), input.begin() + static_cast<std::ptrdiff_t>(done));
  return failure;
}

void remove_cancelled(std::vector<message>& messages) {
  std::set<base::block_call_id> requested;
  std::set<base::block_call_id> removed;
  for (const message& value : messages) {
    if (const auto* request = std::get_if<shards_request>(&value)) {
      requested.insert(request->call);
    } else if (const auto* cancel = std::get_if<block_cancel>(&value)) {
      if (requested.contains(cancel->call)) {
        removed.insert(cancel->call);
      }
    }
  }
  std::erase_if(messages, [&removed](const message& value) {
    const auto* request = std::get_if<shards_request>(&value);
    const auto* cancel = std::get_if<block_cancel>(&value);
    return (request != nullptr && removed.contains(request->call)) ||
           (cancel != nullptr && removed.contains(cancel->call));
  });
}

}  // namespace ibis::wire
