#include "ibis/config/parse.hpp"

#include <algorithm>  // for sort, any_of
#include <array>      // for array
#include <cstdio>     // for sscanf
#include <ctime>      // for timegm, gmtime_r, strftime
#include <fstream>    // for ifstream
#include <set>        // for set
#include <sstream>    // for stringstream
#include <utility>    // for move

namespace ibis::config {
namespace {

constexpr base::milliseconds max_timeout_limit = std::chrono::minutes(5);
constexpr std::uint32_t max_slots = 1024;
constexpr std::uint32_t min_connections = 2;
constexpr std::uint32_t max_connections = 4096;
constexpr std::uint32_t max_shard = 1'000'000;
constexpr std::uint32_t max_queue_limit = 100'000;
constexpr std::uint32_t max_holders_per_zone = 8;

void read_leaf(reader& fields, const leaf_declaration& defaults, replica_group& group) {
  leaf_declaration leaf = defaults;
  fields.read("name", leaf.name, true);
  fields.read("address", leaf.address, true);
  fields.read("slots", leaf.slots, 1, max_slots);
  fields.read("connections", leaf.connections, min_connections, max_connections);
  if (!leaf.address.empty() && leaf.address.find(':') == std::string::npos) {
    fields.add_error("address", "found '" + leaf.address + "'; expected 'ip:port'");
  }
  group.leafs.push_back(std::move(leaf));
}

replica_group read_group(reader& fields, const leaf_declaration& defaults) {
  replica_group group;
  reader shards = fields.child("shards");
  if (!shards.has("first") || !shards.has("last")) {
    fields.add_error("shards", "missing; {first: n, last: n} is required");
  }
  shards.read("first", group.first_shard, 0U, max_shard);
  shards.read("last", group.last_shard, 0U, max_shard);
  shards.report_unknown_keys();
  if (group.last_shard < group.first_shard) {
    fields.add_error("shards", "last is below first");
    group.last_shard = group.first_shard;
  }
  fields.for_each_item("leafs",
                       [&](reader& leaf) { read_leaf(leaf, defaults, group); });
  if (group.leafs.empty()) {
    fields.add_error("leafs", "missing; at least one leaf is required");
  }
  return group;
}

service_policy read_policy(reader& fields) {
  service_policy policy;
  std::string mode = "coverage_first";
  fields.read("mode", mode);
  if (mode == "latency_first") {
    policy.mode = answer_mode::latency_first;
  } else if (mode != "coverage_first") {
    fields.add_error("mode",
                     "found '" + mode + "'; expected coverage_first or latency_first");
  }
  std::string choice = "least_wait";
  fields.read("replica_choice", choice);
  if (choice == "round_robin") {
    policy.replica_choice = replica_choice::round_robin;
  } else if (choice != "least_wait") {
    fields.add_error("replica_choice",
                     "found '" + choice + "'; expected least_wait or round_robin");
  }
  constexpr base::milliseconds min_timeout_limit{1};
  fields.read("min_coverage", policy.min_coverage, 0.0, 1.0);
  fields.read("answer_by_ms", policy.answer_by, min_timeout_limit, max_timeout_limit);
  fields.read("default_timeout_ms", policy.default_timeout, min_timeout_limit,
              max_timeout_limit);
  fields.read("max_timeout_ms", policy.max_timeout, min_timeout_limit,
              max_timeout_limit);
  fields.read("hedge_budget", policy.hedge_budget, 0.0, 1.0);
  fields.read("retry_budget", policy.retry_budget, 0.0, 1.0);
  fields.read("queue_limit", policy.queue_limit, 1U, max_queue_limit);
  fields.report_unknown_keys();
  if (policy.default_timeout > policy.max_timeout) {
    fields.add_error("default_timeout_ms", "must not be above max_timeout_ms");
  }
  return policy;
}

void check_shards(reader& fields, const service& value) {
  std::vector<std::pair<shard_index, shard_index>> ranges;
  for (const replica_group& group : value.groups) {
    ranges.emplace_back(group.first_shard, group.last_shard);
  }
  std::sort(ranges.begin(), ranges.end());
  shard_index expected = 0;
  for (const auto& [first, last] : ranges) {
    if (first != expected) {
      fields.add_error("groups", "shard " + std::to_string(std::min(first, expected)) +
                                     (first > expected ? " is held by no group"
                                                       : " is held by two groups"));
      return;
    }
    expected = last + 1;
  }
}

void check_leafs(const document& source, const configuration& value,
                 std::vector<document_error>& errors) {
  std::set<std::string> seen;
  for (const auto& [name, declared] : value.services) {
    for (const replica_group& group : declared->groups) {
      for (const leaf_declaration& leaf : group.leafs) {
        if (!seen.insert(leaf.name).second) {
          errors.push_back(
              {source.file, 0, "services." + name + ".groups",
               "leaf '" + leaf.name + "' is in more than one replica group"});
        }
      }
    }
  }
}

void read_leaving(reader& root, configuration& value) {
  root.for_each_entry("leaving", [&](const std::string& name, reader& fields) {
    std::string leave_by;
    fields.read("leave_by", leave_by, true);
    if (leave_by.empty()) {
      return;
    }
    const auto parsed = parse_timestamp(leave_by);
    if (!parsed) {
      fields.add_error("leave_by", parsed.error().detail);
      return;
    }
    value.leaving[name] = parsed.value();
  });
}

void read_zones(reader& root, configuration& value) {
  root.for_each_item("availability_zones", [&](reader& fields) {
    availability_zone zone;
    fields.read("name", zone.name, true);
    fields.read("region", zone.region);
    const auto has_same_name = [&](const availability_zone& other) {
      return other.name == zone.name;
    };
    if (std::any_of(value.zones.begin(), value.zones.end(), has_same_name)) {
      fields.add_error("name", "'" + zone.name + "' is declared twice");
    }
    value.zones.push_back(std::move(zone));
  });
}

base::error invalid_timestamp(const std::string& text) {
  return {base::error_code::invalid_input, "parse timestamp", "",
          "found '" + text +
              "'; expected a timestamp with its UTC offset, such as "
              "2026-12-06T23:59:00+01:00"};
}

}  // namespace

service parse_service(const std::string& name, reader& fields) {
  service value;
  value.name = name;
  fields.read("tenant", value.tenant, true);
  fields.read("partition_epoch", value.partition_epoch, 1, UINT32_MAX);
  fields.read("repeatable", value.repeatable);
  reader policy = fields.child("policy");
  value.policy = read_policy(policy);
  leaf_declaration defaults;
  reader leaf_defaults = fields.child("leaf_defaults");
  leaf_defaults.read("slots", defaults.slots, 1, max_slots);
  leaf_defaults.read("connections", defaults.connections, min_connections,
                     max_connections);
  leaf_defaults.report_unknown_keys();
  fields.for_each_item("groups", [&](reader& group) {
    value.groups.push_back(read_group(group, defaults));
  });
  if (value.groups.empty()) {
    fields.add_error("groups", "missing; at least one replica group is required");
  }
  check_shards(fields, value);
  return value;
}

parsed_configuration parse_configuration(const document& source) {
  parsed_configuration parsed;
  reader root(source, parsed.errors);
  read_zones(root, parsed.value);
  root.read("holders_per_zone", parsed.value.holders_per_zone, 1, max_holders_per_zone);
  root.for_each_entry("services", [&](const std::string& name, reader& fields) {
    parsed.value.services[name] =
        std::make_shared<const service>(parse_service(name, fields));
  });
  read_leaving(root, parsed.value);
  root.report_unknown_keys();
  if (parsed.value.zones.empty()) {
    root.add_error("availability_zones", "missing; at least one is required");
  }
  if (parsed.errors.empty()) {
    check_leafs(source, parsed.value, parsed.errors);
  }
  return parsed;
}

base::result<document> load_documents(const std::vector<std::string>& paths) {
  document merged;
  for (const std::string& path : paths) {
    std::ifstream file(path);
    if (!file) {
      return base::error{base::error_code::not_found, "read file", path,
                         "cannot be opened"};
    }
    std::stringstream text;
    text << file.rdbuf();
    auto parsed = parse_document(text.str(), path);
    if (!parsed) {
      return parsed.error();
    }
    merged = &path == &paths.front() ? parsed.value()
                                     : merge_overlay(merged, parsed.value());
  }
  return merged;
}

base::result<base::milliseconds> parse_timestamp(const std::string& text) {
  std::tm fields{};
  char sign = 'Z';
  int offset_hours = 0;
  int offset_minutes = 0;
  // NOLINTBEGIN(cert-err34-c,cppcoreguidelines-pro-type-vararg)
  int size_with_utc = 0;
  int size_with_offset = 0;
  const int fields_read = std::sscanf(
      text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d%c%n%2d:%2d%n", &fields.tm_year,
      &fields.tm_mon, &fields.tm_mday, &fields.tm_hour, &fields.tm_min, &fields.tm_sec,
      &sign, &size_with_utc, &offset_hours, &offset_minutes, &size_with_offset);
  // NOLINTEND(cert-err34-c,cppcoreguidelines-pro-type-vararg)
  constexpr int utc_field_count = 7;
  constexpr int offset_field_count = 9;
  const bool utc = fields_read == utc_field_count && sign == 'Z';
  const bool with_offset =
      fields_read == offset_field_count && (sign == '+' || sign == '-');
  if (!utc && !with_offset) {
    return invalid_timestamp(text);
  }
  const int size_read = utc ? size_with_utc : size_with_offset;
  if (static_cast<std::size_t>(size_read) != text.size()) {
    return invalid_timestamp(text);
  }
  // The widest offsets in use are from -12 to +14 hours.
  constexpr int max_offset_hours = 14;
  constexpr int max_offset_minutes = 59;
  if (offset_hours < 0 || offset_hours > max_offset_hours || offset_minutes < 0 ||
      offset_minutes > max_offset_minutes) {
    return invalid_timestamp(text);
  }
  constexpr int tm_base_year = 1900;
  fields.tm_year -= tm_base_year;
  fields.tm_mon -= 1;
  const std::tm parsed_fields = fields;
  const std::time_t local = timegm(&fields);
  if (fields.tm_mon != parsed_fields.tm_mon ||
      fields.tm_mday != parsed_fields.tm_mday ||
      fields.tm_hour != parsed_fields.tm_hour ||
      fields.tm_min != parsed_fields.tm_min || fields.tm_sec != parsed_fields.tm_sec) {
    return invalid_timestamp(text);
  }
  const auto offset =
      std::chrono::hours(offset_hours) + std::chrono::minutes(offset_minutes);
  const auto shift = sign == '-' ? -offset : offset;
  return base::milliseconds(std::chrono::seconds(local) - shift);
}

std::string format_timestamp(base::milliseconds unix_time) {
  const std::time_t at =
      std::chrono::duration_cast<std::chrono::seconds>(unix_time).count();
  std::tm fields{};
  gmtime_r(&at, &fields);
  constexpr std::size_t text_size = 32;
  std::array<char, text_size> text{};
  const std::size_t length =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &fields);
  return {text.data(), length};
}

}  // namespace ibis::config
