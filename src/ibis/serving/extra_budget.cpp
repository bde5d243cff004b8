#include "ibis/serving/extra_budget.hpp"

#include <algorithm>  // for max, min

namespace ibis::serving {

void extra_budget::advance(base::time_point now,
                           const extra_budget_settings& settings) {
  // The slices span one slice more than the window, so that no extra request is
  // forgotten before the window has passed.
  const auto slice_length = settings.window / (slice_count - 1);
  const auto index = static_cast<std::int64_t>(now.time_since_epoch() / slice_length);
  const std::int64_t steps = std::min<std::int64_t>(index - current_, slice_count);
  for (std::int64_t i = 1; i <= steps; ++i) {
    slice& oldest = slices_[static_cast<std::size_t>(index - steps + i) % slice_count];
    requests_ -= oldest.requests;
    extras_ -= oldest.extras;
    oldest = {};
  }
  current_ = std::max(current_, index);
}

double extra_budget::allowance(const extra_budget_settings& settings) const {
  // Without the oldest slice, the requests counted all lie within the window, while the
  // extra requests counted include all of the window. So the limit is never exceeded.
  const slice& oldest = slices_[static_cast<std::size_t>(current_ + 1) % slice_count];
  return settings.ratio * (requests_ - oldest.requests) + settings.slack;
}

void extra_budget::count_request(base::time_point now,
                                 const extra_budget_settings& settings) {
  advance(now, settings);
  ++slices_[static_cast<std::size_t>(current_) % slice_count].requests;
  ++requests_;
}

bool extra_budget::try_spend(base::time_point now,
                             const extra_budget_settings& settings) {
  advance(now, settings);
  if (extras_ + 1 > allowance(settings)) {
    return false;
  }
  ++slices_[static_cast<std::size_t>(current_) % slice_count].extras;
  ++extras_;
  return true;
}

std::uint32_t extra_budget::spent(base::time_point now,
                                  const extra_budget_settings& settings) {
  advance(now, settings);
  return extras_;
}

double extra_budget::allowed(base::time_point now,
                             const extra_budget_settings& settings) {
  advance(now, settings);
  return allowance(settings);
}

double extra_budget::remaining_share(base::time_point now,
                                     const extra_budget_settings& settings) {
  const double all = allowed(now, settings);
  return all <= 0 ? 0 : std::max(0.0, 1 - extras_ / all);
}

}  // namespace ibis::serving
