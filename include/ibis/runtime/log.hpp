/// Structured logging with spdlog, as text or as JSON lines.
#pragma once

#include "ibis/config/settings.hpp"  // for log_settings
#include "ibis/policy/effect.hpp"    // for log_line

namespace ibis::runtime {

/// Configures the process's logger, which writes to standard error. Call it once,
/// before any thread is started.
/// @param node The name of this node, which is part of each line.
void set_up_log(const config::log_settings& settings, const std::string& node);

/// Writes a line if its level is enabled. May be called from any thread.
void write_log(const policy::log_line& line);

/// Logs an error as a warning, with its step, peer and code.
void log_error(const base::error& value);

}  // namespace ibis::runtime
