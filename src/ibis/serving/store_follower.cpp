#include "ibis/serving/store_follower.hpp"

#include <algorithm>  // for any_of, max, min
#include <string>     // for string
#include <utility>    // for move

#include "ibis/serving/holders.hpp"        // for update_holders
#include "ibis/serving/peer_replies.hpp"   // for record_change, reply_to_waiting_peers
#include "ibis/serving/registry.hpp"       // for apply_changes, apply_listing
#include "ibis/serving/update_source.hpp"  // for choose_update_source, avoid_peer

namespace ibis::serving {
namespace {

constexpr std::uint32_t max_doublings = 4;

const char* name_of(store_topic topic) {
  return topic == store_topic::configuration ? "configuration" : "leafs";
}

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

topic_state& state_of(store_topic topic, context& ctx) {
  return ctx.node.topics[static_cast<std::size_t>(topic)];
}

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
                                    {"revision", std::to_string(state.revision)}});
  reply_to_waiting_peers(ctx);
}

/// Starts the timeout of a call that begins now.
void start_call_timeout(store_topic topic, base::milliseconds limit, context& ctx) {
  topic_state& state = state_of(topic, ctx);
  ++state.call_serial;
  state.called_at = ctx.now;
  ctx.add_timer(ctx.now + limit, timer_kind::store_call,
                static_cast<std::uint64_t>(topic), state.call_serial);
}

/// Whether a listing may be a stale copy. The first listing of leafs may be one, since
/// it has many pages and the watch from its revision brings what is newer.
bool may_list_stale_leafs(store_topic topic, const topic_state& state) {
  return topic == store_topic::leafs && !state.stale_listing_tried;
}

void start_listing(store_topic topic, const std::string& after, context& ctx) {
  topic_state& state = state_of(topic, ctx);
  state.phase = topic_phase::listing;
  set_source(topic, "", ctx);
  ++ctx.node.count.store_calls;
  start_call_timeout(topic, ctx.node.settings.store.list_timeout, ctx);
  ctx.out.emplace_back(list_topic{topic, after, may_list_stale_leafs(topic, state)});
}

void watch_store(store_topic topic, context& ctx) {
  topic_state& state = state_of(topic, ctx);
  const store_settings& settings = ctx.node.settings.store;
  set_source(topic, "", ctx);
  ++ctx.node.count.store_calls;
  start_call_timeout(topic, settings.wait + settings.grace, ctx);
  ctx.out.emplace_back(watch_topic{topic, state.revision, settings.wait});
  // A store that is unresponsive right now drops the watch without notice. It does not
  // answer this probe either, which reveals the loss.
  ctx.out.emplace_back(probe_store{settings.probe_limit});
}

void watch_peer(store_topic topic, const peer& source, context& ctx) {
  topic_state& state = state_of(topic, ctx);
  const peer_settings& settings = ctx.node.settings.peers;
  set_source(topic, source.node, ctx);
  ++ctx.node.count.peer_questions;
  start_call_timeout(topic, settings.wait + settings.grace, ctx);
  ctx.out.emplace_back(query_peer{source, topic, state.call_serial, state.revision});
}

void start_watch(store_topic topic, context& ctx) {
  state_of(topic, ctx).phase = topic_phase::watching;
  if (const auto source = choose_update_source(ctx.node, ctx.now)) {
    watch_peer(topic, *source, ctx);
    return;
  }
  watch_store(topic, ctx);
}

/// Logs that changes or a listing of a topic were applied, and how old the data was.
void log_update(const char* name, store_topic topic, std::size_t entries,
                context& ctx) {
  const topic_state& state = state_of(topic, ctx);
  const auto age =
      std::chrono::duration_cast<base::milliseconds>(ctx.now - state.last_current_at);
  ctx.log(name, {{"topic", name_of(topic)},
                 {"source", state.source.empty() ? "store" : state.source},
                 {"revision", std::to_string(state.revision)},
                 {"entries", std::to_string(entries)},
                 {"view_age_ms", std::to_string(age.count())}});
}

