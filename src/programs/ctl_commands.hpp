/// The commands of `ibisctl`. Each prints its result to standard output and errors to
/// standard error (with `--output json`, both to standard output), and returns the exit
/// code of the process.
#pragma once

#include "ctl_options.hpp"  // for ctl_options

namespace ibis::programs {

inline constexpr int exit_ok = 0;
inline constexpr int exit_invalid = 2;   ///< The declarations or arguments are invalid.
inline constexpr int exit_conflict = 3;  ///< Another change was applied first.
/// The platform or an entry is unreachable.
inline constexpr int exit_unavailable = 4;
/// The change was accepted, but not applied in all availability zones before the wait
/// timeout.
inline constexpr int exit_wait_timed_out = 5;
inline constexpr int exit_declined = 6;  ///< The operator declined the change.

/// Checks the declarations in files and prints every error.
int check_command(const ctl_options& options);
/// Prints the differences between the platform's configuration and the files.
int diff_command(const ctl_options& options);
/// Shows the differences, asks for confirmation and applies the files.
int apply_command(const ctl_options& options);
/// Prints one part of the accepted configuration, or the names of all parts.
int get_command(const ctl_options& options);
/// Prints the latest accepted changes, newest first.
int history_command(const ctl_options& options);
/// Prints the members that an entry knows, and the load left on leafs that are leaving.
int status_command(const ctl_options& options);
/// Schedules work to be moved off an upstream or VM by a given time, or cancels that.
int vacate_command(const ctl_options& options);
/// Moves work off an upstream or VM immediately, or cancels that.
int drain_command(const ctl_options& options);
/// Prints a completion script for bash.
int completion_command(const ctl_options& options);

}  // namespace ibis::programs
