#include "ibis/base/time.hpp"

#include <atomic>  // for atomic

namespace ibis::base {
namespace {

constexpr clock::rep not_paused = -1;

// Guarded by being atomic: the offset moves only when tests pause the clock.
// NOLINTNEXTLINE(*-avoid-non-const-global-variables)
std::atomic<clock::rep> paused_at{not_paused};
// NOLINTNEXTLINE(*-avoid-non-const-global-variables)
std::atomic<clock::rep> offset{0};

clock::rep running_now() {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<clock::duration>(since_start).count() +
         offset.load();
}

}  // namespace

clock::time_point clock::now() noexcept {
  const rep frozen = paused_at.load();
  return time_point(duration(frozen == not_paused ? running_now() : frozen));
}

void clock::pause() noexcept {
  paused_at.store(now().time_since_epoch().count());
}

void clock::advance(duration by) noexcept {
  if (paused_at.load() == not_paused) {
    return;
  }
  paused_at.fetch_add(by.count());
}

void clock::resume() noexcept {
  const rep frozen = paused_at.exchange(not_paused);
  if (frozen == not_paused) {
    return;
  }
  offset.fetch_add(frozen - running_now());
}

double to_ms(duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

std::chrono::milliseconds unix_now() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
}

}  // namespace ibis::base