/// Continues to follow a topic after a pause or with another source.
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

/// Replaces a peer that could not supply updates with another one or the store.
void replace_source(store_topic topic, const char* reason, context& ctx) {
  const std::string source = state_of(topic, ctx).source;
  ctx.log("peer_source_failed",
          {{"peer", source}, {"topic", name_of(topic)}, {"reason", reason}});
  avoid_peer(source, ctx);
  resume_following(topic, ctx);
}

void resume_after(store_topic topic, base::milliseconds delay, topic_phase phase,
                  context& ctx) {
  topic_state& state = state_of(topic, ctx);
  ++state.call_serial;
  state.phase = phase;
  ctx.add_timer(ctx.now + delay, timer_kind::store_retry,
                static_cast<std::uint64_t>(topic), state.call_serial);
}

void mark_store_recovered(store_topic topic, context& ctx) {
  ctx.node.store_unavailable = false;
  ctx.node.store_recovered_at = ctx.now;
  ctx.log("store_regained", {{"topic", name_of(topic)}});
}

void record_success(store_topic topic, context& ctx) {
  topic_state& state = state_of(topic, ctx);
  state.failures = 0;
  state.last_current_at = ctx.now;
  ++state.call_serial;
  if (ctx.node.store_unavailable) {
    mark_store_recovered(topic, ctx);
  }
}

