/// The entry's side of a query: pins an index version, sends a request to a holder of
/// each block, merges the replies and answers the caller. The answer's outcome says
/// exactly how much of the service it covers.
#pragma once

#include <optional>       // for optional
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "ibis/policy/budget.hpp"          // for budget
#include "ibis/policy/call.hpp"            // for call_table
#include "ibis/policy/event.hpp"           // for query_received
#include "ibis/policy/latency_window.hpp"  // for latency_window
#include "ibis/policy/version_view.hpp"    // for version_view

namespace ibis::policy {

/// Settings for admission, restarts, retries and hedges of queries.
struct query_tuning {
  bool hedge = true;
  std::size_t max_in_flight = 2000;  ///< Queries in flight; for all priorities.
  double batch_share = 0.7;          ///< Share of `max_in_flight` for `batch`.
  double normal_share = 0.9;         ///< Share of `max_in_flight` for `normal`.
  std::uint32_t max_restarts = 3;
  std::uint32_t retries_per_block = 2;
  base::milliseconds restart_delay{50};  ///< Lets a newer configuration arrive.
  base::milliseconds default_hedge_delay{50};
  base::milliseconds min_hedge_delay{5};
  double hedge_quantile = 0.99;
  double hedge_factor = 2.0;       ///< Multiplies the quantile of the call latencies.
  double call_hedge_share = 0.05;  ///< Hedged calls as a share of all first calls.
  /// Bounds of the time that is reserved on each hop for the reply's way back.
  base::milliseconds min_margin{1};
  base::milliseconds max_margin{5};
  base::milliseconds retry_after{1000};  ///< Sent to a caller whose query did not run.
};

/// What a query is doing.
enum class query_phase : std::uint8_t {
  listing_versions,  ///< Asks holders for their index versions, as none is known yet.
  searching,         ///< Asks holders for hits at the pinned version.
  waiting            ///< Waits to be restarted.
};

/// The state of one block of a query.
struct query_block {
  std::vector<std::uint32_t> groups;
  std::vector<std::string> tried;               ///< Relays that were called.
  std::vector<base::block_call_id> live_calls;  ///< Calls in flight.
  std::optional<wire::block_reply> reply;
  std::uint32_t retries = 0;
  bool done = false;
};

/// A query that has not been answered yet.
struct query_state {
  base::caller_id caller;
  std::shared_ptr<const config::service> service;
  query_received request;
  base::time_point started{};
  base::time_point deadline{};
  query_phase phase = query_phase::searching;
  std::uint64_t version = 0;  ///< The pinned index version; 0 while `listing_versions`.
  std::uint32_t restarts = 0;
  std::vector<query_block> blocks;
  std::size_t unfinished_blocks = 0;
  bool answer_by_passed = false;  ///< Whether the service's `answer_by` passed.
  bool may_have_run = false;      ///< Whether any leaf may have run it so far.
};

/// Versions, latencies and budgets of one service as seen by an entry.
struct service_view {
  version_view versions;
  latency_window call_latencies;  ///< Of search calls.
  budget hedges;
  budget retries;
};

/// All state that an entry keeps for queries.
struct query_table {
  query_tuning tuning;
  std::unordered_map<base::request_id, query_state> queries;
  std::unordered_map<base::caller_id, base::request_id> by_caller;
  std::unordered_map<std::string, service_view> services;
  /// A relay whose reply shows that its configuration differs from this node's. The
  /// node reads and clears it after each reply, and may ask that relay for its
  /// configuration.
  std::optional<std::string> peer_with_other_configuration;
};

/// Admits and starts a query, or answers at once why it was not admitted.
void on_query(query_table& table, call_table& calls, const query_received& event,
              context& ctx);
/// Drops the query of a caller that disconnected and cancels its calls.
void on_caller_disconnected(query_table& table, call_table& calls,
                            base::caller_id caller, context& ctx);
/// Handles a relay's reply to a call of a query. If the reply is final, the call was
/// removed from `calls` before.
void on_query_reply(query_table& table, call_table& calls, const call_state& call,
                    wire::block_reply reply, context& ctx);
/// Handles a call that failed: retries it with another holder, or ends its block.
/// @param sent Whether the request may have reached the relay.
void on_query_call_failed(query_table& table, call_table& calls, const call_state& call,
                          base::block_call_id id, bool sent, context& ctx);
/// Handles a due timer of a query or a call.
void on_query_timer(query_table& table, call_table& calls, const timer& due,
                    context& ctx);

/// Returns the timeout of a request: the one that the caller asked for, else the
/// service's default. Returns nothing if the caller asked for more than the service
/// allows.
std::optional<base::duration> effective_timeout(
    const config::service& service, std::optional<base::milliseconds> requested);

/// Returns how much of the time left is passed to the next hop; the rest is reserved
/// for the reply's way back.
base::duration budget_for_hop(const query_tuning& tuning, base::duration left);

/// @return The number of requests in flight at which further requests of the priority
/// are refused.
std::size_t admission_limit(const query_tuning& tuning, wire::priority priority);

}  // namespace ibis::policy
