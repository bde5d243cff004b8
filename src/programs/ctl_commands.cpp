#include "ctl_commands.hpp"

#include <httplib.h>  // for Client

#include <cstdlib>            // for getenv
#include <iostream>           // for cout, cerr
#include <nlohmann/json.hpp>  // for json
#include <random>             // for random_device
#include <thread>             // for sleep_for

#include "ibis/base/uuid.hpp"                // for make_uuid_v7
#include "ibis/config/parse.hpp"             // for parse_configuration
#include "ibis/control/apply.hpp"            // for apply_plan
#include "ibis/control/leave_by.hpp"         // for parse_leave_by
#include "ibis/runtime/address.hpp"          // for parse_address
#include "ibis/runtime/platform_client.hpp"  // for call_platform_sync

namespace ibis::programs {
namespace {

using control::plan;
using control::platform_snapshot;
using nlohmann::json;

bool wants_json(const ctl_options& options) {
  return options.output_format == "json";
}

int exit_code_for(const base::error& error) {
  switch (error.code) {
    case base::error_code::conflict:
      return exit_conflict;
    case base::error_code::unavailable:
    case base::error_code::timeout:
      return exit_unavailable;
    default:
      return exit_invalid;
  }
}

int report_error(const ctl_options& options, const base::error& error) {
  if (wants_json(options)) {
    std::cout << json{{"ok", false},
                      {"code", base::to_string(error.code)},
                      {"step", error.step},
                      {"peer", error.peer},
                      {"detail", error.detail}}
                     .dump()
              << '\n';
  } else {
    std::cerr << base::describe(error) << '\n';
  }
  return exit_code_for(error);
}

control::platform_transport platform_transport_for(const ctl_options& options) {
  return [address = options.platform](const policy::call_platform& call) {
    return runtime::call_platform_sync(address, call);
  };
}

void pause(base::milliseconds time) {
  std::this_thread::sleep_for(time);
}

/// Loads and checks the files; prints every error.
bool load_configuration(const ctl_options& options,
                        config::configuration& configuration) {
  const auto source = config::load_documents(options.files);
  if (!source) {
    report_error(options, source.error());
    return false;
  }
  auto parsed = config::parse_configuration(source.value());
  json errors = json::array();
  for (const config::document_error& issue : parsed.errors) {
    errors.push_back({{"file", issue.file},
                      {"line", issue.line},
                      {"path", issue.path},
                      {"message", issue.message}});
    if (!wants_json(options)) {
      std::cerr << config::describe(issue) << '\n';
    }
  }
  if (wants_json(options) && !parsed.errors.empty()) {
    std::cout << json{{"ok", false}, {"errors", errors}}.dump() << '\n';
  }
  configuration = std::move(parsed.value);
  return parsed.errors.empty();
}

/// Fetches a JSON document from a node's HTTP interface.
base::result<json> fetch_json(const std::string& address, const std::string& path) {
  const auto target = runtime::parse_address(address);
  if (!target) {
    return target.error();
  }
  httplib::Client client(target.value().ip, target.value().port);
  client.set_connection_timeout(std::chrono::seconds(1));
  const auto response = client.Get(path);
  if (!response) {
    return base::error{base::error_code::unavailable, "read " + path, address,
                       httplib::to_string(response.error())};
  }
  json document = json::parse(response->body, nullptr, false);
  if (document.is_discarded()) {
    return base::error{base::error_code::protocol, "read " + path, address,
                       "the response is not valid JSON"};
  }
  return document;
}

/// @return The highest configuration generation that the entry knows of in the tier, or
/// 0 without an entry or an answer.
std::uint64_t read_highest_generation(const ctl_options& options) {
  if (options.entry.empty()) {
    return 0;
  }
  const auto status = fetch_json(options.entry, "/v1/status");
  return status ? status.value().value("highest_generation_seen", std::uint64_t{0}) : 0;
}

std::string author_for(const ctl_options& options) {
  if (!options.author.empty()) {
    return options.author;
  }
  const char* user = std::getenv("USER");
  return user == nullptr ? "unknown" : user;
}

control::apply_request make_apply_request(const ctl_options& options) {
  std::random_device random;
  const auto now = base::unix_now();
  control::apply_request request;
  request.author = author_for(options);
  request.note = options.note.empty() ? "no note" : options.note;
  request.token = base::make_uuid_v7(now, random(), random());
  request.applied_at_ms = static_cast<std::uint64_t>(now.count());
  request.fleet_generation = read_highest_generation(options);
  return request;
}

json to_json(const std::vector<control::part_difference>& differences) {
  json list = json::array();
  for (const control::part_difference& difference : differences) {
    const char* names[] = {"added", "removed", "changed"};  // NOLINT(*-avoid-c-arrays)
    list.push_back({{"part", difference.part},
                    {"change", names[static_cast<std::size_t>(difference.change)]},
                    {"details", difference.details}});
  }
  return list;
}

bool confirm_plan(const ctl_options& options, const plan& planned) {
  if (!wants_json(options)) {
    std::cout << control::format_differences(planned.differences);
  }
  if (options.skip_confirmation) {
    return true;
  }
  std::cout << "Apply on top of generation " << planned.before.names.generation
            << "? [y/N] " << std::flush;
  std::string answer;
  std::getline(std::cin, answer);
  return answer == "y" || answer == "yes";
}

std::vector<std::string> zone_names_of(const plan& planned) {
  std::vector<std::string> names;
  const json zones = json::parse(planned.after.at("zones"));
  for (const json& zone : zones.at("availability_zones")) {
    names.push_back(zone.at("name"));
  }
  return names;
}

json to_json(const std::vector<control::zone_report>& reports) {
  json list = json::array();
  for (const control::zone_report& report : reports) {
    list.push_back({{"availability_zone", report.zone},
                    {"generation", report.generation},
                    {"live", report.live},
                    {"reached", report.reached},
                    {"in_force", report.in_force}});
  }
  return list;
}

bool applied_in_all_zones(const std::vector<control::zone_report>& reports) {
  for (const control::zone_report& report : reports) {
    if (!report.in_force) {
      return false;
    }
  }
  return true;
}

void print_zone_reports(const std::vector<control::zone_report>& reports) {
  for (const control::zone_report& report : reports) {
    std::cout << (report.in_force ? "applied in " : "not yet applied in ")
              << report.zone << " (" << report.reached << " of " << report.live
              << " processes)\n";
  }
}

/// Polls until all availability zones report the generation, or until the wait timeout.
std::vector<control::zone_report> wait_for_zones(const ctl_options& options,
                                                 const plan& planned,
                                                 std::uint64_t generation) {
  constexpr base::milliseconds poll_interval{100};
  const auto deadline = std::chrono::steady_clock::now() +
                        std::chrono::duration<double>(options.wait_timeout_s);
  std::vector<control::zone_report> reports;
  do {
    reports = control::read_zones(platform_transport_for(options),
                                  zone_names_of(planned), generation);
    if (applied_in_all_zones(reports)) {
      return reports;
    }
    pause(poll_interval);
  } while (std::chrono::steady_clock::now() < deadline);
  return reports;
}

int report_accepted_change(const ctl_options& options, const plan& planned,
                           std::uint64_t generation) {
  json document = {{"ok", true},
                   {"generation", generation},
                   {"differences", to_json(planned.differences)}};
  if (!wants_json(options)) {
    std::cout << "accepted as generation " << generation << '\n';
  }
  bool applied = true;
  if (options.wait_until_applied) {
    const auto reports = wait_for_zones(options, planned, generation);
    applied = applied_in_all_zones(reports);
    document["zones"] = to_json(reports);
    if (!wants_json(options)) {
      print_zone_reports(reports);
    }
  }
  if (wants_json(options)) {
    std::cout << document.dump() << '\n';
  }
  return applied ? exit_ok : exit_wait_timed_out;
}

/// Shows a plan, asks for confirmation, applies it and reports the result.
int confirm_and_apply(const ctl_options& options, const plan& planned) {
  const std::uint64_t current_generation = planned.before.names.generation;
  if (options.expected_generation != 0 &&
      options.expected_generation != current_generation) {
    return report_error(
        options, {base::error_code::conflict, "plan", "platform",
                  "found generation " + std::to_string(current_generation) + " by " +
                      planned.before.names.author + "; expected " +
                      std::to_string(options.expected_generation)});
  }
  if (planned.differences.empty() && planned.before.exists) {
    if (!wants_json(options)) {
      std::cout << "no changes\n";
    }
    return report_accepted_change(options, planned, current_generation);
  }
  if (!confirm_plan(options, planned)) {
    return exit_declined;
  }
  const auto applied = control::apply_plan(planned, make_apply_request(options),
                                           platform_transport_for(options), pause);
  if (!applied) {
    return report_error(options, applied.error());
  }
  return report_accepted_change(options, planned, applied.value());
}

base::result<plan> make_configuration_plan(const ctl_options& options,
                                           const config::configuration& desired) {
  const auto before = control::read_platform(platform_transport_for(options), pause);
  if (!before) {
    return before.error();
  }
  return control::make_plan(before.value(), desired);
}

/// Adds an upstream or VM to those that are leaving, or with `--undo` removes it;
/// changes nothing else in the configuration.
int update_leaving(const ctl_options& options, base::milliseconds leave_by) {
  const auto before = control::read_platform(platform_transport_for(options), pause);
  if (!before) {
    return report_error(options, before.error());
  }
  if (!before.value().exists) {
    return report_error(options, {base::error_code::not_found, "read manifest",
                                  "platform", "no configuration has been applied yet"});
  }
  json leaving = json::parse(before.value().parts.at("leaving"));
  if (options.undo) {
    leaving["leaving"].erase(options.name);
  } else {
    leaving["leaving"][options.name] = {
        {"leave_by", config::format_timestamp(leave_by)}};
  }
  plan planned;
  planned.before = before.value();
  planned.after = planned.before.parts;
  planned.after["leaving"] = leaving.dump();
  planned.differences = control::compare_parts(planned.before.parts, planned.after);
  return confirm_and_apply(options, planned);
}

void print_members(const json& status) {
  for (const json& member : status.at("members")) {
    std::cout << "  " << member.value("node", "") << "  "
              << member.value("availability_zone", "") << "  "
              << member.value("status", "") << "  generation "
              << member.value("generation", std::uint64_t{0}) << '\n';
  }
}

/// Fetches from each relay the requests and connections left on leafs that are leaving.
json fetch_leaving_leafs(const json& status) {
  json remaining = json::array();
  for (const json& member : status.at("members")) {
    const std::string node = member.value("node", "");
    const bool is_relay = node.size() > 6 && node.substr(node.size() - 6) == "/relay";
    if (!is_relay || member.value("status", "") == "dead" ||
        member.value("http", "").empty()) {
      continue;
    }
    const auto relay_status = fetch_json(member["http"], "/v1/status");
    if (!relay_status) {
      remaining.push_back(
          {{"node", node}, {"error", base::describe(relay_status.error())}});
      continue;
    }
    for (json leaf : relay_status.value().at("leafs")) {
      if (leaf.value("leaving", false) || leaf.value("draining", false)) {
        leaf["node"] = node;
        remaining.push_back(leaf);
      }
    }
  }
  return remaining;
}

void print_leaving(const json& status, const json& remaining) {
  for (const auto& [name, leave_by] : status.at("leaving").items()) {
    std::cout << "leaving: " << name << " by "
              << config::format_timestamp(
                     base::milliseconds(leave_by.get<std::int64_t>()))
              << '\n';
  }
  for (const json& leaf : remaining) {
    if (leaf.contains("error")) {
      std::cout << "  " << leaf.value("node", "") << ": " << leaf.value("error", "")
                << '\n';
      continue;
    }
    std::cout << "  " << leaf.value("leaf", "") << " at " << leaf.value("node", "")
              << ": " << leaf.value("in_flight", 0) << " requests in flight, "
              << leaf.value("connections", 0) << " connections\n";
  }
}

}  // namespace

int check_command(const ctl_options& options) {
  config::configuration configuration;
  if (!load_configuration(options, configuration)) {
    return exit_invalid;
  }
  std::size_t leafs = 0;
  for (const auto& [name, service] : configuration.services) {
    for (const config::replica_group& group : service->groups) {
      leafs += group.leafs.size();
    }
  }
  if (wants_json(options)) {
    std::cout << json{{"ok", true},
                      {"services", configuration.services.size()},
                      {"leafs", leafs}}
                     .dump()
              << '\n';
  } else {
    std::cout << "valid: " << configuration.services.size() << " services, " << leafs
              << " leafs, " << configuration.zones.size() << " availability zones\n";
  }
  return exit_ok;
}

int diff_command(const ctl_options& options) {
  config::configuration configuration;
  if (!load_configuration(options, configuration)) {
    return exit_invalid;
  }
  const auto planned = make_configuration_plan(options, configuration);
  if (!planned) {
    return report_error(options, planned.error());
  }
  if (wants_json(options)) {
    std::cout << json{{"ok", true},
                      {"generation", planned.value().before.names.generation},
                      {"differences", to_json(planned.value().differences)}}
                     .dump()
              << '\n';
  } else {
    std::cout << control::format_differences(planned.value().differences);
  }
  return exit_ok;
}

int apply_command(const ctl_options& options) {
  config::configuration configuration;
  if (!load_configuration(options, configuration)) {
    return exit_invalid;
  }
  const auto planned = make_configuration_plan(options, configuration);
  if (!planned) {
    return report_error(options, planned.error());
  }
  return confirm_and_apply(options, planned.value());
}

int get_command(const ctl_options& options) {
  const auto state = control::read_platform(platform_transport_for(options), pause);
  if (!state) {
    return report_error(options, state.error());
  }
  if (options.name.empty()) {
    for (const auto& [name, text] : state.value().parts) {
      std::cout << name << '\n';
    }
    return exit_ok;
  }
  const auto part = state.value().parts.find(options.name);
  if (part == state.value().parts.end()) {
    return report_error(options, {base::error_code::not_found, "get", "platform",
                                  "there is no part named '" + options.name + "'"});
  }
  std::cout << json::parse(part->second).dump(2) << '\n';
  return exit_ok;
}

int history_command(const ctl_options& options) {
  const auto state = control::read_platform(platform_transport_for(options), pause);
  if (!state) {
    return report_error(options, state.error());
  }
  std::vector<config::change> changes = state.value().names.history;
  if (state.value().exists) {
    const config::manifest& current = state.value().names;
    changes.insert(changes.begin(), {current.generation, current.token, current.author,
                                     current.note, current.applied_at_ms});
  }
  json list = json::array();
  for (const config::change& change : changes) {
    const std::string applied_at =
        config::format_timestamp(base::milliseconds(change.applied_at_ms));
    list.push_back({{"generation", change.generation},
                    {"token", change.token},
                    {"author", change.author},
                    {"note", change.note},
                    {"applied_at", applied_at}});
    if (!wants_json(options)) {
      std::cout << change.generation << "  " << applied_at << "  " << change.author
                << "  " << change.note << '\n';
    }
  }
  if (wants_json(options)) {
    std::cout << list.dump() << '\n';
  }
  return exit_ok;
}

int status_command(const ctl_options& options) {
  const auto status = fetch_json(options.entry, "/v1/status");
  if (!status) {
    return report_error(options, status.error());
  }
  const json remaining = fetch_leaving_leafs(status.value());
  if (wants_json(options)) {
    json document = status.value();
    document["left_on_leaving_upstreams"] = remaining;
    std::cout << document.dump() << '\n';
    return exit_ok;
  }
  std::cout << "generation " << status.value().value("generation", std::uint64_t{0})
            << " applied at " << status.value().value("node", "") << '\n';
  print_members(status.value());
  print_leaving(status.value(), remaining);
  return exit_ok;
}

int vacate_command(const ctl_options& options) {
  if (options.undo) {
    return update_leaving(options, base::milliseconds(0));
  }
  const auto leave_by = control::parse_leave_by(options.leave_by, options.time_zone);
  if (!leave_by) {
    return report_error(options, leave_by.error());
  }
  return update_leaving(options, leave_by.value());
}

int drain_command(const ctl_options& options) {
  return update_leaving(options, base::unix_now());
}

int completion_command(const ctl_options& options) {
  (void)options;
  std::cout << R"(_ibisctl() {
  local commands="check diff apply get history status vacate drain completion"
  local current="${COMP_WORDS[COMP_CWORD]}"
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "$commands" -- "$current"))
    return
  fi
  if [[ "$current" == --* ]]; then
    COMPREPLY=($(compgen -W "--platform --entry --output --author --note --yes --wait
      --wait-seconds --expect-generation --by --time-zone --undo" -- "$current"))
    return
  fi
  COMPREPLY=($(compgen -f -- "$current"))
}
complete -F _ibisctl ibisctl
)";
  return exit_ok;
}

}  // namespace ibis::programs