void record_failure(store_topic topic, store_failure failure, const std::string& detail,
                    context& ctx) {
  topic_state& state = state_of(topic, ctx);
  ++state.failures;
  ++ctx.node.count.store_failures;
  if (!ctx.node.store_unavailable) {
    ctx.node.store_unavailable = true;
    ctx.node.store_unavailable_since = ctx.now;
    const auto age =
        std::chrono::duration_cast<base::milliseconds>(ctx.now - state.last_current_at);
    ctx.log("store_lost",
            {{"topic", name_of(topic)},
             {"failure", name_of(failure)},
             {"detail", detail},
             {"view_age_ms", std::to_string(age.count())}},
            true);
    reply_to_waiting_peers(ctx);
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
  const std::uint32_t doublings = std::min(state.failures - 1, max_doublings);
  const base::milliseconds full_delay =
      std::min(settings.backoff * (1U << doublings), settings.backoff_limit);
  // Jitter keeps nodes that lost the store at the same time from all returning at once.
  return full_delay / 2 + base::milliseconds(static_cast<base::milliseconds::rep>(
                              ctx.node.random() %
                              static_cast<std::uint64_t>(full_delay.count() / 2 + 1)));
}

void handle_call_failure(store_topic topic, store_failure failure,
                         const std::string& detail, context& ctx) {
  topic_state& state = state_of(topic, ctx);
  if (failure == store_failure::history_dropped) {
    ctx.log("store_history_dropped",
            {{"topic", name_of(topic)}, {"revision", std::to_string(state.revision)}});
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

/// Switches this node from its peers back to the store, which serves it again.
void return_to_store(context& ctx) {
  for (const store_topic topic : {store_topic::configuration, store_topic::leafs}) {
    topic_state& state = state_of(topic, ctx);
    if (state.phase == topic_phase::watching && !state.source.empty()) {
      state.failures = 0;
      mark_store_recovered(topic, ctx);
      return;
    }
  }
}

}  // namespace

void start_following(context& ctx) {
  for (const store_topic topic : {store_topic::configuration, store_topic::leafs}) {
    state_of(topic, ctx).last_current_at = ctx.now;
    start_listing(topic, "", ctx);
  }
}

void on_topic_listed(const topic_listed& event, context& ctx) {
  topic_state& state = state_of(event.topic, ctx);
  record_success(event.topic, ctx);
  apply_catalog(event.configuration, ctx);
  state.pages.insert(state.pages.end(), event.leafs.begin(), event.leafs.end());
  if (!event.next_page_after.empty()) {
    start_listing(event.topic, event.next_page_after, ctx);
    return;
  }
  const std::vector<leaf_change> listed = std::move(state.pages);
  state.pages.clear();
  state.revision = event.revision;
  if (may_list_stale_leafs(event.topic, state)) {
    state.stale_listing_tried = true;
    ctx.add_timer(ctx.now + ctx.node.settings.store.stale_catch_up_time,
                  timer_kind::stale_listing_caught_up,
                  static_cast<std::uint64_t>(event.topic));
  } else {
    state.listed = true;
  }
  log_update("store_listing_applied", event.topic, listed.size(), ctx);
  if (event.topic == store_topic::leafs) {
    apply_listing(listed, ctx);
  }
  restart_history(event.topic, event.revision, ctx);
  start_watch(event.topic, ctx);
  reply_to_waiting_peers(ctx);
}

void on_topic_changed(const topic_changed& event, context& ctx) {
  topic_state& state = state_of(event.topic, ctx);
  record_success(event.topic, ctx);
  state.revision = event.revision;
  state.listed = true;
  apply_catalog(event.configuration, ctx);
  if (event.leafs.empty() && !event.configuration) {
    start_watch(event.topic, ctx);
    return;
  }
  log_update("store_changes_applied", event.topic, event.leafs.size(), ctx);
  record_change(event, ctx);
  apply_changes(event.leafs, ctx);
  reply_to_waiting_peers(ctx);
  const store_settings& settings = ctx.node.settings.store;
  const base::milliseconds pause = event.topic == store_topic::configuration
                                       ? settings.configuration_pause
                                       : settings.leaf_pause;
  resume_after(event.topic, pause, topic_phase::watching, ctx);
}

void on_store_call_failed(const store_call_failed& event, context& ctx) {
  state_of(event.topic, ctx).pages.clear();
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
      state.last_current_at = ctx.now;
      state.revision = std::max(state.revision, event.update.revision);
      if (event.update.configuration || !event.update.leafs.empty()) {
        log_update("store_changes_applied", topic, event.update.leafs.size(), ctx);
      }
      apply_catalog(event.update.configuration, ctx);
      apply_changes(event.update.leafs, ctx);
      resume_following(topic, ctx);
      return;
    case peer_reply_status::history_dropped:
      start_listing(topic, "", ctx);
      return;
    case peer_reply_status::not_following:
      replace_source(topic, "not_following", ctx);
      return;
    case peer_reply_status::unreachable:
      replace_source(topic, "unreachable", ctx);
      return;
  }
}

void on_store_probed(const store_probed& event, context& ctx) {
  if (event.served && ctx.node.store_unavailable) {
    return_to_store(ctx);
  }
  if (event.answered) {
    return;
  }
  for (const store_topic topic : {store_topic::configuration, store_topic::leafs}) {
    const topic_state& state = state_of(topic, ctx);
    // A watch that began after the probe has a probe of its own.
    const bool started_after_probe =
        ctx.now - state.called_at < ctx.node.settings.store.probe_limit;
    if (state.phase != topic_phase::watching || !state.source.empty() ||
        started_after_probe) {
      continue;
    }
    ctx.out.emplace_back(cancel_store_call{topic});
    record_failure(topic, store_failure::unreachable, "no answer to a probe", ctx);
    resume_after(topic, base::milliseconds(0), topic_phase::listing, ctx);
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
    ctx.out.emplace_back(reset_peer_connection{state.source});
    ++state.call_serial;
    replace_source(topic, "silent", ctx);
    return;
  }
  state.pages.clear();
  ctx.out.emplace_back(cancel_store_call{topic});
  handle_call_failure(topic, store_failure::unreachable, "no answer in time", ctx);
}

bool depends_on_store(const node_state& node) {
  return node.store_unavailable ||
         std::any_of(node.topics.begin(), node.topics.end(),
                     [](const topic_state& topic) { return topic.source.empty(); });
}

bool has_routing_data(const node_state& node) {
  return node.configuration != nullptr &&
         node.topics[static_cast<std::size_t>(store_topic::leafs)].listed;
}

}  // namespace ibis::serving
