#include "ibis/reactor/bounded_output.hpp"

#include <poll.h>    // for poll
#include <unistd.h>  // for write

#include <algorithm>  // for min

namespace ibis::reactor {
namespace {

/// A write of at most this size does not block on a pipe that `poll` reports as
/// writable.
constexpr std::size_t max_pipe_write_bytes = 4096;

bool is_writable(int descriptor) {
  pollfd poll_entry{descriptor, POLLOUT, 0};
  return ::poll(&poll_entry, 1, 0) == 1 && (poll_entry.revents & POLLOUT) != 0;
}

}  // namespace

bounded_output::bounded_output(int descriptor, const output_limits& limits)
    : descriptor_(descriptor), limits_(limits), tokens_(limits.lines_per_s) {}

bool bounded_output::try_take_token(base::time_point now) {
  const double elapsed_s = base::to_ms(now - refilled_at_) / 1000.0;
  tokens_ = std::min(limits_.lines_per_s, tokens_ + elapsed_s * limits_.lines_per_s);
  refilled_at_ = now;
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

void bounded_output::add(std::string_view line, bool urgent, base::time_point now) {
  const bool fits = buffer_.size() + line.size() < limits_.buffer_bytes;
  if (!fits || (!urgent && !try_take_token(now))) {
    ++dropped_;
    return;
  }
  buffer_ += line;
  buffer_ += '\n';
}

void bounded_output::flush() {
  std::size_t written = 0;
  while (written < buffer_.size() && is_writable(descriptor_)) {
    const std::string_view rest =
        std::string_view(buffer_).substr(written, max_pipe_write_bytes);
    const ssize_t count = ::write(descriptor_, rest.data(), rest.size());
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  buffer_.erase(0, written);
}

std::uint64_t bounded_output::take_dropped_count() {
  const std::uint64_t dropped = dropped_;
  dropped_ = 0;
  return dropped;
}

}  // namespace ibis::reactor
