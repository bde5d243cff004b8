/// The command line of `ibisctl`.
#pragma once

#include <CLI/CLI.hpp>  // for App
#include <string>       // for string
#include <vector>       // for vector

namespace ibis::programs {

/// The options and arguments of all commands.
struct ctl_options {
  std::string platform;                ///< "ip:port" of the platform's object API.
  std::string entry;                   ///< "ip:port" of an entry's HTTP interface.
  std::string output_format = "text";  ///< "text" or "json".
  std::vector<std::string> files;      ///< The base file, then overlays in order.
  std::string author;                  ///< Author of the change; empty for $USER.
  std::string note;                    ///< Reason for the change.
  bool skip_confirmation = false;
  bool wait_until_applied = false;
  double wait_timeout_s = 30;
  /// Changes are refused if the platform has another generation; 0 accepts any.
  std::uint64_t expected_generation = 0;
  std::string name;  ///< Of a part, upstream, VM or shell, depending on the command.
  /// Time by which work must have moved off, for `vacate`, such as
  /// "2026-12-06T23:59:00+01:00".
  std::string leave_by;
  /// Time zone of a `leave_by` without UTC offset, such as "Europe/Prague".
  std::string time_zone;
  bool undo = false;  ///< Cancels an earlier vacate or drain.
};

/// Adds all commands to a command line. Parsing it runs the chosen command.
/// @param options Filled by parsing; must outlive `app`, as must `exit_code`.
/// @param exit_code Set by the command that runs.
void add_commands(CLI::App& app, ctl_options& options, int& exit_code);

}  // namespace ibis::programs
