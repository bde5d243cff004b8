#include "ibis/base/time.hpp"

#include <atomic>  // for atomic
#include <ctime>   // for clock_gettime

namespace ibis::base {
namespace {

constexpr clock::rep not_paused = -1;

// The state of the clock, which changes only when tests pause, advance or resume it.
// Atomic, since any thread may read the clock. The offset is added to the system's
// steady clock.
// NOLINTNEXTLINE(*-avoid-non-const-global-variables)
std::atomic<clock::rep> paused_time{not_paused};
// NOLINTNEXTLINE(*-avoid-non-const-global-variables)
std::atomic<clock::rep> offset{0};

clock::rep running_now() {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<clock::duration>(since_start).count() +
         offset.load();
}

}  // namespace

clock::time_point clock::now() noexcept {
  const rep paused_ticks = paused_time.load();
  return time_point(
      duration(paused_ticks == not_paused ? running_now() : paused_ticks));
}

void clock::pause() noexcept {
  paused_time.store(now().time_since_epoch().count());
}

void clock::advance(duration by) noexcept {
  if (paused_time.load() == not_paused) {
    return;
  }
  paused_time.fetch_add(by.count());
}

void clock::resume() noexcept {
  const rep paused_ticks = paused_time.exchange(not_paused);
  if (paused_ticks == not_paused) {
    return;
  }
  offset.fetch_add(paused_ticks - running_now());
}

double to_ms(duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

std::chrono::microseconds boot_now() {
  constexpr std::chrono::seconds::rep ns_per_us = 1000;
  timespec time{};
  if (clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
    return std::chrono::microseconds(0);
  }
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::microseconds(time.tv_nsec / ns_per_us);
}

std::chrono::milliseconds unix_now() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
}

}  // namespace ibis::base
