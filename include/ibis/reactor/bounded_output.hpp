/// Non-blocking line output: a bounded buffer in front of a file descriptor. Lines that
/// exceed the buffer or the rate limit are dropped and counted.
#pragma once

#include <cstddef>      // for size_t
#include <cstdint>      // for uint64_t
#include <string>       // for string
#include <string_view>  // for string_view

#include "ibis/base/time.hpp"  // for time_point

namespace ibis::reactor {

/// Limits of buffered output.
struct output_limits {
  std::size_t buffer_bytes = 256 * 1024;
  /// Sustained rate. Bursts of up to as many lines as one second allows pass.
  double lines_per_s = 400;
};

/// Buffers lines for a file descriptor and writes them without ever blocking, so that a
/// slow reader of the output cannot stall the process.
class bounded_output {
 public:
  /// @param descriptor An open file descriptor; it is not closed here.
  bounded_output(int descriptor, const output_limits& limits);

  /// Buffers a line, or drops it if the buffer is full or the rate limit is exceeded.
  /// @param line Without its newline, which is added.
  /// @param urgent Exempts the line from the rate limit.
  void add(std::string_view line, bool urgent, base::time_point now);
  /// Writes as much of the buffer as the descriptor accepts without blocking.
  void flush();
  /// Returns how many lines were dropped since the last call and resets the count.
  std::uint64_t take_dropped_count();

 private:
  bool try_take_token(base::time_point now);

  int descriptor_;
  output_limits limits_;
  std::string buffer_;
  double tokens_;
  base::time_point refilled_at_{};
  std::uint64_t dropped_ = 0;
};

}  // namespace ibis::reactor
