#include "ibis/serving/store_era.hpp"

#include <string>  // for to_string

#include "ibis/serving/node_records.hpp"  // for on_store_restored
#include "ibis/serving/topic_calls.hpp"   // for followed_topics, start_listing

namespace ibis::serving {
namespace {

void begin_era(std::uint64_t era, context& ctx) {
  ctx.log(
      "store_restored",
      {{"era", std::to_string(era)}, {"before", std::to_string(ctx.node.store_era)}},
      true);
  ctx.node.store_era = era;
  // Records that the copy lacks are written again; their leafs are kept until then.
  ctx.node.store_recovered_at = ctx.now;
  for (const store_topic topic : followed_topics(ctx.node.settings)) {
    list_again(topic, ctx);
  }
  on_store_restored(ctx);
}

}  // namespace

era_order note_store_era(std::uint64_t era, context& ctx) {
  if (era == 0 || era == ctx.node.store_era) {
    return era_order::current;
  }
  if (era < ctx.node.store_era) {
    return era_order::earlier;
  }
  if (ctx.node.store_era == 0) {
    ctx.node.store_era = era;
    return era_order::current;
  }
  begin_era(era, ctx);
  return era_order::later;
}

store_revision complete_revision(store_revision revision, const context& ctx) {
  if (revision.era == 0) {
    revision.era = ctx.node.store_era;
  }
  return revision;
}

void list_again(store_topic topic, context& ctx) {
  topic_state& state = state_of(topic, ctx);
  // A replica may be of an earlier era.
  state.stale_listing_tried = true;
  ctx.out.emplace_back(cancel_store_call{topic});
  start_listing(topic, "", ctx);
}

}  // namespace ibis::serving
