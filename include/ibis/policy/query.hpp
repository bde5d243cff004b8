/// The entry's part of a query: pins a snapshot, asks the holders of all blocks, merges
/// their replies and answers the caller with a truthful label.
#pragma once

#include <optional>       // for optional
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "ibis/policy/budget.hpp"          // for budget
#include "ibis/policy/call.hpp"            // for call_part
#include "ibis/policy/event.hpp"           // for query_received
#include "ibis/policy/latency_window.hpp"  // for latency_window
#include "ibis/policy/version_view.hpp"    // for version_view

namespace ibis::policy {

struct query_tuning {
  bool hedge = true;
  std::size_t max_in_flight = 2000;  ///< Queries at once; lower classes get less.
  double batch_share = 0.7;          ///< Of `max_in_flight`.
  double normal_share = 0.9;
  std::uint32_t max_restarts = 3;
  std::uint32_t retries_per_block = 2;
  base::milliseconds restart_pause{50};  ///< While a newer configuration is on its way.
  base::milliseconds hedge_fallback{50};
  base::milliseconds hedge_floor{5};
  double hedge_quantile = 0.99;
  double hedge_factor = 2.0;  ///< Over the quantile of the service's calls.
  double call_hedge_share = 0.05;
  base::milliseconds least_margin{1};  ///< Kept back from a budget for the way back.
  base::milliseconds most_margin{5};
  base::milliseconds retry_after{1000};  ///< Told to a caller that was refused.
};

enum class query_phase : std::uint8_t { describing, searching, waiting };

/// The work on one block of a query.
struct query_block {
  std::vector<std::uint32_t> groups;
  std::vector<std::string> tried;
  std::vector<base::block_call_id> live;
  std::optional<wire::block_reply> reply;
  std::uint32_t retries = 0;
  bool done = false;
};

struct query_state {
  base::caller_id caller;
  std::shared_ptr<const config::service> service;
  query_received request;
  base::time_point started{};
  base::time_point deadline{};
  query_phase phase = query_phase::searching;
  std::uint64_t version = 0;
  std::uint32_t restarts = 0;
  std::vector<query_block> blocks;
  std::size_t open_blocks = 0;
  bool answer_by_passed = false;
  bool may_have_run = false;
};

/// What an entry learns of a service.
struct service_view {
  version_view versions;
  latency_window calls;
  budget hedges;
  budget retries;
};

struct query_part {
  query_tuning tuning;
  std::unordered_map<base::request_id, query_state> queries;
  std::unordered_map<base::caller_id, base::request_id> by_caller;
  std::unordered_map<std::string, service_view> services;
  /// A relay that showed a newer or older configuration than ours; taken by the node.
  std::optional<std::string> differing_peer;
};

void on_query(query_part& part, call_part& calls, const query_received& event,
              context& ctx);
void on_caller_gone(query_part& part, call_part& calls, base::caller_id caller,
                    context& ctx);
/// Takes the reply of a call that belonged to a query and was ended if final.
void on_query_reply(query_part& part, call_part& calls, const call_state& call,
                    wire::block_reply reply, context& ctx);
/// Goes on after a call failed.
/// @param sent Whether the request may have reached the relay.
void on_query_call_failed(query_part& part, call_part& calls, const call_state& call,
                          base::block_call_id id, bool sent, context& ctx);
void on_query_timer(query_part& part, call_part& calls, const timer& due, context& ctx);

/// The time that a request may take.
/// @return Nothing if the caller asks for more than the service allows.
std::optional<base::duration> patience(const config::service& service,
                                       std::optional<base::milliseconds> asked);

/// What of a budget is handed to the next hop.
base::duration budget_for_hop(const query_tuning& tuning, base::duration left);

/// @return How many requests of a class may be in flight.
std::size_t admission_limit(const query_tuning& tuning, wire::priority priority);

}  // namespace ibis::policy
