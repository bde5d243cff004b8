/// The calls by which a node follows a topic: listings and watches of the store, and
/// queries of a peer that watches the store.
#pragma once

#include <string>  // for string
#include <vector>  // for vector

#include "ibis/base/time.hpp"      // for milliseconds
#include "ibis/serving/event.hpp"  // for store_topic
#include "ibis/serving/state.hpp"  // for context, topic_phase, topic_state

namespace ibis::serving {

/// @return A topic's name in logs.
const char* name_of(store_topic topic);

/// @return The topics that a node with these settings follows. Nothing is sent or asked
/// about any other.
std::vector<store_topic> followed_topics(const node_settings& settings);

/// @return The state of a topic.
topic_state& state_of(store_topic topic, context& ctx);

/// Lists a page of a topic at the store.
/// @param after Key after which the page begins; empty for the first page.
void start_listing(store_topic topic, const std::string& after, context& ctx);

/// Whether the next listing may be a stale copy. The first listing of leafs may be one,
/// since it costs less and the watch from its revision brings what is newer. One of
/// evacuations may not: until the watch answers, requests could go to evacuated leafs.
bool may_list_stale(store_topic topic, const topic_state& state);

/// Watches a topic from its revision on, at the store or at a peer.
void start_watch(store_topic topic, context& ctx);

/// Watches a topic at the store from its revision on.
void watch_store(store_topic topic, context& ctx);

/// Replaces the watch of a topic by one that the store answers at once, which shows
/// whether the replaced one missed changes.
void check_watch(store_topic topic, context& ctx);

/// Continues to follow a topic after a pause or with another source.
void resume_following(store_topic topic, context& ctx);

/// Continues to follow a topic after a delay.
/// @param phase Whether it was watched or is to be listed again.
void resume_after(store_topic topic, base::milliseconds delay, topic_phase phase,
                  context& ctx);

/// Stops to use the peer that is a topic's source for a while, and logs the reason.
void drop_source(store_topic topic, const char* reason, context& ctx);

}  // namespace ibis::serving
