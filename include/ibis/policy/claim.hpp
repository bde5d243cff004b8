/// Requests that run at most once ("submits"). Before an entry sends such a request to
/// an upstream, it claims the idempotency key by creating a claim object in the
/// platform's object store. A claim held by one entry never passes to another one
/// merely because time has passed.
#pragma once

#include <optional>       // for optional
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "ibis/policy/call.hpp"            // for call_table
#include "ibis/policy/event.hpp"           // for submit_received
#include "ibis/policy/platform_calls.hpp"  // for platform_call_table
#include "ibis/policy/query.hpp"           // for query_tuning, effective_timeout

namespace ibis::policy {

/// The state recorded in a claim object.
enum class claim_state : std::uint8_t {
  open,       ///< The owner may have sent the request to an upstream.
  abandoned,  ///< The request never ran: not sent, or refused.
  complete,   ///< The request ran, and its result is recorded.
};

/// The content of a claim object on the platform.
struct claim_record {
  std::string token;        ///< Identifies the submit that owns the claim.
  std::string fingerprint;  ///< Hash of the service, shard key and document.
  claim_state state = claim_state::open;
  std::string result;  ///< The upstream's answer as JSON text, once complete.
};

/// Serializes a claim as JSON text.
std::string write_claim(const claim_record& value);

/// Parses a claim; returns nothing if the text is not a valid claim.
std::optional<claim_record> read_claim(const std::string& bytes);

/// Returns the platform key of a claim object, "claims/PREFIX/KEY". PREFIX is the start
/// of the idempotency key, which encodes the time at which the key was created; listed
/// claims therefore come oldest first.
std::string claim_key(const std::string& idempotency_key);

/// Limits and intervals of the claim protocol.
struct claim_tuning {
  /// How long after its creation an idempotency key may be used.
  base::milliseconds key_lifetime{std::chrono::hours(24)};
  /// Tolerated difference between the clocks of the key's creator and this VM.
  base::milliseconds clock_skew{std::chrono::minutes(5)};
  base::milliseconds retry_delay{50};         ///< Between writes of a claim object.
  base::milliseconds min_dispatch_budget{5};  ///< Time left that a dispatch requires.
  /// How long after the deadline an unanswered write of the claim is still retried.
  base::milliseconds settle_timeout{std::chrono::seconds(30)};
  std::size_t max_in_flight = 500;         ///< Submits that an entry handles at once.
  std::uint32_t max_dispatch_retries = 3;  ///< After refusals before the request ran.
  base::milliseconds sweep_interval{std::chrono::seconds(5)};
};

/// How far a submit has progressed.
enum class claim_phase : std::uint8_t {
  claiming,     ///< Creating the claim object.
  taking_over,  ///< Taking over a claim object that was abandoned.
  dispatching,  ///< Waiting for the relay that the request was sent to.
  recording,    ///< Writing the result to the claim object.
  abandoning,   ///< Marking the claim object as abandoned; the request did not run.
};

/// One submit in flight.
struct submit_state {
  submit_received request;
  std::shared_ptr<const config::service> service;
  base::time_point started{};
  base::time_point deadline{};
  claim_phase phase = claim_phase::claiming;
  claim_record record;
  std::uint64_t version = 0;  ///< Version of the claim object, once known.
  std::uint32_t group = 0;    ///< Replica group that holds `shard`.
  wire::shard_index shard = 0;
  std::vector<std::string> tried_relays;
  std::uint32_t retries = 0;
  base::block_call_id call;  ///< The latest call to a relay.
  bool answered = false;     ///< Whether the caller has been answered.
};

/// An entry's submits in flight.
struct claim_table {
  claim_tuning tuning;
  std::unordered_map<base::request_id, submit_state> submits;
  base::milliseconds last_sweep_time{0};  ///< Unix time of the last sweep.
};

/// Validates a submit and starts to claim its idempotency key.
void on_submit(claim_table& claims, platform_call_table& platform,
               const query_tuning& limits, const submit_received& event, context& ctx);

/// Handles the platform's reply to a call made for a submit or for a sweep.
void on_claim_platform_reply(claim_table& claims, platform_call_table& platform,
                             call_table& calls, const query_tuning& limits,
                             const platform_call& call, const platform_replied& reply,
                             context& ctx);

/// Handles a relay's reply to a submit. The claim is completed if the request ran; the
/// next relay is tried if it certainly did not; otherwise its outcome stays unknown.
void on_submit_reply(claim_table& claims, platform_call_table& platform,
                     call_table& calls, const query_tuning& limits,
                     const call_state& call, const wire::block_reply& reply,
                     context& ctx);

/// Handles the failure of a call to a relay.
///
/// @param sent Whether the request may have reached the relay. If it may have, the
/// outcome is unknown and the request is not sent again.
void on_submit_call_failed(claim_table& claims, platform_call_table& platform,
                           call_table& calls, const query_tuning& limits,
                           const call_state& call, bool sent, context& ctx);

/// Handles the deadline of a submit, and the retry of a claim write.
void on_claim_timer(claim_table& claims, platform_call_table& platform,
                    call_table& calls, const timer& due, context& ctx);

/// Starts to remove claims whose key has expired. Without its claim, an expired key is
/// still refused because of the time that it encodes.
///
/// @param unix_time The current Unix time.
void sweep_expired_claims(claim_table& claims, platform_call_table& platform,
                          base::milliseconds unix_time, context& ctx);

}  // namespace ibis::policy
