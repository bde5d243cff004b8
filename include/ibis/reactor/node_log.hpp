/// The structured log of the process: one JSON object per line on standard output,
/// written through spdlog.
#pragma once

#include <string>  // for string

#include "ibis/reactor/bounded_output.hpp"  // for output_limits
#include "ibis/serving/effect.hpp"          // for log_line

namespace ibis::reactor {

/// Settings of the log.
struct node_log_settings {
  std::string node;  ///< The node's name, which is part of each line.
  /// Whether lines of level "info" are written, such as one for each request. Warnings
  /// always are.
  bool log_requests = true;
  output_limits limits;
};

/// Formats a line's members of the JSON object, all but its time and level. Fields
/// without a value are left out.
std::string format_log_members(const std::string& node, const serving::log_line& line);

/// Initializes the log. Lines that are written earlier are discarded.
void set_up_log(const node_log_settings& settings);

/// Buffers a log line, or drops it if the buffer is full or an "info" line exceeds the
/// rate limit. Never blocks.
void write_log(const serving::log_line& line);

/// Writes buffered lines to standard output, and a warning with the number of lines
/// that were dropped since the last call, if any. Call it periodically; it never
/// blocks.
void flush_log();

}  // namespace ibis::reactor
