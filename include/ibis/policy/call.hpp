/// Calls from an entry to relays: the choice among the holders of a block, which are
/// the relays that serve it, and the calls in flight.
#pragma once

#include <optional>       // for optional
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "ibis/policy/context.hpp"  // for context

namespace ibis::policy {

/// When a relay counts as unresponsive.
struct call_tuning {
  /// Consecutive calls without an answer in time after which a holder is avoided.
  std::uint32_t unresponsive_threshold = 2;
  base::milliseconds avoid_duration{500};  ///< How long it is avoided.
  /// The connection is reset each time that this many more calls went unanswered.
  std::uint32_t reset_threshold = 8;
};

/// A block request that has not had its final reply yet.
struct call_state {
  base::request_id request;
  std::size_t block = 0;
  std::string node;
  base::time_point started{};
  wire::request_kind kind = wire::request_kind::search;
};

/// How a relay answered recently, as seen by this entry.
struct peer_health {
  std::uint32_t consecutive_unanswered = 0;  ///< Calls without an answer in time.
  base::time_point avoid_until{};
};

/// All state that an entry keeps for its calls to relays.
struct call_table {
  call_tuning tuning;
  std::unordered_map<base::block_call_id, call_state> calls;
  std::unordered_map<std::string, peer_health> peers;
};

/// Chooses the nearest holder of a block that is not excluded. Unresponsive holders are
/// chosen only if there is no other.
///
/// @param key From `config::block_key`.
/// @return The node's name; nothing if all holders are excluded.
std::optional<std::string> choose_holder(const call_table& table,
                                         const std::string& key,
                                         const std::vector<std::string>& excluded,
                                         context& ctx);

/// Sends a block request to a holder; its `call` field is set to the returned id.
base::block_call_id start_call(call_table& table, const std::string& node,
                               wire::block_request request, base::request_id owner,
                               std::size_t block, context& ctx);

/// Removes a call. A reply that arrives later counts as late.
/// @return The call's state; nothing if it is not in flight.
std::optional<call_state> end_call(call_table& table, base::block_call_id id);

/// Removes a call and tells the holder to stop working on it.
void cancel_call(call_table& table, base::block_call_id id, context& ctx);

/// Records that a relay answered; it is no longer avoided.
void record_response(call_table& table, const std::string& node);
/// Records that a relay did not answer in time or could not be reached. After several
/// such calls it is avoided, then its connection is reset.
void record_unanswered_call(call_table& table, const std::string& node, context& ctx);

/// @return The ids of the calls in flight to a relay, in ascending order.
std::vector<base::block_call_id> calls_to(const call_table& table,
                                          const std::string& node);

}  // namespace ibis::policy
