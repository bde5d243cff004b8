#include "ibis/serving/leaf_backoff.hpp"

#include <algorithm>  // for max, min

namespace ibis::serving {
namespace {

constexpr unsigned status_unavailable = 503;

void start_backoff(leaf_state& leaf, base::milliseconds asked_for,
                   const std::string& request, context& ctx) {
  const base::milliseconds delay =
      std::min(asked_for, ctx.node.settings.leafs.retry_after_limit);
  ctx.node.count.leaf_retry_after_bounded += delay < asked_for ? 1 : 0;
  ++ctx.node.count.leaf_backoffs;
  leaf.backs_off_until = std::max(leaf.backs_off_until, ctx.now + delay);
  leaf.returns_from_backoff = true;
  ctx.log("leaf_backs_off", {{"request", request},
                             {"leaf", leaf.record.id},
                             {"service", leaf.record.service},
                             {"retry_after_ms", std::to_string(asked_for.count())},
                             {"delay_ms", std::to_string(delay.count())}});
}

}  // namespace

bool backs_off(const leaf_state& leaf, base::time_point now) {
  return now < leaf.backs_off_until;
}

bool is_probed(const leaf_state& leaf) {
  return leaf.returns_from_backoff && !leaf.running.empty();
}

void note_backoff(leaf_state& leaf, const leaf_answer& answer,
                  const std::string& request, context& ctx) {
  const bool turned_away = answer.not_executed && answer.status == status_unavailable;
  if (turned_away && answer.retry_after_unreadable) {
    ++ctx.node.count.leaf_retry_after_ignored;
  }
  if (turned_away && answer.retry_after) {
    start_backoff(leaf, *answer.retry_after, request, ctx);
    return;
  }
  // Answers to requests from before the leaf backed off do not end it.
  if (leaf.returns_from_backoff && !backs_off(leaf, ctx.now)) {
    leaf.returns_from_backoff = false;
    ctx.log("leaf_returns", {{"request", request},
                             {"leaf", leaf.record.id},
                             {"service", leaf.record.service}});
  }
}

std::optional<base::time_point> end_of_backoff(const node_state& node,
                                               const std::string& service,
                                               base::time_point now) {
  const auto found = node.services.find(service);
  if (found == node.services.end()) {
    return std::nullopt;
  }
  std::optional<base::time_point> end;
  for (const leaf_ptr& leaf : found->second.leafs) {
    if (!takes_new_work(*leaf)) {
      continue;
    }
    if (!backs_off(*leaf, now)) {
      return std::nullopt;
    }
    end = end ? std::min(*end, leaf->backs_off_until) : leaf->backs_off_until;
  }
  return end;
}

}  // namespace ibis::serving
