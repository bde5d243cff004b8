#include "ibis/serving/topic_calls.hpp"

#include <algorithm>  // for min

#include "ibis/serving/peer_replies.hpp"   // for reply_to_waiting_peers
#include "ibis/serving/update_source.hpp"  // for avoid_peer, choose_update_source
#include "ibis/serving/view_age.hpp"       // for max_follower_age

namespace ibis::serving {
namespace {

/// The shortest wait of a watch: the store answers without waiting for a change.
constexpr base::milliseconds no_wait{1};

/// Sets the source of a topic's updates.
/// @param source Name of a peer; empty for the store.
void set_source(store_topic topic, const std::string& source, context& ctx) {
  topic_state& state = state_of(topic, ctx);
  if (state.source == source) {
    return;
  }
  if (source.empty()) {
    // Changes received from peers are not in this node's history.
    restart_history(topic, state.revision, ctx);
  }
  state.source = source;
  ctx.log("update_source_changed", {{"topic", name_of(topic)},
                                    {"source", source.empty() ? "store" : source},
                                    {"revision", to_string(state.revision)}});
  reply_to_waiting_peers(ctx);
}

/// Starts a call and its timeout.
void start_call(store_topic topic, base::milliseconds limit, context& ctx) {
  topic_state& state = state_of(topic, ctx);
  ++state.call_serial;
  state.called_at = ctx.now;
  state.paused = false;
  state.checking = false;
  ctx.add_timer(ctx.now + limit, timer_kind::store_call,
                static_cast<std::uint64_t>(topic), state.call_serial);
}

/// @return How long a node may still wait for peers before it must turn to the store.
base::milliseconds time_left_for_peers(const topic_state& state, const context& ctx) {
  return max_follower_age(ctx.node.settings) - view_age(state, ctx.now);
}

/// @return The timeout of a query to a peer. While the store is unavailable, there is
/// nothing to turn to instead.
base::milliseconds peer_timeout(const topic_state& state, const context& ctx) {
  const peer_settings& settings = ctx.node.settings.peers;
  const base::milliseconds timeout = settings.wait + settings.grace;
  return ctx.node.store_unavailable
             ? timeout
             : std::min(timeout, time_left_for_peers(state, ctx));
}

void watch_peer(store_topic topic, const peer& source, context& ctx) {
  topic_state& state = state_of(topic, ctx);
  set_source(topic, source.node, ctx);
  ++ctx.node.count.peer_questions;
  start_call(topic, peer_timeout(state, ctx), ctx);
  ctx.out.emplace_back(query_peer{source, topic, state.call_serial, state.revision});
}

}  // namespace

const char* name_of(store_topic topic) {
  switch (topic) {
    case store_topic::configuration:
      return "configuration";
    case store_topic::leafs:
      return "leafs";
    case store_topic::evacuations:
      return "evacuations";
  }
  return "";
}

std::vector<store_topic> followed_topics(const node_settings& settings) {
  std::vector<store_topic> topics{store_topic::configuration, store_topic::leafs};
  if (settings.store.follow_evacuations) {
    topics.push_back(store_topic::evacuations);
  }
  return topics;
}

topic_state& state_of(store_topic topic, context& ctx) {
  return ctx.node.topics[static_cast<std::size_t>(topic)];
}

bool may_list_stale(store_topic topic, const topic_state& state) {
  return topic == store_topic::leafs && !state.stale_listing_tried;
}

void start_listing(store_topic topic, const std::string& after, context& ctx) {
  topic_state& state = state_of(topic, ctx);
  state.phase = topic_phase::listing;
  if (after.empty()) {
    state.pages = {};
    state.listing_revision.reset();
    state.listing_started_at = ctx.now;
  }
  set_source(topic, "", ctx);
  ++ctx.node.count.store_calls;
  start_call(topic, ctx.node.settings.store.list_timeout, ctx);
  ctx.out.emplace_back(list_topic{topic, after, may_list_stale(topic, state)});
}

void watch_store(store_topic topic, context& ctx) {
  topic_state& state = state_of(topic, ctx);
  const store_settings& settings = ctx.node.settings.store;
  state.phase = topic_phase::watching;
  set_source(topic, "", ctx);
  ++ctx.node.count.store_calls;
  start_call(topic, settings.wait + settings.grace, ctx);
  ctx.out.emplace_back(watch_topic{topic, state.revision, settings.wait});
}

void check_watch(store_topic topic, context& ctx) {
  topic_state& state = state_of(topic, ctx);
  ++ctx.node.count.store_calls;
  ++ctx.node.count.watch_checks;
  start_call(topic, ctx.node.settings.store.list_timeout, ctx);
  state.checking = true;
  ctx.out.emplace_back(watch_topic{topic, state.revision, no_wait});
}

void start_watch(store_topic topic, context& ctx) {
  const auto source = choose_update_source(ctx.node, ctx.now);
  if (source && peer_timeout(state_of(topic, ctx), ctx) > base::milliseconds(0)) {
    state_of(topic, ctx).phase = topic_phase::watching;
    watch_peer(topic, *source, ctx);
    return;
  }
  watch_store(topic, ctx);
}

void resume_following(store_topic topic, context& ctx) {
  topic_state& state = state_of(topic, ctx);
  const auto source = choose_update_source(ctx.node, ctx.now);
  const bool use_peer = ctx.node.store_unavailable && state.listed && source;
  if (use_peer) {
    state.phase = topic_phase::watching;
    watch_peer(topic, *source, ctx);
    return;
  }
  if (state.phase == topic_phase::watching && !ctx.node.store_unavailable) {
    start_watch(topic, ctx);
    return;
  }
  start_listing(topic, "", ctx);
}

void resume_after(store_topic topic, base::milliseconds delay, topic_phase phase,
                  context& ctx) {
  topic_state& state = state_of(topic, ctx);
  ++state.call_serial;
  state.phase = phase;
  state.paused = true;
  state.checking = false;
  ctx.add_timer(ctx.now + delay, timer_kind::store_retry,
                static_cast<std::uint64_t>(topic), state.call_serial);
}

void drop_source(store_topic topic, const char* reason, context& ctx) {
  const std::string source = state_of(topic, ctx).source;
  ctx.log("peer_source_failed",
          {{"peer", source}, {"topic", name_of(topic)}, {"reason", reason}});
  avoid_peer(source, ctx);
}

}  // namespace ibis::serving
