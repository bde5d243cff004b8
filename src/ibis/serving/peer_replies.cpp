#include "ibis/serving/peer_replies.hpp"

#include <algorithm>  // for max
#include <utility>    // for move

namespace ibis::serving {
namespace {

topic_state& state_of(store_topic topic, context& ctx) {
  return ctx.node.topics[static_cast<std::size_t>(topic)];
}

/// Whether this node cannot supply updates: it gets them from a peer itself, has no
/// complete listing, cannot reach the store, or is stopping.
bool cannot_serve_peers(const topic_state& state, const node_state& node) {
  return !state.source.empty() || !state.listed || node.store_unavailable ||
         node.stop.requested;
}

/// Whether this node's data is known to match the store's. That is uncertain between a
/// watch that was cut and the end of the listing that follows it.
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

void reply(const peer_query_received& query, peer_reply_status kind, context& ctx) {
  const topic_state& state = state_of(query.topic, ctx);
  reply_to_peer answer{query.node,
                       query.topic,
                       query.serial,
                       kind,
                       std::max(query.revision, state.revision),
                       {}};
  if (kind == peer_reply_status::changes) {
    for (const topic_changed& change : state.history.changes) {
      if (change.revision > query.revision) {
        answer.texts.push_back(change.text);
      }
    }
  }
  ctx.out.emplace_back(std::move(answer));
}

bool has_changes_after(const topic_state& state, std::uint64_t since) {
  return !state.history.changes.empty() &&
         state.history.changes.back().revision > since;
}

/// Replies to a held query if its reply is known by now.
/// @return Whether a reply was sent.
bool try_reply(const waiting_peer& waiting, context& ctx) {
  const peer_query_received& query = waiting.query;
  const topic_state& state = state_of(query.topic, ctx);
  const bool wait_over = ctx.now >= waiting.until;
  if (cannot_serve_peers(state, ctx.node) || (wait_over && !is_current(state))) {
    reply(query, peer_reply_status::not_following, ctx);
    return true;
  }
  if (!is_current(state)) {
    return false;
  }
  if (query.revision < state.history.since) {
    reply(query, peer_reply_status::history_dropped, ctx);
    return true;
  }
  if (wait_over || has_changes_after(state, query.revision)) {
    reply(query, peer_reply_status::changes, ctx);
    return true;
  }
  return false;
}

}  // namespace

void record_change(const topic_changed& change, context& ctx) {
  topic_history& history = state_of(change.topic, ctx).history;
  if (!change.text) {
    restart_history(change.topic, change.revision, ctx);
    return;
  }
  drop_superseded(history, change.topic);
  history.changes.push_back(change);
  history.bytes += change.text->size();
  while (history.bytes > ctx.node.settings.peers.history_bytes &&
         history.changes.size() > 1) {
    history.bytes -= history.changes.front().text->size();
    history.since = history.changes.front().revision;
    history.changes.pop_front();
  }
}

void restart_history(store_topic topic, std::uint64_t revision, context& ctx) {
  state_of(topic, ctx).history = {revision, {}, 0};
}

void on_peer_query(const peer_query_received& query, context& ctx) {
  const base::time_point until = ctx.now + ctx.node.settings.peers.wait;
  const waiting_peer waiting{query, until};
  if (try_reply(waiting, ctx)) {
    return;
  }
  ctx.node.waiting_peers.push_back(waiting);
  ctx.add_timer(until, timer_kind::peer_wait);
}

void reply_to_waiting_peers(context& ctx) {
  std::erase_if(ctx.node.waiting_peers, [&ctx](const waiting_peer& waiting) {
    return try_reply(waiting, ctx);
  });
}

}  // namespace ibis::serving
