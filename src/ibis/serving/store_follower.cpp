#include "ibis/serving/store_follower.hpp"

#include <algorithm>  // for any_of, max, min
#include <string>     // for string
#include <utility>    // for move

#include "ibis/serving/backoff.hpp"        // for spread_backoff
#include "ibis/serving/evacuations.hpp"    // for apply_evacuations
#include "ibis/serving/holders.hpp"        // for update_holders
#include "ibis/serving/peer_replies.hpp"   // for record_change, reply_to_waiting_peers
#include "ibis/serving/registry.hpp"       // for apply_changes, apply_listing
#include "ibis/serving/store_era.hpp"      // for note_store_era
#include "ibis/serving/topic_calls.hpp"    // for followed_topics, start_watch
#include "ibis/serving/update_source.hpp"  // for forget_peer_failures
#include "ibis/serving/view_age.hpp"       // for mark_verified, view_age

namespace ibis::serving {
namespace {

const char* name_of(store_failure failure) {
  switch (failure) {
    case store_failure::unreachable:
      return "unreachable";
    case store_failure::busy:
      return "busy";
    case store_failure::history_dropped:
      return "history_dropped";
    case store_failure::unreadable:
      return "unreadable";
  }
  return "";
}

/// Logs that changes or a listing of a topic were applied, and how old the data is.
void log_update(const char* name, store_topic topic, std::size_t entries,
                context& ctx) {
  const topic_state& state = state_of(topic, ctx);
  ctx.log(name, {{"topic", name_of(topic)},
                 {"source", state.source.empty() ? "store" : state.source},
                 {"revision", to_string(state.revision)},
                 {"entries", std::to_string(entries)},
                 {"view_age_ms", std::to_string(view_age(state, ctx.now).count())}});
}

void record_success(store_topic topic, context& ctx) {
  topic_state& state = state_of(topic, ctx);
  state.failures = 0;
  ++state.call_serial;
  if (ctx.node.store_unavailable) {
    mark_store_recovered(topic, ctx);
  }
}

void apply_catalog(const catalog_ptr& received, context& ctx) {
  if (!received) {
    return;
  }
  const std::uint64_t before =
      ctx.node.configuration ? ctx.node.configuration->version : 0;
  if (ctx.node.configuration && received->version <= before) {
    if (received->version < before) {
      ctx.log("older_configuration_ignored",
              {{"version", std::to_string(received->version)},
               {"in_force", std::to_string(before)}},
              true);
    }
    return;
  }
  ctx.node.configuration = received;
  update_holders(ctx);
  ++ctx.node.count.catalogs;
  ctx.log("configuration_in_force",
          {{"version", std::to_string(received->version)},
           {"before", std::to_string(before)},
           {"routes", std::to_string(received->routes.size())},
           {"services", std::to_string(received->services.size())}});
}

base::milliseconds backoff(const topic_state& state, context& ctx) {
  const store_settings& settings = ctx.node.settings.store;
  return spread_backoff({settings.backoff, settings.backoff_limit}, state.failures,
                        ctx.node);
}

/// Whether an answer of the store may be used. If not, the topic is listed again.
bool accept_answer(store_topic topic, const store_revision& revision, context& ctx) {
  const era_order order = note_store_era(revision.era, ctx);
  if (order == era_order::earlier) {
    topic_state& state = state_of(topic, ctx);
    ctx.log("outdated_store_answer_ignored",
            {{"topic", name_of(topic)},
             {"revision", to_string(revision)},
             {"known", to_string(state.revision)}},
            true);
    state.pages = {};
    state.stale_listing_tried = true;
    resume_after(topic, ctx.node.settings.store.backoff, topic_phase::listing, ctx);
  }
  return order == era_order::current;
}

void handle_call_failure(store_topic topic, store_failure failure,
                         const std::string& detail, context& ctx) {
  topic_state& state = state_of(topic, ctx);
  if (failure == store_failure::history_dropped) {
    ctx.log("store_history_dropped",
            {{"topic", name_of(topic)}, {"revision", to_string(state.revision)}});
    resume_after(topic, base::milliseconds(0), topic_phase::listing, ctx);
    return;
  }
  // A watch may be cut while the store is healthy. Listing at once reads the changes
  // that were missed.
  const bool watch_was_cut =
      state.phase == topic_phase::watching && state.failures == 0;
  if (watch_was_cut && failure == store_failure::unreachable) {
    ++state.failures;
    ctx.log("store_watch_cut", {{"topic", name_of(topic)}, {"detail", detail}}, true);
    resume_after(topic, base::milliseconds(0), topic_phase::listing, ctx);
    return;
  }
  record_failure(topic, failure, detail, ctx);
  resume_after(topic, backoff(state, ctx), topic_phase::listing, ctx);
}

/// Ends a listing that has come back to a page that it had before.
void fail_endless_listing(const topic_listed& page, context& ctx) {
  state_of(page.topic, ctx).pages = {};
  handle_call_failure(page.topic, store_failure::unreadable,
                      "the listing comes back to " + page.next_page_after, ctx);
}

/// Applies changes, whoever reported them.
void apply_update(const topic_changed& update, context& ctx) {
  if (!has_changes(update)) {
    return;
  }
  apply_catalog(update.configuration, ctx);
  log_update("store_changes_applied", update.topic,
             update.leafs.size() + update.zones.size(), ctx);
  apply_changes(update.leafs, ctx);
  apply_zone_changes(update.zones, ctx);
}

/// @return How long to wait after a change before the next watch.
base::milliseconds pause_after_change(store_topic topic,
                                      const store_settings& settings) {
  switch (topic) {
    case store_topic::configuration:
      return settings.configuration_pause;
    case store_topic::leafs:
      return settings.leaf_pause;
    case store_topic::evacuations:
      return settings.evacuation_pause;
  }
  return settings.leaf_pause;
}

/// Applies a complete listing of a topic.
void apply_entries(store_topic topic, const listed_entries& listed, context& ctx) {
  log_update("store_listing_applied", topic, listed.leafs.size() + listed.zones.size(),
             ctx);
  if (topic == store_topic::leafs) {
    apply_listing(listed.leafs, ctx);
  } else if (topic == store_topic::evacuations) {
    apply_zone_listing(listed.zones, ctx);
  }
}

/// Applies the changes in a peer's reply. A peer whose data is outdated is avoided. One
/// that states no era cannot tell that the store was restored.
void apply_peer_changes(const peer_replied& event, context& ctx) {
  const store_topic topic = event.update.topic;
  topic_state& state = state_of(topic, ctx);
  if (event.update.revision.era < state.revision.era) {
    drop_source(topic, "earlier_era", ctx);
    resume_following(topic, ctx);
    return;
  }
  if (event.update.revision.era > state.revision.era) {
    start_listing(topic, "", ctx);
    return;
  }
  forget_peer_failures(event.node, ctx);
  mark_verified(state, ctx.now - event.age);
  state.revision = std::max(state.revision, event.update.revision);
  apply_update(event.update, ctx);
  if (event.age > max_source_age(ctx.node.settings.store)) {
    drop_source(topic, "outdated", ctx);
  }
  resume_following(topic, ctx);
}

/// Continues to follow a topic after a peer could not be reached. Other peers may be
/// lost too, each of which would take a timeout, so that the node turns to the store
/// unless that is unavailable.
void leave_lost_source(store_topic topic, const char* reason, context& ctx) {
  drop_source(topic, reason, ctx);
  if (ctx.node.store_unavailable) {
    resume_following(topic, ctx);
    return;
  }
  watch_store(topic, ctx);
}

/// Handles a peer that did not reply in time.
void on_silent_source(store_topic topic, context& ctx) {
  ctx.out.emplace_back(reset_peer_connection{state_of(topic, ctx).source});
  leave_lost_source(topic, "silent", ctx);
}

}  // namespace

void mark_store_recovered(store_topic topic, context& ctx) {
  ctx.node.store_unavailable = false;
  ctx.node.store_recovered_at = ctx.now;
  ctx.log("store_regained", {{"topic", name_of(topic)}});
}

void record_failure(store_topic topic, store_failure failure, const std::string& detail,
                    context& ctx) {
  topic_state& state = state_of(topic, ctx);
  ++state.failures;
  ++ctx.node.count.store_failures;
  if (!ctx.node.store_unavailable) {
    ctx.node.store_unavailable = true;
    ctx.node.store_unavailable_since = ctx.now;
    ctx.log("store_lost",
            {{"topic", name_of(topic)},
             {"failure", name_of(failure)},
             {"detail", detail},
             {"view_age_ms", std::to_string(view_age(state, ctx.now).count())}},
            true);
    reply_to_waiting_peers(ctx);
  }
}

void start_following(context& ctx) {
  for (const store_topic topic : followed_topics(ctx.node.settings)) {
    mark_verified(state_of(topic, ctx), ctx.now);
    start_listing(topic, "", ctx);
  }
}

void on_topic_listed(const topic_listed& event, context& ctx) {
  topic_state& state = state_of(event.topic, ctx);
  record_success(event.topic, ctx);
  if (!accept_answer(event.topic, event.revision, ctx)) {
    return;
  }
  apply_catalog(event.configuration, ctx);
  // Pages differ in age, either way if they may be stale. A watch from the oldest one's
  // revision repeats all changes that any of them lacks.
  const store_revision page_revision = complete_revision(event.revision, ctx);
  const store_revision revision =
      std::min(state.listing_revision.value_or(page_revision), page_revision);
  state.listing_revision = revision;
  listed_entries& pages = state.pages;
  pages.leafs.insert(pages.leafs.end(), event.leafs.begin(), event.leafs.end());
  pages.zones.insert(pages.zones.end(), event.zones.begin(), event.zones.end());
  if (!event.next_page_after.empty()) {
    if (!pages.positions.insert(event.next_page_after).second) {
      fail_endless_listing(event, ctx);
      return;
    }
    start_listing(event.topic, event.next_page_after, ctx);
    return;
  }
  const listed_entries listed = std::move(state.pages);
  state.pages = {};
  state.revision = revision;
  if (may_list_stale(event.topic, state)) {
    state.stale_listing_tried = true;
    ctx.add_timer(ctx.now + ctx.node.settings.store.stale_catch_up_time,
                  timer_kind::stale_listing_caught_up,
                  static_cast<std::uint64_t>(event.topic));
  } else {
    state.listed = true;
    mark_verified(state, state.listing_started_at);
  }
  apply_entries(event.topic, listed, ctx);
  restart_history(event.topic, revision, ctx);
  start_watch(event.topic, ctx);
  reply_to_waiting_peers(ctx);
}

void on_topic_changed(const topic_changed& event, context& ctx) {
  topic_state& state = state_of(event.topic, ctx);
  record_success(event.topic, ctx);
  if (!accept_answer(event.topic, event.revision, ctx)) {
    return;
  }
  const store_revision revision = complete_revision(event.revision, ctx);
  if (state.revision.era != 0 && state.revision.era != revision.era) {
    list_again(event.topic, ctx);
    return;
  }
  mark_verified(state, ctx.now);
  const bool empty = !has_changes(event);
  if (state.checking && !empty) {
    ctx.log("watch_missed_changes", {{"topic", name_of(event.topic)},
                                     {"watched_from", to_string(state.revision)},
                                     {"revision", to_string(event.revision)}});
  }
  state.revision = revision;
  state.listed = true;
  if (empty) {
    start_watch(event.topic, ctx);
    return;
  }
  record_change(event, revision, ctx);
  apply_update(event, ctx);
  reply_to_waiting_peers(ctx);
  resume_after(event.topic, pause_after_change(event.topic, ctx.node.settings.store),
               topic_phase::watching, ctx);
}

void on_store_call_failed(const store_call_failed& event, context& ctx) {
  state_of(event.topic, ctx).pages = {};
  state_of(event.topic, ctx).stale_listing_tried = true;
  handle_call_failure(event.topic, event.failure, event.detail, ctx);
}

void on_peer_reply(const peer_replied& event, context& ctx) {
  const store_topic topic = event.update.topic;
  topic_state& state = state_of(topic, ctx);
  if (state.call_serial != event.serial || state.source != event.node) {
    return;
  }
  ++state.call_serial;
  switch (event.kind) {
    case peer_reply_status::changes:
      apply_peer_changes(event, ctx);
      return;
    case peer_reply_status::history_dropped:
      start_listing(topic, "", ctx);
      return;
    case peer_reply_status::not_following:
      drop_source(topic, "not_following", ctx);
      resume_following(topic, ctx);
      return;
    case peer_reply_status::unreachable:
      leave_lost_source(topic, "unreachable", ctx);
      return;
  }
}

void on_store_timer(const timer& due, context& ctx) {
  const auto topic = static_cast<store_topic>(due.subject);
  topic_state& state = state_of(topic, ctx);
  if (due.kind == timer_kind::stale_listing_caught_up) {
    state.listed = state.listed || state.phase == topic_phase::watching;
    return;
  }
  if (state.call_serial != due.detail) {
    return;
  }
  if (due.kind == timer_kind::store_retry) {
    resume_following(topic, ctx);
    return;
  }
  if (!state.source.empty()) {
    on_silent_source(topic, ctx);
    return;
  }
  state.pages = {};
  ctx.out.emplace_back(cancel_store_call{topic});
  handle_call_failure(topic, store_failure::unreachable, "no answer in time", ctx);
}

bool depends_on_store(const node_state& node) {
  const std::vector<store_topic> topics = followed_topics(node.settings);
  return node.store_unavailable ||
         std::any_of(topics.begin(), topics.end(), [&node](store_topic topic) {
           return node.topics[static_cast<std::size_t>(topic)].source.empty();
         });
}

bool has_routing_data(const node_state& node) {
  return node.configuration != nullptr &&
         node.topics[static_cast<std::size_t>(store_topic::leafs)].listed &&
         knows_evacuations(node);
}

}  // namespace ibis::serving
