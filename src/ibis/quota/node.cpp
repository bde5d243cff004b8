#include "ibis/quota/node.hpp"

#include <algorithm>  // for any_of, find_if, max, min
#include <cmath>      // for floor
#include <utility>    // for move

namespace ibis::quota {
namespace {

/// After this time the next candidate is asked. Messages between nodes take up to 10 ms
/// both ways.
constexpr base::milliseconds reply_timeout{25};
/// How long a candidate that did not answer is asked after all others.
constexpr base::milliseconds avoid_for{300};
/// Retry delay of a request that could not be decided: an answer may still come.
constexpr base::milliseconds undecided_retry_after{50};
/// Longest retry delay of an owner with a limited share.
constexpr base::milliseconds limited_retry_after{250};
constexpr base::milliseconds claim_interval{500};
/// Pause between requests for tokens ahead of need.
constexpr base::milliseconds ahead_interval{50};
/// How long requests of an account wait for tokens after its owner had few left. Longer
/// than the window of the bound, so that a node admits at most one request in a window
/// ahead of the owner's answer.
constexpr base::milliseconds contended_for{10000};
/// The owner has few tokens left below this share of its bucket.
constexpr double contended_share = 0.5;
constexpr std::size_t max_redirects = 3;
constexpr std::size_t max_open_requests = 64;

struct call {
  node_state& node;      // NOLINT(*-avoid-const-or-ref-data-members)
  std::string account;   ///< Its name.
  account_state& state;  // NOLINT(*-avoid-const-or-ref-data-members)
  base::time_point now;
  output& out;  // NOLINT(*-avoid-const-or-ref-data-members)
};

account_state* find_account(node_state& node, const std::string& name) {
  const auto found = node.accounts.find(name);
  return found == node.accounts.end() ? nullptr : &found->second;
}

/// @return A serial that differs from those before a restart, since the clock of the
/// machine goes on.
std::uint64_t next_serial(node_state& node, base::time_point now) {
  const auto time = static_cast<std::uint64_t>(now.time_since_epoch().count());
  node.last_serial = std::max(node.last_serial + 1, time);
  return node.last_serial;
}

/// Sets whether this node is the first candidate. Its bucket begins empty: another may
/// have used the burst.
void set_first(const call& to, bool first) {
  owner_state& owner = to.state.owner;
  if (owner.is_first == first) {
    return;
  }
  owner.is_first = first;
  owner.ranked_at = to.now;
  owner.released = false;
  owner.claim_sent_at = {};
  owner.full = {0, to.now};
  to.out.notices.push_back(
      {first ? "quota_owner_begins" : "quota_owner_ends", to.account,
       to.state.candidates.empty() ? "" : to.state.candidates.front()});
}

/// Updates what depends on the ranking.
void rank(const call& to) {
  const node_view& view = to.node.view;
  account_state& state = to.state;
  if (state.ranked && state.ranked_generation == view.generation) {
    return;
  }
  const bool was_ranked = state.ranked;
  state.ranked = true;
  state.none_until = {};
  state.ranked_generation = view.generation;
  state.candidates = rank_candidates(view, to.account);
  state.local_allowance =
      has_local_allowance(view, to.account, state.parts.local_nodes);
  set_first(to, !state.candidates.empty() && state.candidates.front() == view.self);
  if (!was_ranked) {
    // The node did not need the account before, but could have been asked.
    const base::time_point since = view.counted ? view.changed_at : to.now;
    state.owner.ranked_at = since;
    state.owner.full.refilled_at = since;
    state.owner.limited.refilled_at = since;
    // No one has used tokens of it before if all nodes start together.
    state.owner.limited.level = view.first_start ? state.parts.limited_capacity : 0;
  }
}

/// @return Whether the owner may use the whole rate, after the buckets were refilled.
bool refill_owner(const call& to) {
  const bool alone =
      to.state.candidates.size() == 1 && to.now - to.node.view.joined_at >= join_delay;
  const bool full = has_full_share(to.state.owner, alone, to.now);
  refill(to.state.owner, to.state.parts, full, to.now);
  return full;
}

void send(const call& to, const std::string& node, token_request request) {
  request.account = to.account;
  request.version = to.node.version;
  to.out.requests.push_back({node, std::move(request)});
}

void send_claim(const call& to) {
  to.state.owner.claim_sent_at = to.now;
  token_request request;
  request.serial = next_serial(to.node, to.now);
  request.kind = request_kind::claim;
  send(to, to.state.owner.claim_to, std::move(request));
}

/// Asks the second candidate, which was the owner before this node, to stop.
void claim(const call& to) {
  owner_state& owner = to.state.owner;
  const bool sent = owner.claim_sent_at != base::time_point{};
  if (!owner.is_first || owner.released || to.state.candidates.size() < 2 ||
      (sent && to.now - owner.claim_sent_at < claim_interval)) {
    return;
  }
  owner.claim_to = to.state.candidates[1];
  owner.claim_redirects = 0;
  send_claim(to);
}

/// Sets until when a node is asked after all others.
void avoid(node_view& view, const std::string& node, base::time_point until) {
  const auto found = view.others.find(node);
  if (found != view.others.end()) {
    found->second.avoid_until = until;
  }
}

bool avoided(const call& to, const std::string& node) {
  const auto found = to.node.view.others.find(node);
  return found != to.node.view.others.end() && to.now < found->second.avoid_until;
}

/// Chooses whom to ask.
/// @param hops How many candidates were asked before.
/// @return The candidate's index; nothing if there is none left.
std::optional<std::size_t> choose_candidate(const call& to, std::size_t hops) {
  const std::vector<std::string>& candidates = to.state.candidates;
  std::size_t index = hops;
  while (index < candidates.size() && avoided(to, candidates[index])) {
    ++index;
  }
  if (index < candidates.size()) {
    return index;
  }
  // All are avoided: the first one may be back.
  return hops == 0 && !candidates.empty() ? std::optional<std::size_t>(0)
                                          : std::nullopt;
}

std::uint32_t asked_for(const account_state& state) {
  std::uint32_t urgent = 0;
  for (const open_request& open : state.open) {
    urgent += open.overdue ? 0 : open.urgent;
  }
  return urgent;
}

struct hop_count {
  std::size_t candidates = 0;  ///< Candidates that were asked before.
  std::size_t redirects = 0;
};

void ask_node(const call& to, const std::string& node, request_kind kind,
              const token_demand& demand, const hop_count& hops) {
  if (to.state.open.size() >= max_open_requests) {
    return;
  }
  token_request request;
  request.serial = next_serial(to.node, to.now);
  request.kind = kind;
  request.wanted = demand.wanted;
  request.urgent = demand.urgent;
  request.used_locally = std::exchange(to.state.used_locally, 0);
  to.state.open.push_back({request.serial, node, demand.urgent, to.now, false,
                           hops.candidates, hops.redirects, request.used_locally});
  to.out.wake_at.push_back(to.now + reply_timeout);
  send(to, node, std::move(request));
}

void admit(const call& to, std::uint64_t request, const char* reason) {
  ++to.state.count.admitted;
  to.out.decisions.push_back({request, true, {}, reason});
}

/// Admits waiting requests from the limited share of this node, which stands in for the
/// owner.
void stand_in(const call& to) {
  refill_owner(to);
  while (!to.state.waiting.empty() && take_token(to.state.owner, false)) {
    admit(to, to.state.waiting.front().request, "stand_in");
    to.state.waiting.pop_front();
  }
}

void ask(const call& to, const token_demand& demand, std::size_t hops) {
  const auto index = choose_candidate(to, hops);
  const std::vector<std::string>& candidates = to.state.candidates;
  const bool none_known = candidates.empty() && to.node.view.counted;
  if (none_known || (index && candidates[*index] == to.node.view.self)) {
    stand_in(to);
    return;
  }
  if (!index) {
    return;
  }
  const request_kind kind = *index == 0 ? request_kind::normal : request_kind::stand_in;
  ask_node(to, candidates[*index], kind, demand, {*index, 0});
}

/// Asks for the tokens that waiting requests need and that were not asked for.
void ask_for_waiting(const call& to, std::size_t hops) {
  const auto waiting = static_cast<std::uint32_t>(to.state.waiting.size());
  const std::uint32_t asked = asked_for(to.state);
  if (waiting <= asked) {
    return;
  }
  const std::uint32_t urgent = waiting - asked;
  ask(to, {urgent + wanted_tokens(to.state.reserve, to.state.parts, to.now), urgent},
      hops);
}

void ask_ahead(const call& to) {
  account_state& state = to.state;
  const std::uint32_t wanted = wanted_tokens(state.reserve, state.parts, to.now);
  const std::uint32_t held = count_tokens(state.reserve, to.now);
  if (held >= wanted || to.now < state.ahead_after || to.now < state.none_until ||
      state.owner.is_first) {
    return;
  }
  state.ahead_after = to.now + ahead_interval;
  ask(to, {wanted - held, 0}, 0);
}

void refuse(const call& to, std::uint64_t request, base::milliseconds retry_after,
            const char* reason) {
  ++to.state.count.refused;
  to.out.decisions.push_back(
      {request, false, std::max(retry_after, base::milliseconds(1)), reason});
}

/// @return After which time the owner may have a token.
base::milliseconds time_to_ask(const call& to, bool full) {
  const owner_state& owner = to.state.owner;
  if (full) {
    return time_to_token(owner.full, to.state.parts.rate_per_s);
  }
  // The owner with the full share may be back before.
  return std::min(limited_retry_after,
                  time_to_token(owner.limited, to.state.parts.limited_rate_per_s));
}

/// Whether so few tokens are left that requests must not be admitted ahead of them.
bool is_contended(const call& to, bool full) {
  return !full || to.state.owner.full.level < contended_share * to.state.parts.capacity;
}

/// Tells all other nodes that few tokens are left, when the level falls below the
/// threshold. Without that, each could admit one more request early.
void notify_if_contended(const call& to, bool full, bool was_contended) {
  if (was_contended || !is_contended(to, full)) {
    return;
  }
  for (const auto& [node, other] : to.node.view.others) {
    token_grant notice;
    notice.account = to.account;
    notice.version = to.node.version;
    notice.contended = true;
    to.out.grants.push_back({node, std::move(notice)});
  }
}

/// Decides at the node that is the owner.
void decide_as_owner(const call& to, std::uint64_t request) {
  claim(to);
  const bool full = refill_owner(to);
  const bool was_contended = is_contended(to, full);
  owner_state& owner = to.state.owner;
  if (take_token(owner, full)) {
    notify_if_contended(to, full, was_contended);
    admit(to, request, "owner");
    return;
  }
  refuse(to, request, time_to_ask(to, full), "limit");
}

/// Decides without an answer of an owner.
void decide_locally(const call& to, std::uint64_t request) {
  account_state& state = to.state;
  if (use_local_allowance(state.reserve, state.local_allowance, state.parts, to.now)) {
    ++state.used_locally;
    ++state.count.admitted_locally;
    admit(to, request, "local");
    return;
  }
  ++state.count.undecided;
  refuse(to, request, undecided_retry_after, "undecided");
}

/// Whether a request may be admitted ahead of the owner's answer: the owner had many
/// tokens left when it last answered, and knows of all earlier such requests.
bool may_admit_early(const call& to) {
  const account_state& state = to.state;
  return to.node.view.counted && !state.candidates.empty() && state.waiting.empty() &&
         state.unconfirmed == 0 && to.now >= state.contended_until;
}

/// Admits a request and tells the owner, which deducts it.
void admit_early(const call& to, std::uint64_t request) {
  account_state& state = to.state;
  ++state.count.admitted_early;
  ++state.unconfirmed;
  ++state.used_locally;
  admit(to, request, "early");
  ask(to, {std::max(1U, wanted_tokens(state.reserve, state.parts, to.now)), 0}, 0);
}

void serve_waiting(const call& to) {
  std::deque<waiting_request>& waiting = to.state.waiting;
  while (!waiting.empty() && use_token(to.state.reserve, to.now)) {
    admit(to, waiting.front().request, "grant");
    waiting.pop_front();
  }
}

void wake_for_returns(const call& to) {
  if (const auto due = next_return(to.state.reserve)) {
    to.out.wake_at.push_back(*due);
  }
}

void return_unused(const call& to) {
  while (const auto batch = take_unused(to.state.reserve, to.now)) {
    token_request request;
    request.serial = next_serial(to.node, to.now);
    request.returned = batch->tokens;
    request.returned_grant = batch->serial;
    request.used_locally = std::exchange(to.state.used_locally, 0);
    send(to, batch->owner, std::move(request));
  }
  wake_for_returns(to);
}

void expire_waiting(const call& to) {
  std::deque<waiting_request>& waiting = to.state.waiting;
  std::deque<waiting_request> kept;
  for (const waiting_request& request : waiting) {
    if (request.until <= to.now) {
      decide_locally(to, request.request);
    } else {
      kept.push_back(request);
    }
  }
  waiting = std::move(kept);
}

/// Asks the next candidates in place of those that did not answer.
void pass_over_silent(const call& to) {
  account_state& state = to.state;
  std::size_t hops = 0;
  bool silent = false;
  for (open_request& open : state.open) {
    if (!open.overdue && open.sent_at + reply_timeout <= to.now) {
      open.overdue = true;
      silent = true;
      hops = std::max(hops, open.hops + 1);
      avoid(to.node.view, open.node, to.now + avoid_for);
      to.out.notices.push_back({"quota_owner_silent", to.account, open.node});
    }
  }
  // A late grant still counts while its tokens are valid.
  std::erase_if(state.open, [&](const open_request& open) {
    return open.sent_at + state.parts.validity <= to.now;
  });
  if (silent) {
    ask_for_waiting(to, hops);
  }
}

void handle_due(const call& to) {
  rank(to);
  claim(to);
  expire_waiting(to);
  pass_over_silent(to);
  return_unused(to);
}

/// Handles that another node says whom to ask instead of it.
void follow_redirect(const call& to, const std::string& from, const open_request& open,
                     const token_grant& grant) {
  node_view& view = to.node.view;
  if (grant.released) {
    mark_resigned(view, from, to.now);
  }
  const bool known = view.others.contains(grant.owner);
  if (known) {
    mark_established(view, grant.owner, false, to.now);
  }
  rank(to);
  to.state.used_locally += open.used_locally;
  if (to.state.owner.is_first) {
    // The others already take this node for the owner.
    while (!to.state.waiting.empty()) {
      const std::uint64_t request = to.state.waiting.front().request;
      to.state.waiting.pop_front();
      decide_as_owner(to, request);
    }
    return;
  }
  const auto waiting = static_cast<std::uint32_t>(to.state.waiting.size());
  const std::uint32_t asked = asked_for(to.state);
  if (waiting <= asked || open.redirects >= max_redirects) {
    return;
  }
  const token_demand demand{waiting - asked, waiting - asked};
  const hop_count hops{open.hops, open.redirects + 1};
  if (known && grant.owner != from && open.redirects + 1 < max_redirects) {
    ask_node(to, grant.owner, request_kind::normal, demand, hops);
  } else {
    // This node does not know that owner, or it is none yet.
    ask_node(to, from, request_kind::stand_in, demand, hops);
  }
}

/// Handles that another node than the asked one was the owner before, or still is.
void follow_claim_redirect(const call& to, const std::string& from,
                           const std::string& owner) {
  if (owner == to.node.view.self || !to.node.view.others.contains(owner)) {
    return;
  }
  mark_established(to.node.view, owner, false, to.now);
  rank(to);
  owner_state& state = to.state.owner;
  if (state.is_first && state.claim_to == from && owner != from &&
      state.claim_redirects < max_redirects) {
    ++state.claim_redirects;
    state.claim_to = owner;
    send_claim(to);
  }
}

/// Handles the answer to a claim.
void on_claim_answer(const call& to, const std::string& from,
                     const token_grant& grant) {
  owner_state& owner = to.state.owner;
  if (!grant.released) {
    follow_claim_redirect(to, from, grant.owner);
    return;
  }
  if (!owner.is_first || owner.released || owner.claim_to != from) {
    return;
  }
  // The former owner hands its tokens over, and says for how long it was none.
  const base::duration own_time = to.now - owner.ranked_at;
  const base::duration idle =
      std::max(base::duration(0), std::min<base::duration>(own_time, grant.validity));
  owner.released = true;
  owner.full = {static_cast<double>(grant.tokens), to.now - idle};
  refill_owner(to);
  to.out.notices.push_back({"quota_owner_confirmed", to.account, from});
}

void limit_refusals(const call& to, const open_request& open,
                    const token_grant& grant) {
  if (open.urgent <= grant.tokens) {
    return;
  }
  to.state.none_until = std::max(to.state.none_until, to.now + grant.retry_after);
  // Requests that other open requests are for still wait.
  const std::size_t kept = asked_for(to.state);
  while (to.state.waiting.size() > kept) {
    refuse(to, to.state.waiting.front().request, grant.retry_after, "limit");
    to.state.waiting.pop_front();
  }
}

token_grant make_grant(const call& to, const token_request& request) {
  token_grant grant;
  grant.account = to.account;
  grant.serial = request.serial;
  grant.validity = to.state.parts.validity;
  grant.version = to.node.version;
  return grant;
}

void reply(const call& to, const std::string& node, token_grant grant) {
  to.out.grants.push_back({node, std::move(grant)});
}

/// @return Who can tell that the account has no other owner than a claimant: the first
/// of the other candidates. A node that joined recently may not know of the owner, and
/// names the candidate after itself. Empty if there is none.
std::string find_former_owner(const call& to, const std::string& claimant, bool full) {
  const node_view& view = to.node.view;
  const bool joined_recently =
      !view.first_start && to.now - view.joined_at < settle_time;
  const bool certain = full || (view.self_established && !joined_recently);
  for (const std::string& candidate : to.state.candidates) {
    if (candidate != claimant && (candidate != view.self || certain)) {
      return candidate;
    }
  }
  return "";
}

/// Handles that another node claims the account. This node stops if that one ranks
/// before it.
void on_claim(const call& to, const std::string& from, const token_request& request) {
  owner_state& owner = to.state.owner;
  const bool full = refill_owner(to);
  const double level = full ? owner.full.level : 0;
  const base::time_point idle_since = full ? to.now : owner.ranked_at;
  const std::string former = find_former_owner(to, from, full);
  mark_established(to.node.view, from, true, to.now);
  rank(to);
  token_grant grant = make_grant(to, request);
  grant.released = !owner.is_first && (former.empty() || former == to.node.view.self);
  if (grant.released) {
    grant.tokens = static_cast<std::uint32_t>(std::max(0.0, std::floor(level)));
    grant.validity =
        std::chrono::duration_cast<base::milliseconds>(to.now - idle_since);
  } else {
    grant.owner = owner.is_first ? to.node.view.self : former;
  }
  reply(to, from, std::move(grant));
}

/// Handles that a node stops, which may make this node the owner.
void on_resign(const call& to, const std::string& from, const token_request& request) {
  const bool was_first =
      !to.state.candidates.empty() && to.state.candidates.front() == from;
  mark_resigned(to.node.view, from, to.now);
  rank(to);
  if (was_first && to.state.owner.is_first && request.returned > 0) {
    // Only an owner with the full share hands anything over.
    to.state.owner.released = true;
    to.state.owner.full.level = request.returned - 1;
    refill_owner(to);
  }
}

void grant_or_redirect(const call& to, const std::string& from,
                       const token_request& request) {
  owner_state& owner = to.state.owner;
  token_grant grant = make_grant(to, request);
  // A node that may not own accounts yet uses its limited share at once. The sender
  // would ask it for that after a redirect.
  const bool joining = !to.node.view.self_established && !to.node.view.stopping;
  if (!owner.is_first && request.kind == request_kind::normal && !joining) {
    if (!to.state.candidates.empty()) {
      grant.owner = to.state.candidates.front();
    } else {
      grant.owner = to.node.view.self;
    }
    grant.released = to.node.view.stopping;
    reply(to, from, std::move(grant));
    return;
  }
  claim(to);
  const bool full = refill_owner(to);
  const bool was_contended = is_contended(to, full);
  deduct(owner, request.used_locally, to.state.parts);
  const token_demand demand{request.wanted, request.urgent};
  grant.tokens =
      grant_tokens(owner, from, request.serial, demand, to.state.parts, full, to.now);
  grant.retry_after = time_to_ask(to, full);
  grant.contended = is_contended(to, full);
  reply(to, from, std::move(grant));
  notify_if_contended(to, full, was_contended);
}

bool is_lower(const rate_limit& next, const rate_limit& before) {
  return next.rate_per_s < before.rate_per_s || next.burst < before.burst;
}

void set_limit(const call& to, const rate_limit& limit, bool is_new) {
  account_state& state = to.state;
  const bound_settings& bound = to.node.bound;
  if (!is_new && state.limit == limit && state.bound == bound) {
    return;
  }
  if (!is_new) {
    rank(to);
    refill_owner(to);  // At the former rate, until now.
  }
  // A limit on an account that had none is lower as well.
  if (is_new || is_lower(limit, state.limit) ||
      arrivals_bound(limit, bound) < arrivals_bound(state.limit, state.bound)) {
    state.lowered_in = to.node.version;
    state.reserve.batches.clear();
    state.owner.grants.clear();
  }
  state.limit = limit;
  state.bound = bound;
  state.parts = make_plan(limit, bound);
  state.unconfirmed = 0;
  state.contended_until = {};
  state.none_until = {};
  state.ranked_generation = 0;
  owner_state& owner = state.owner;
  owner.full.level = std::min(owner.full.level, state.parts.capacity);
  owner.limited.level = std::min(owner.limited.level, state.parts.limited_capacity);
}

}  // namespace

void configure(node_state& node, std::uint64_t version,
               const std::map<std::string, rate_limit>& limits, base::time_point now,
               output& out) {
  node.version = version;
  for (auto& [name, state] : node.accounts) {
    if (!limits.contains(name)) {
      for (const waiting_request& request : state.waiting) {
        admit({node, name, state, now, out}, request.request, "no_limit");
      }
    }
  }
  std::erase_if(node.accounts,
                [&](const auto& entry) { return !limits.contains(entry.first); });
  for (const auto& [name, limit] : limits) {
    const auto [found, is_new] = node.accounts.try_emplace(name);
    set_limit({node, name, found->second, now, out}, limit, is_new);
  }
}

void on_nodes(node_state& node, const std::vector<std::string>& others,
              bool self_on_record, base::time_point now, output& out) {
  set_nodes(node.view, others, self_on_record, now);
  if (!node.view.self_established && !node.view.stopping) {
    out.wake_at.push_back(self_due(node.view));
  }
  on_time(node, now, out);
}

void decide(node_state& node, const std::string& account, std::uint64_t request,
            base::milliseconds wait, base::time_point now, output& out) {
  account_state* state = find_account(node, account);
  if (state == nullptr) {
    out.decisions.push_back({request, true, {}, "no_limit"});
    return;
  }
  const call to{node, account, *state, now, out};
  rank(to);
  count_arrival(state->reserve, now);
  if (use_token(state->reserve, now)) {
    admit(to, request, "token");
    ask_ahead(to);
    return;
  }
  if (state->owner.is_first) {
    decide_as_owner(to, request);
    return;
  }
  if (now < state->none_until) {
    refuse(to, request, std::chrono::ceil<base::milliseconds>(state->none_until - now),
           "limit");
    return;
  }
  if (may_admit_early(to)) {
    admit_early(to, request);
    return;
  }
  state->waiting.push_back({request, now + wait});
  out.wake_at.push_back(now + wait);
  ask_for_waiting(to, 0);
}

void forget(node_state& node, std::uint64_t request) {
  for (auto& [name, state] : node.accounts) {
    std::erase_if(state.waiting, [request](const waiting_request& waiting) {
      return waiting.request == request;
    });
  }
}

void on_request(node_state& node, const std::string& from, const token_request& request,
                base::time_point now, output& out) {
  account_state* state = find_account(node, request.account);
  if (state == nullptr) {
    // This node's configuration is older or newer. The other one decides without it.
    return;
  }
  const call to{node, request.account, *state, now, out};
  rank(to);
  if (request.kind == request_kind::claim) {
    on_claim(to, from, request);
    return;
  }
  if (request.kind == request_kind::resign) {
    on_resign(to, from, request);
    return;
  }
  return_tokens(state->owner, from, request.returned_grant, request.returned,
                state->parts, now);
  if (request.wanted > 0) {
    grant_or_redirect(to, from, request);
  } else {
    deduct(state->owner, request.used_locally, state->parts);
  }
}

void on_grant(node_state& node, const std::string& from, const token_grant& grant,
              base::time_point now, output& out) {
  account_state* state = find_account(node, grant.account);
  if (state == nullptr) {
    return;
  }
  const call to{node, grant.account, *state, now, out};
  rank(to);
  const auto known = node.view.others.find(from);
  if (known != node.view.others.end()) {
    known->second.avoid_until = {};
  }
  const auto found = std::find_if(
      state->open.begin(), state->open.end(), [&](const open_request& open) {
        return open.serial == grant.serial && open.node == from;
      });
  if (found == state->open.end()) {
    if (grant.contended) {
      state->contended_until = now + contended_for;
    }
    if (grant.released || !grant.owner.empty()) {
      on_claim_answer(to, from, grant);
    }
    return;  // A repeated grant, or one that has lapsed.
  }
  const open_request open = *found;
  state->open.erase(found);
  if (!grant.owner.empty()) {
    follow_redirect(to, from, open, grant);
    return;
  }
  state->unconfirmed = 0;
  if (grant.contended) {
    state->contended_until = now + contended_for;
  }
  if (grant.version >= state->lowered_in) {
    const base::milliseconds validity = std::min(grant.validity, state->parts.validity);
    add_tokens(
        state->reserve,
        {grant.serial, from, grant.tokens, open.sent_at, open.sent_at + validity}, now);
  }
  serve_waiting(to);
  limit_refusals(to, open, grant);
  wake_for_returns(to);
}

void on_undeliverable(node_state& node, const std::string& to_node,
                      const token_request& request, base::time_point now, output& out) {
  account_state* state = find_account(node, request.account);
  if (state == nullptr) {
    return;
  }
  const call to{node, request.account, *state, now, out};
  rank(to);
  state->used_locally += request.used_locally;
  avoid(node.view, to_node, now + avoid_for);
  const auto found = std::find_if(
      state->open.begin(), state->open.end(), [&](const open_request& open) {
        return open.serial == request.serial && open.node == to_node;
      });
  if (found == state->open.end()) {
    return;
  }
  const std::size_t hops = found->hops + 1;
  state->open.erase(found);
  out.notices.push_back({"quota_owner_unreachable", request.account, to_node});
  ask_for_waiting(to, hops);
}

void on_time(node_state& node, base::time_point now, output& out) {
  refresh_self(node.view, now);
  for (auto& [name, state] : node.accounts) {
    handle_due({node, name, state, now, out});
  }
}

void stop(node_state& node, base::time_point now, output& out) {
  if (node.view.stopping) {
    return;
  }
  std::map<std::string, std::uint32_t> handed_over;
  for (auto& [name, state] : node.accounts) {
    const call to{node, name, state, now, out};
    rank(to);
    if (state.owner.is_first && refill_owner(to)) {
      const double level = std::max(0.0, std::floor(state.owner.full.level));
      handed_over[name] = static_cast<std::uint32_t>(level) + 1;
    }
  }
  mark_stopping(node.view, now);
  for (auto& [name, state] : node.accounts) {
    const call to{node, name, state, now, out};
    const bool was_first = state.owner.is_first;
    rank(to);
    if (was_first && !state.candidates.empty()) {
      token_request request;
      request.serial = next_serial(node, now);
      request.kind = request_kind::resign;
      request.returned = handed_over.contains(name) ? handed_over[name] : 0;
      send(to, state.candidates.front(), std::move(request));
    }
  }
}

}  // namespace ibis::quota
