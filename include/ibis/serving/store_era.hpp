/// Recognizes that the store was restored from an older copy of its data. What is known
/// of its changes then no longer follows from their numbers: each topic is listed
/// again, and this node's record may be gone.
#pragma once

#include <cstdint>  // for uint64_t

#include "ibis/serving/state.hpp"  // for context, topic_state

namespace ibis::serving {

/// How the era of an answer of the store relates to the latest one that is known.
enum class era_order : std::uint8_t {
  current,
  earlier,  ///< The answer arrives late, or comes from an outdated replica.
  later,    ///< The store was restored. All topics are being listed again.
};

/// Compares the era of an answer of the store with the latest one, and lists all topics
/// again if it is later. An answer is to be used only if it is current.
/// @param era 0 if the answer states none, which counts as current.
era_order note_store_era(std::uint64_t era, context& ctx);

/// @return A revision of an answer that is current, with its era.
store_revision complete_revision(store_revision revision, const context& ctx);

/// Lists a topic again from its first page, in place of the call in flight.
void list_again(store_topic topic, context& ctx);

}  // namespace ibis::serving
