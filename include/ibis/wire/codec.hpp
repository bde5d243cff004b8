/// Encodes messages as length-prefixed FlatBuffers frames and decodes them. Every frame
/// is verified before it is read.
#pragma once

#include <cstddef>   // for size_t
#include <cstdint>   // for uint8_t
#include <optional>  // for optional
#include <span>      // for span
#include <string>    // for string
#include <vector>    // for vector

#include "ibis/base/error.hpp"     // for result
#include "ibis/wire/messages.hpp"  // for message

namespace ibis::wire {

/// Size of a frame's header in bytes: four for the length of the body (little endian),
/// one for the protocol version.
constexpr std::size_t header_size = 5;
/// The largest body that is sent or accepted, in bytes.
constexpr std::size_t max_body_size = 8U * 1024 * 1024;
/// The protocol version in each header. Other versions are refused.
constexpr std::uint8_t protocol_version = 1;

/// Encodes a message as a frame: header and body, ready to be sent.
std::string encode(const message& value);

/// Checks a header.
///
/// @return The size of the body that follows, in bytes. The error is `protocol` for
/// another protocol version and `too_large` for more than `max_body_size`.
base::result<std::size_t> decode_header(
    std::span<const std::uint8_t, header_size> header);

/// Verifies and decodes a body. The error is `protocol` if it is malformed.
base::result<message> decode_body(std::span<const std::uint8_t> body);

/// Decodes all complete frames at the start of received bytes, and removes them.
///
/// @param input The received bytes; keeps those of an incomplete frame.
/// @param messages The decoded messages are added here.
/// @return The error of the first frame that is malformed; nothing after it is decoded.
std::optional<base::error> take_frames(std::vector<std::uint8_t>& input,
                                       std::vector<message>& messages);

/// Removes requests for shards that a later message cancels, together with the
/// cancellation. Use it on messages that are handled one after the other.
void remove_cancelled(std::vector<message>& messages);

}  // namespace ibis::wire
