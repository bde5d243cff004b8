#include "ibis/config/settings.hpp"

namespace ibis::config {
namespace {

constexpr std::uint32_t max_port = 65535;
constexpr std::uint32_t max_http_threads = 4096;
constexpr std::uint32_t max_in_flight_limit = 1'000'000;
constexpr base::milliseconds max_stop_duration = std::chrono::minutes(30);

void check_one_of(reader& fields, const std::string& key, const std::string& value,
                  const std::vector<std::string>& allowed) {
  std::string names;
  for (const std::string& name : allowed) {
    if (name == value) {
      return;
    }
    names += (names.empty() ? "" : ", ") + name;
  }
  fields.add_error(key, "found '" + value + "'; expected one of (" + names + ")");
}

void read_ports(reader& root, process_settings& value) {
  reader ports = root.child("ports");
  ports.read("entry", value.entry_port, 0U, max_port);
  ports.read("relay", value.relay_port, 0U, max_port);
  ports.read("entry_http", value.entry_http_port, 0U, max_port);
  ports.read("relay_http", value.relay_http_port, 0U, max_port);
  ports.report_unknown_keys();
}

void read_seeds(reader& root, process_settings& value) {
  root.for_each_item("seeds", [&](reader& fields) {
    seed parsed_seed;
    fields.read("vm", parsed_seed.vm, true);
    fields.read("availability_zone", parsed_seed.zone, true);
    fields.read("entry", parsed_seed.entry);
    fields.read("relay", parsed_seed.relay);
    value.seeds.push_back(parsed_seed);
  });
}

}  // namespace

parsed_settings parse_settings(const document& source) {
  parsed_settings parsed;
  process_settings& value = parsed.value;
  reader root(source, parsed.errors);
  root.read("vm", value.vm, true);
  root.read("availability_zone", value.zone, true);
  root.read("ip", value.ip);
  read_ports(root, value);
  root.read("http_threads", value.http_threads, 4U, max_http_threads);
  root.read("platform", value.platform, true);
  read_seeds(root, value);
  reader log = root.child("log");
  log.read("level", value.log.level);
  log.read("form", value.log.format);
  check_one_of(log, "level", value.log.level, {"debug", "info", "warning"});
  check_one_of(log, "form", value.log.format, {"text", "json"});
  log.report_unknown_keys();
  reader stop = root.child("stop");
  stop.read("handover_ms", value.stop_handover, base::milliseconds(0),
            max_stop_duration);
  stop.read("limit_ms", value.stop_limit, base::milliseconds(0), max_stop_duration);
  stop.report_unknown_keys();
  root.read("max_in_flight", value.max_in_flight, 1U, max_in_flight_limit);
  root.report_unknown_keys();
  return parsed;
}

}  // namespace ibis::config
