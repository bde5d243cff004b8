#include "ctl_commands.hpp"

#include <httplib.h>  // for Client

#include <cstdlib>            // for getenv, setenv
#include <ctime>              // for mktime, tzset
#include <iostream>           // for cout, cerr
#include <nlohmann/json.hpp>  // for json
#include <random>             // for random_device
#include <thread>             // for sleep_for

#include "ibis/base/uuid.hpp"                // for make_uuid_v7
#include "ibis/config/parse.hpp"             // for parse_configuration
#include "ibis/control/apply.hpp"            // for apply_plan
#include "ibis/runtime/address.hpp"          // for parse_address
#include "ibis/runtime/platform_client.hpp"  // for call_platform_sync

namespace ibis::programs {
namespace {

using control::plan;
using control::platform_state;
using nlohmann::json;

bool wants_json(const ctl_options& options) {
  return options.output == "json";
}

int exit_code_of(const base::error& problem) {
  switch (problem.code) {
    case base::error_code::conflict:
      return exit_conflict;
    case base::error_code::unavailable:
    case base::error_code::timeout:
      return exit_unavailable;
    default:
      return exit_invalid;
  }
}

int fail(const ctl_options& options, const base::error& problem) {
  if (wants_json(options)) {
    std::cout << json{{"ok", false},
                      {"code", base::to_string(problem.code)},
                      {"step", problem.step},
                      {"peer", problem.peer},
                      {"detail", problem.detail}}
                     .dump()
              << '\n';
  } else {
    std::cerr << base::describe(problem) << '\n';
  }
  return exit_code_of(problem);
}

control::platform_hook platform_of(const ctl_options& options) {
  return [address = options.platform](const policy::call_platform& call) {
    return runtime::call_platform_sync(address, call);
  };
}

void pause(base::milliseconds time) {
  std::this_thread::sleep_for(time);
}

/// Loads and checks the files; prints all that is wrong.
bool load(const ctl_options& options, config::configuration& value) {
  const auto source = config::load_documents(options.files);
  if (!source) {
    fail(options, source.error());
    return false;
  }
  auto parsed = config::parse_configuration(source.value());
  json errors = json::array();
  for (const config::document_error& wrong : parsed.errors) {
    errors.push_back({{"file", wrong.file},
                      {"line", wrong.line},
                      {"path", wrong.path},
                      {"message", wrong.message}});
    if (!wants_json(options)) {
      std::cerr << config::describe(wrong) << '\n';
    }
  }
  if (wants_json(options) && !parsed.errors.empty()) {
    std::cout << json{{"ok", false}, {"errors", errors}}.dump() << '\n';
  }
  value = std::move(parsed.value);
  return parsed.errors.empty();
}

/// Reads a JSON document from a node's HTTP interface.
base::result<json> get_json(const std::string& address, const std::string& path) {
  const auto target = runtime::parse_address(address);
  if (!target) {
    return target.error();
  }
  httplib::Client client(target.value().ip, target.value().port);
  client.set_connection_timeout(std::chrono::seconds(1));
  const auto reply = client.Get(path);
  if (!reply) {
    return base::error{base::error_code::unavailable, "read " + path, address,
                       httplib::to_string(reply.error())};
  }
  json whole = json::parse(reply->body, nullptr, false);
  if (whole.is_discarded()) {
    return base::error{base::error_code::protocol, "read " + path, address, "not JSON"};
  }
  return whole;
}

std::uint64_t fleet_generation(const ctl_options& options) {
  if (options.entry.empty()) {
    return 0;
  }
  const auto status = get_json(options.entry, "/v1/status");
  return status ? status.value().value("highest_generation_seen", std::uint64_t{0}) : 0;
}

std::string author_of(const ctl_options& options) {
  if (!options.author.empty()) {
    return options.author;
  }
  const char* user = std::getenv("USER");
  return user == nullptr ? "unknown" : user;
}

control::apply_request make_request(const ctl_options& options) {
  std::random_device random;
  const auto now = base::unix_now();
  control::apply_request request;
  request.author = author_of(options);
  request.note = options.note.empty() ? "no note" : options.note;
  request.token = base::make_uuid_v7(now, random(), random());
  request.applied_at_ms = static_cast<std::uint64_t>(now.count());
  request.fleet_generation = fleet_generation(options);
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

bool confirmed(const ctl_options& options, const plan& planned) {
  if (!wants_json(options)) {
    std::cout << control::write_differences(planned.differences);
  }
  if (options.yes) {
    return true;
  }
  std::cout << "Apply on top of generation " << planned.before.names.generation
            << "? [y/N] " << std::flush;
  std::string answer;
  std::getline(std::cin, answer);
  return answer == "y" || answer == "yes";
}

std::vector<std::string> zones_of(const plan& planned) {
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

bool all_in_force(const std::vector<control::zone_report>& reports) {
  for (const control::zone_report& report : reports) {
    if (!report.in_force) {
      return false;
    }
  }
  return true;
}

void print_zones(const std::vector<control::zone_report>& reports) {
  for (const control::zone_report& report : reports) {
    std::cout << (report.in_force ? "in force in " : "not yet in force in ")
              << report.zone << " (" << report.reached << " of " << report.live
              << " processes)\n";
  }
}

/// Waits until all zones report the generation.
std::vector<control::zone_report> await_zones(const ctl_options& options,
                                              const plan& planned,
                                              std::uint64_t generation) {
  constexpr base::milliseconds step{100};
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::duration<double>(options.wait_seconds);
  std::vector<control::zone_report> reports;
  do {
    reports = control::read_zones(platform_of(options), zones_of(planned), generation);
    if (all_in_force(reports)) {
      return reports;
    }
    pause(step);
  } while (std::chrono::steady_clock::now() < until);
  return reports;
}

int report_applied(const ctl_options& options, const plan& planned,
                   std::uint64_t generation) {
  json whole = {{"ok", true},
                {"generation", generation},
                {"differences", to_json(planned.differences)}};
  if (!wants_json(options)) {
    std::cout << "accepted as generation " << generation << '\n';
  }
  bool in_force = true;
  if (options.wait) {
    const auto reports = await_zones(options, planned, generation);
    in_force = all_in_force(reports);
    whole["zones"] = to_json(reports);
    if (!wants_json(options)) {
      print_zones(reports);
    }
  }
  if (wants_json(options)) {
    std::cout << whole.dump() << '\n';
  }
  return in_force ? exit_ok : exit_not_yet;
}

/// Shows a plan, asks, applies and reports.
int carry_out(const ctl_options& options, const plan& planned) {
  const std::uint64_t found = planned.before.names.generation;
  if (options.expect_generation != 0 && options.expect_generation != found) {
    return fail(options, {base::error_code::conflict, "plan", "platform",
                          "generation " + std::to_string(found) + " by " +
                              planned.before.names.author + " is there, not " +
                              std::to_string(options.expect_generation)});
  }
  if (planned.differences.empty() && planned.before.exists) {
    if (!wants_json(options)) {
      std::cout << "no changes\n";
    }
    return report_applied(options, planned, found);
  }
  if (!confirmed(options, planned)) {
    return exit_declined;
  }
  const auto applied =
      control::apply_plan(planned, make_request(options), platform_of(options), pause);
  if (!applied) {
    return fail(options, applied.error());
  }
  return report_applied(options, planned, applied.value());
}

base::result<plan> plan_files(const ctl_options& options,
                              const config::configuration& wanted) {
  const auto before = control::read_platform(platform_of(options), pause);
  if (!before) {
    return before.error();
  }
  return control::make_plan(before.value(), wanted);
}

/// An hour with an offset, or in a named time zone.
base::result<base::milliseconds> read_hour(const ctl_options& options) {
  if (options.time_zone.empty()) {
    return config::parse_timestamp(options.hour);
  }
  const auto as_utc = config::parse_timestamp(options.hour + "Z");
  if (!as_utc) {
    return as_utc.error();
  }
  setenv("TZ", options.time_zone.c_str(), 1);  // NOLINT(concurrency-mt-unsafe)
  tzset();
  std::time_t wall =
      std::chrono::duration_cast<std::chrono::seconds>(as_utc.value()).count();
  std::tm fields{};
  gmtime_r(&wall, &fields);
  fields.tm_isdst = -1;
  const std::time_t at = std::mktime(&fields);
  const bool unknown_zone =
      std::string(tzname[0]) == "UTC" && options.time_zone != "UTC";
  if (at < 0 || unknown_zone) {
    return base::error{
        base::error_code::invalid_input, "read time zone", "",
        "'" + options.time_zone + "' is not known; such as Europe/Prague"};
  }
  return base::milliseconds(std::chrono::seconds(at));
}

/// Changes what leaves and nothing else.
int change_leaving(const ctl_options& options, base::milliseconds hour) {
  const auto before = control::read_platform(platform_of(options), pause);
  if (!before) {
    return fail(options, before.error());
  }
  if (!before.value().exists) {
    return fail(options, {base::error_code::not_found, "read manifest", "platform",
                          "no configuration was applied yet"});
  }
  json leaving = json::parse(before.value().parts.at("leaving"));
  if (options.undo) {
    leaving["leaving"].erase(options.name);
  } else {
    leaving["leaving"][options.name] = {{"leave_by", config::format_timestamp(hour)}};
  }
  plan planned;
  planned.before = before.value();
  planned.after = planned.before.parts;
  planned.after["leaving"] = leaving.dump();
  planned.differences = control::compare_parts(planned.before.parts, planned.after);
  return carry_out(options, planned);
}

void print_members(const json& status) {
  for (const json& member : status.at("members")) {
    std::cout << "  " << member.value("node", "") << "  "
              << member.value("availability_zone", "") << "  "
              << member.value("status", "") << "  generation "
              << member.value("generation", std::uint64_t{0}) << '\n';
  }
}

/// Asks each relay what is left of the upstreams that leave.
json leaving_leafs(const json& status) {
  json left = json::array();
  for (const json& member : status.at("members")) {
    const std::string node = member.value("node", "");
    const bool relay = node.size() > 6 && node.substr(node.size() - 6) == "/relay";
    if (!relay || member.value("status", "") == "dead" ||
        member.value("http", "").empty()) {
      continue;
    }
    const auto seen = get_json(member["http"], "/v1/status");
    if (!seen) {
      left.push_back({{"node", node}, {"error", base::describe(seen.error())}});
      continue;
    }
    for (json leaf : seen.value().at("leafs")) {
      if (leaf.value("leaving", false) || leaf.value("draining", false)) {
        leaf["node"] = node;
        left.push_back(leaf);
      }
    }
  }
  return left;
}

void print_leaving(const json& status, const json& left) {
  for (const auto& [name, hour] : status.at("leaving").items()) {
    std::cout << "leaves: " << name << " by "
              << config::format_timestamp(base::milliseconds(hour.get<std::int64_t>()))
              << '\n';
  }
  for (const json& leaf : left) {
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
  config::configuration value;
  if (!load(options, value)) {
    return exit_invalid;
  }
  std::size_t leafs = 0;
  for (const auto& [name, service] : value.services) {
    for (const config::replica_group& group : service->groups) {
      leafs += group.leafs.size();
    }
  }
  if (wants_json(options)) {
    std::cout << json{{"ok", true},
                      {"services", value.services.size()},
                      {"leafs", leafs}}
                     .dump()
              << '\n';
  } else {
    std::cout << "valid: " << value.services.size() << " services, " << leafs
              << " leafs, " << value.zones.size() << " availability zones\n";
  }
  return exit_ok;
}

int diff_command(const ctl_options& options) {
  config::configuration value;
  if (!load(options, value)) {
    return exit_invalid;
  }
  const auto planned = plan_files(options, value);
  if (!planned) {
    return fail(options, planned.error());
  }
  if (wants_json(options)) {
    std::cout << json{{"ok", true},
                      {"generation", planned.value().before.names.generation},
                      {"differences", to_json(planned.value().differences)}}
                     .dump()
              << '\n';
  } else {
    std::cout << control::write_differences(planned.value().differences);
  }
  return exit_ok;
}

int apply_command(const ctl_options& options) {
  config::configuration value;
  if (!load(options, value)) {
    return exit_invalid;
  }
  const auto planned = plan_files(options, value);
  if (!planned) {
    return fail(options, planned.error());
  }
  return carry_out(options, planned.value());
}

int get_command(const ctl_options& options) {
  const auto state = control::read_platform(platform_of(options), pause);
  if (!state) {
    return fail(options, state.error());
  }
  if (options.name.empty()) {
    for (const auto& [name, text] : state.value().parts) {
      std::cout << name << '\n';
    }
    return exit_ok;
  }
  const auto part = state.value().parts.find(options.name);
  if (part == state.value().parts.end()) {
    return fail(options, {base::error_code::not_found, "get", "platform",
                          "no part is named '" + options.name + "'"});
  }
  std::cout << json::parse(part->second).dump(2) << '\n';
  return exit_ok;
}

int history_command(const ctl_options& options) {
  const auto state = control::read_platform(platform_of(options), pause);
  if (!state) {
    return fail(options, state.error());
  }
  std::vector<config::change> changes = state.value().names.history;
  if (state.value().exists) {
    const config::manifest& now = state.value().names;
    changes.insert(changes.begin(), {now.generation, now.token, now.author, now.note,
                                     now.applied_at_ms});
  }
  json list = json::array();
  for (const config::change& change : changes) {
    const std::string at =
        config::format_timestamp(base::milliseconds(change.applied_at_ms));
    list.push_back({{"generation", change.generation},
                    {"token", change.token},
                    {"author", change.author},
                    {"note", change.note},
                    {"applied_at", at}});
    if (!wants_json(options)) {
      std::cout << change.generation << "  " << at << "  " << change.author << "  "
                << change.note << '\n';
    }
  }
  if (wants_json(options)) {
    std::cout << list.dump() << '\n';
  }
  return exit_ok;
}

int status_command(const ctl_options& options) {
  const auto status = get_json(options.entry, "/v1/status");
  if (!status) {
    return fail(options, status.error());
  }
  const json left = leaving_leafs(status.value());
  if (wants_json(options)) {
    json whole = status.value();
    whole["left_on_leaving_upstreams"] = left;
    std::cout << whole.dump() << '\n';
    return exit_ok;
  }
  std::cout << "generation " << status.value().value("generation", std::uint64_t{0})
            << " in force at " << status.value().value("node", "") << '\n';
  print_members(status.value());
  print_leaving(status.value(), left);
  return exit_ok;
}

int vacate_command(const ctl_options& options) {
  if (options.undo) {
    return change_leaving(options, base::milliseconds(0));
  }
  const auto hour = read_hour(options);
  if (!hour) {
    return fail(options, hour.error());
  }
  return change_leaving(options, hour.value());
}

int drain_command(const ctl_options& options) {
  return change_leaving(options, base::unix_now());
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
