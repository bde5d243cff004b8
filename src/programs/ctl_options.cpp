#include "ctl_options.hpp"

#include "ctl_commands.hpp"  // for check_command

namespace ibis::programs {
namespace {

using command_function = int (*)(const ctl_options&);

void add_platform_option(CLI::App& app, ctl_options& options) {
  app.add_option("--platform", options.platform,
                 "Address of the platform's object API, ip:port")
      ->envname("IBIS_PLATFORM")
      ->required();
}

void add_entry_option(CLI::App& app, ctl_options& options, bool required) {
  auto* option = app.add_option("--entry", options.entry,
                                "Address of an entry's HTTP interface, ip:port")
                     ->envname("IBIS_ENTRY");
  option->required(required);
}

void add_file_arguments(CLI::App& app, ctl_options& options) {
  app.add_option("files", options.files,
                 "The base file, then the overlays, in order of application")
      ->required()
      ->check(CLI::ExistingFile);
}

/// Adds the options of the commands that change the configuration.
void add_change_options(CLI::App& app, ctl_options& options) {
  add_platform_option(app, options);
  add_entry_option(app, options, false);
  app.add_option("--author", options.author, "Author of the change; default: $USER");
  app.add_option("--note", options.note, "Short reason for the change");
  app.add_flag("--yes", options.skip_confirmation,
               "Apply without asking for confirmation");
  app.add_flag("--wait", options.wait_until_applied,
               "Wait until the change is applied in all availability zones");
  app.add_option("--wait-seconds", options.wait_timeout_s,
                 "Timeout of --wait, in seconds")
      ->check(CLI::Range(0.1, 3600.0));
  app.add_option("--expect-generation", options.expected_generation,
                 "Refuse the change if the platform has another generation");
}

CLI::App* add_command(CLI::App& app, const std::string& name,
                      const std::string& description, command_function run,
                      ctl_options& options, int& exit_code) {
  CLI::App* subcommand = app.add_subcommand(name, description);
  subcommand
      ->add_option("--output", options.output_format, "Output format: text or json")
      ->check(CLI::IsMember({"text", "json"}));
  subcommand->callback([run, &options, &exit_code] { exit_code = run(options); });
  return subcommand;
}

}  // namespace

void add_commands(CLI::App& app, ctl_options& options, int& exit_code) {
  app.require_subcommand(1);
  const auto add = [&](const char* name, const char* description,
                       command_function run) {
    return add_command(app, name, description, run, options, exit_code);
  };
  CLI::App* check =
      add("check", "Checks declarations and reports all errors", check_command);
  add_file_arguments(*check, options);
  CLI::App* diff = add("diff", "Shows the changes that apply would make", diff_command);
  add_platform_option(*diff, options);
  add_file_arguments(*diff, options);
  CLI::App* apply = add("apply", "Applies declarations to the tier", apply_command);
  add_change_options(*apply, options);
  add_file_arguments(*apply, options);
  CLI::App* get =
      add("get", "Prints a part of the accepted configuration", get_command);
  add_platform_option(*get, options);
  get->add_option("part", options.name,
                  "Name of the part; without it, all names are listed");
  CLI::App* history = add("history", "Lists the latest changes", history_command);
  add_platform_option(*history, options);
  CLI::App* status = add(
      "status",
      "Shows the members with availability zone and generation, and what is leaving",
      status_command);
  add_entry_option(*status, options, true);
  status
      ->add_option("--platform", options.platform,
                   "Address of the platform's object API, ip:port")
      ->envname("IBIS_PLATFORM");
  CLI::App* vacate = add(
      "vacate", "Moves work off an upstream or VM before a given time", vacate_command);
  add_change_options(*vacate, options);
  vacate->add_option("name", options.name, "Name of a leaf or VM")->required();
  vacate->add_option(
      "--by", options.leave_by,
      "Time such as 2026-12-06T23:59:00, with a UTC offset or with --time-zone");
  vacate->add_option("--time-zone", options.time_zone,
                     "Time zone of --by, such as Europe/Prague");
  vacate->add_flag("--undo", options.undo, "Cancels an earlier vacate or drain");
  CLI::App* drain =
      add("drain", "Moves work off an upstream or VM immediately", drain_command);
  add_change_options(*drain, options);
  drain->add_option("name", options.name, "Name of a leaf or VM")->required();
  drain->add_flag("--undo", options.undo, "Cancels an earlier vacate or drain");
  CLI::App* completion =
      add("completion", "Prints a shell completion script", completion_command);
  completion->add_option("shell", options.name, "The shell: bash")
      ->check(CLI::IsMember({"bash"}));
}

}  // namespace ibis::programs
