/// Decides whether requests of limited accounts are admitted: as an account's owner,
/// and as a node that asks the owner. State and event in, decisions out; the caller
/// passes the time and carries out the decisions.
///
///     node_state node;
///     configure(node, 1, {{"acme", {12, 12}}}, now);
///     set_nodes(node, {"other"}, true, now);
///     output out;
///     decide(node, "acme", 7, wait, now, out);
///     // out.decisions, out.requests, out.grants, out.wake_at
#pragma once

#include <cstdint>        // for uint32_t, uint64_t
#include <deque>          // for deque
#include <map>            // for map
#include <optional>       // for optional
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "ibis/quota/bound.hpp"    // for bound_settings, plan
#include "ibis/quota/owner.hpp"    // for owner_state
#include "ibis/quota/reserve.hpp"  // for token_reserve
#include "ibis/quota/view.hpp"     // for node_view

namespace ibis::quota {

/// What a request to another node is for.
enum class request_kind : std::uint8_t {
  normal,    ///< The sender takes the receiver for the owner.
  stand_in,  ///< The candidates before the receiver did not answer.
  claim,     ///< The sender acts as the owner from now on.
  resign,    ///< The sender stops, and the receiver is to be the owner.
};
/// Number of enumerators of `request_kind`.
inline constexpr std::size_t request_kind_count = 4;

/// Asks another node for tokens, or tells it who owns an account.
struct token_request {
  std::string account;
  std::uint64_t serial = 0;
  request_kind kind = request_kind::normal;
  std::uint32_t wanted = 0;
  std::uint32_t urgent = 0;          ///< Of them, for requests that wait.
  std::uint32_t returned = 0;        ///< Unused tokens of `returned_grant`.
  std::uint64_t returned_grant = 0;  ///< Serial of the grant.
  std::uint32_t used_locally = 0;    ///< Requests admitted from the local allowance.
  std::uint64_t version = 0;         ///< Of the sender's configuration.
};

/// Answers a `token_request`, unless that wants nothing.
struct token_grant {
  std::string account;
  std::uint64_t serial = 0;  ///< Of the request.
  std::uint32_t tokens = 0;
  base::milliseconds validity{0};     ///< From when they were asked for.
  base::milliseconds retry_after{0};  ///< When to ask again, if tokens lack.
  std::uint64_t version = 0;          ///< Of the sender's configuration.
  std::string owner;      ///< Whom to ask instead; empty if the sender decided.
  bool released = false;  ///< The sender does not act as owner any more.
  /// Requests must wait for tokens for a while, since few are left.
  bool contended = false;
};

/// Whether a request of a client is admitted.
struct decision {
  std::uint64_t request = 0;
  bool admitted = false;
  base::milliseconds retry_after{0};  ///< If it is not.
  const char* reason = "";  ///< "token", "owner", "local" and others; for logs.
};

/// A message to another node.
template <typename Message>
struct outgoing {
  std::string node;
  Message message;
};

/// A change that is worth a line in the log.
struct notice {
  const char* name = "";
  std::string account;
  std::string node;
};

/// What is to be done after a call.
struct output {
  std::vector<decision> decisions;
  std::vector<outgoing<token_request>> requests;
  std::vector<outgoing<token_grant>> grants;
  std::vector<notice> notices;
  std::vector<base::time_point> wake_at;  ///< When to call `on_time`.
};

/// A request of a client that waits for a token.
struct waiting_request {
  std::uint64_t request = 0;
  base::time_point until{};
};

/// A request to another node that is not answered yet.
struct open_request {
  std::uint64_t serial = 0;
  std::string node;
  std::uint32_t urgent = 0;
  base::time_point sent_at{};
  bool overdue = false;  ///< The next candidate was asked.
  std::size_t hops = 0;  ///< How many candidates were asked before.
  std::size_t redirects = 0;
  std::uint32_t used_locally = 0;  ///< Reported with it.
};

/// Counters of an account.
struct account_counters {
  std::uint64_t admitted = 0;
  std::uint64_t admitted_early = 0;  ///< Of them, ahead of the owner's answer.
  std::uint64_t admitted_locally = 0;
  std::uint64_t refused = 0;
  std::uint64_t undecided = 0;  ///< Refused since no owner answered in time.
};

/// An account at a node.
struct account_state {
  plan parts;
  rate_limit limit;
  bound_settings bound;          ///< That `parts` was made with.
  std::uint64_t lowered_in = 0;  ///< Version that last lowered the limit.
  owner_state owner;
  token_reserve reserve;
  std::deque<waiting_request> waiting;
  std::vector<open_request> open;
  base::time_point none_until{};   ///< The owner has no tokens before.
  base::time_point ahead_after{};  ///< Tokens are not asked for ahead of need before.
  std::uint32_t used_locally = 0;  ///< Not reported to the owner yet.
  /// Requests that were admitted ahead of the owner's answer, since its last answer.
  std::uint32_t unconfirmed = 0;
  base::time_point contended_until{};  ///< Requests wait for tokens until then.
  std::vector<std::string> candidates;
  std::uint64_t ranked_generation = 0;  ///< Of the view that `candidates` is from.
  bool ranked = false;
  bool local_allowance = false;
  account_counters count;
};

/// All quotas at a node.
struct node_state {
  bound_settings bound;
  node_view view;
  std::uint64_t version = 0;  ///< Of the configuration.
  std::unordered_map<std::string, account_state> accounts;
  std::uint64_t last_serial = 0;
};

/// Sets the limits of a version of the configuration. Accounts without a limit are left
/// out.
void configure(node_state& node, std::uint64_t version,
               const std::map<std::string, rate_limit>& limits, base::time_point now,
               output& out);

/// Sets the nodes on record. See `quota::set_nodes` of the view.
void on_nodes(node_state& node, const std::vector<std::string>& others,
              bool self_on_record, base::time_point now, output& out);

/// Decides on a request of a client, now or, after a wait, in a later call.
/// @param wait How long the request may wait for a token.
void decide(node_state& node, const std::string& account, std::uint64_t request,
            base::milliseconds wait, base::time_point now, output& out);

/// Forgets a waiting request, whose client has disconnected.
void forget(node_state& node, std::uint64_t request);

/// Handles a request of another node.
void on_request(node_state& node, const std::string& from, const token_request& request,
                base::time_point now, output& out);

/// Handles another node's answer.
void on_grant(node_state& node, const std::string& from, const token_grant& grant,
              base::time_point now, output& out);

/// Handles a request that could not be sent.
void on_undeliverable(node_state& node, const std::string& to,
                      const token_request& request, base::time_point now, output& out);

/// Handles what is due.
void on_time(node_state& node, base::time_point now, output& out);

/// Hands this node's accounts over, since it stops.
void stop(node_state& node, base::time_point now, output& out);

}  // namespace ibis::quota
