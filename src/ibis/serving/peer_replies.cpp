#include "ibis/serving/peer_replies.hpp"

#include <algorithm>  // for max, min
#include <utility>    // for move

#include "ibis/serving/topic_calls.hpp"  // for state_of
#include "ibis/serving/view_age.hpp"     // for max_source_age, view_age

namespace ibis::serving {
namespace {

/// @return Until when this node's data counts as current without another check.
base::time_point current_until(const topic_state& state, const node_state& node) {
  return state.verified_at + max_source_age(node.settings.store);
}

/// Whether this node cannot supply updates: it gets them from a peer itself, has no
/// complete listing, cannot reach the store, has outdated data, or is stopping.
bool cannot_serve_peers(const topic_state& state, const context& ctx) {
  return !state.source.empty() || !state.listed || ctx.node.store_unavailable ||
         ctx.node.stop.requested || ctx.now > current_until(state, ctx.node);
}

/// Whether a watch is open or follows shortly. After a watch that was cut, it is
/// uncertain until the end of a listing whether the data matches the store's.
bool is_current(const topic_state& state) {
  return state.phase == topic_phase::watching && state.failures == 0;
}

/// Drops changes that a newer one replaces: each configuration is complete, so that
/// only the newest is needed.
void drop_superseded(topic_history& history, store_topic topic) {
  if (topic != store_topic::configuration) {
    return;
  }
  history.changes.clear();
  history.bytes = 0;
}

/// @return The revision of a query. Without an era, it is taken for one of the present
/// era if that has reached its number.
store_revision revision_of(const peer_query_received& query, const topic_state& state) {
  store_revision revision = query.revision;
  if (revision.era == 0 && revision.number <= state.revision.number) {
    revision.era = state.revision.era;
  }
  return revision;
}

void reply(const peer_query_received& query, peer_reply_status kind, context& ctx) {
  const topic_state& state = state_of(query.topic, ctx);
  const store_revision since = revision_of(query, state);
  reply_to_peer answer{query.node,
                       query.topic,
                       query.serial,
                       kind,
                       std::max(since, state.revision),
                       {},
                       view_age(state, ctx.now)};
  if (kind == peer_reply_status::changes) {
    for (const topic_changed& change : state.history.changes) {
      if (change.revision > since) {
        answer.texts.push_back(change.text);
      }
    }
  }
  ctx.out.emplace_back(std::move(answer));
}

bool has_changes_after(const topic_state& state, const store_revision& since) {
  return !state.history.changes.empty() &&
         state.history.changes.back().revision > since;
}

/// Replies to a held query if its reply is known by now.
/// @return Whether a reply was sent.
bool try_reply(const waiting_peer& waiting, context& ctx) {
  const peer_query_received& query = waiting.query;
  const topic_state& state = state_of(query.topic, ctx);
  const store_revision since = revision_of(query, state);
  const bool wait_over = ctx.now >= waiting.until;
  // The peer knows of a later era than this node.
  const bool is_behind = since.era > state.revision.era;
  if (cannot_serve_peers(state, ctx) || is_behind ||
      (wait_over && !is_current(state))) {
    reply(query, peer_reply_status::not_following, ctx);
    return true;
  }
  if (!is_current(state)) {
    return false;
  }
  if (since < state.history.since) {
    reply(query, peer_reply_status::history_dropped, ctx);
    return true;
  }
  if (wait_over || has_changes_after(state, since)) {
    reply(query, peer_reply_status::changes, ctx);
    return true;
  }
  return false;
}

/// Starts the timer by which a held query must be looked at again.
void add_reply_timer(waiting_peer& waiting, context& ctx) {
  constexpr base::milliseconds clock_step{1};
  const topic_state& state = state_of(waiting.query.topic, ctx);
  const base::time_point outdated_at = current_until(state, ctx.node) + clock_step;
  waiting.timer_due = std::min(waiting.until, outdated_at);
  ctx.add_timer(waiting.timer_due, timer_kind::peer_wait);
}

}  // namespace

void record_change(const topic_changed& change, const store_revision& revision,
                   context& ctx) {
  topic_history& history = state_of(change.topic, ctx).history;
  if (!change.text) {
    restart_history(change.topic, revision, ctx);
    return;
  }
  drop_superseded(history, change.topic);
  history.changes.push_back(change);
  history.changes.back().revision = revision;
  history.bytes += change.text->size();
  while (history.bytes > ctx.node.settings.peers.history_bytes &&
         history.changes.size() > 1) {
    history.bytes -= history.changes.front().text->size();
    history.since = history.changes.front().revision;
    history.changes.pop_front();
  }
}

void restart_history(store_topic topic, const store_revision& revision, context& ctx) {
  state_of(topic, ctx).history = {revision, {}, 0};
}

void on_peer_query(const peer_query_received& query, context& ctx) {
  const base::time_point until = ctx.now + ctx.node.settings.peers.wait;
  waiting_peer waiting{query, until, {}};
  if (try_reply(waiting, ctx)) {
    return;
  }
  add_reply_timer(waiting, ctx);
  ctx.node.waiting_peers.push_back(waiting);
}

void on_peer_wait_due(context& ctx) {
  reply_to_waiting_peers(ctx);
  for (waiting_peer& waiting : ctx.node.waiting_peers) {
    if (waiting.timer_due <= ctx.now) {
      add_reply_timer(waiting, ctx);
    }
  }
}

void reply_to_waiting_peers(context& ctx) {
  std::erase_if(ctx.node.waiting_peers, [&ctx](const waiting_peer& waiting) {
    return try_reply(waiting, ctx);
  });
}

}  // namespace ibis::serving
