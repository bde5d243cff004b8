#include "ibis/serving/store_probe.hpp"

#include <algorithm>  // for max

#include "ibis/serving/evacuations.hpp"     // for matches_zone_listing
#include "ibis/serving/store_era.hpp"       // for note_store_era
#include "ibis/serving/store_follower.hpp"  // for depends_on_store, record_failure
#include "ibis/serving/topic_calls.hpp"     // for check_watch, followed_topics
#include "ibis/serving/update_source.hpp"   // for choose_update_source
#include "ibis/serving/view_age.hpp"        // for mark_verified

namespace ibis::serving {
namespace {

/// Replaces a watch that the store may have dropped without notice.
void replace_lost_watch(store_topic topic, const store_probed& event, context& ctx) {
  const topic_state& state = state_of(topic, ctx);
  const bool watches_store =
      state.phase == topic_phase::watching && state.source.empty() && !state.paused;
  // A watch that began after the probe is judged by the next one.
  if (!watches_store || state.called_at > event.sent_at) {
    return;
  }
  ctx.out.emplace_back(cancel_store_call{topic});
  record_failure(topic, store_failure::unreachable, "no answer to a probe", ctx);
  resume_after(topic, base::milliseconds(0), topic_phase::listing, ctx);
}

/// Ends what a topic waits for since the store did not serve this node.
void end_wait(store_topic topic, context& ctx) {
  topic_state& state = state_of(topic, ctx);
  if (state.phase == topic_phase::watching) {
    if (!state.source.empty()) {
      state.failures = 0;
      if (ctx.node.store_unavailable) {
        mark_store_recovered(topic, ctx);
      }
      start_watch(topic, ctx);
    }
    return;
  }
  const bool call_is_lost =
      ctx.now - state.called_at >= ctx.node.settings.store.probe_limit;
  if (state.paused || call_is_lost) {
    state.pages = {};
    ctx.out.emplace_back(cancel_store_call{topic});
    start_listing(topic, "", ctx);
  }
}

/// Compares a topic's revision with the store's.
void compare_revision(store_topic topic, const store_probed& event, context& ctx) {
  topic_state& state = state_of(topic, ctx);
  if (state.phase != topic_phase::watching || !state.source.empty()) {
    return;
  }
  const store_revision revision = complete_revision(*event.revision, ctx);
  const bool current = topic == store_topic::evacuations && event.zones &&
                       matches_zone_listing(ctx.node, *event.zones);
  if (current) {
    // The store soon drops the history of an older revision.
    state.revision = std::max(state.revision, revision);
  }
  if (revision <= state.revision) {
    mark_verified(state, event.sent_at);
    return;
  }
  if (state.paused) {
    start_watch(topic, ctx);
    return;
  }
  if (!state.checking && state.called_at <= event.sent_at) {
    check_watch(topic, ctx);
  }
}

/// Moves the watch of evacuations to a peer once peers are known. Evacuations are rare,
/// so that a watch which began before stays at the store for its whole wait, and the
/// node probes the store until then.
void move_watch_to_peer(context& ctx) {
  if (!ctx.node.settings.store.follow_evacuations || ctx.node.store_unavailable) {
    return;
  }
  const topic_state& state = state_of(store_topic::evacuations, ctx);
  const bool watches_store = state.phase == topic_phase::watching &&
                             state.source.empty() && !state.paused && !state.checking;
  if (watches_store && choose_update_source(ctx.node, ctx.now)) {
    ctx.out.emplace_back(cancel_store_call{store_topic::evacuations});
    start_watch(store_topic::evacuations, ctx);
  }
}

}  // namespace

void on_probe_due(context& ctx) {
  const store_settings& settings = ctx.node.settings.store;
  move_watch_to_peer(ctx);
  if (depends_on_store(ctx.node)) {
    ++ctx.node.count.store_calls;
    ctx.out.emplace_back(
        probe_store{settings.probe_limit, ctx.now, settings.follow_evacuations});
  }
  ctx.add_timer(ctx.now + settings.probe_period, timer_kind::probe_store);
}

void on_store_probed(const store_probed& event, context& ctx) {
  const bool was_unavailable = ctx.node.store_unavailable;
  if (event.revision &&
      note_store_era(event.revision->era, ctx) != era_order::current) {
    return;
  }
  for (const store_topic topic : followed_topics(ctx.node.settings)) {
    if (!event.answered) {
      replace_lost_watch(topic, event, ctx);
    } else if (event.revision && was_unavailable) {
      end_wait(topic, ctx);
    } else if (event.revision) {
      compare_revision(topic, event, ctx);
    }
  }
}

}  // namespace ibis::serving
