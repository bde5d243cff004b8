#include "ibis/config/manifest.hpp"

#include <nlohmann/json.hpp>  // for json

#include "ibis/config/parse.hpp"  // for parse_service, parse_configuration

namespace ibis::config {
namespace {

using nlohmann::json;

const std::string service_prefix = "service/";

base::error invalid_object(std::string step, std::string detail) {
  return {base::error_code::invalid_input, std::move(step), "platform",
          std::move(detail)};
}

json write_group(const replica_group& group) {
  json leafs = json::array();
  for (const leaf_declaration& leaf : group.leafs) {
    leafs.push_back({{"name", leaf.name},
                     {"address", leaf.address},
                     {"slots", leaf.slots},
                     {"connections", leaf.connections}});
  }
  return {{"shards", {{"first", group.first_shard}, {"last", group.last_shard}}},
          {"leafs", std::move(leafs)}};
}

json write_policy(const service_policy& policy) {
  const bool latency_first = policy.mode == answer_mode::latency_first;
  return {{"mode", latency_first ? "latency_first" : "coverage_first"},
          {"replica_choice", policy.replica_choice == replica_choice::round_robin
                                 ? "round_robin"
                                 : "least_wait"},
          {"min_coverage", policy.min_coverage},
          {"answer_by_ms", policy.answer_by.count()},
          {"default_timeout_ms", policy.default_timeout.count()},
          {"max_timeout_ms", policy.max_timeout.count()},
          {"hedge_budget", policy.hedge_budget},
          {"retry_budget", policy.retry_budget},
          {"queue_limit", policy.queue_limit}};
}

std::string write_service(const service& value) {
  json groups = json::array();
  for (const replica_group& group : value.groups) {
    groups.push_back(write_group(group));
  }
  const json root = {{"tenant", value.tenant},
                     {"partition_epoch", value.partition_epoch},
                     {"repeatable", value.repeatable},
                     {"policy", write_policy(value.policy)},
                     {"groups", std::move(groups)}};
  return root.dump();
}

std::string write_zones(const configuration& value) {
  json zones = json::array();
  for (const availability_zone& zone : value.zones) {
    json zone_json = {{"name", zone.name}};
    if (!zone.region.empty()) {
      zone_json["region"] = zone.region;
    }
    zones.push_back(std::move(zone_json));
  }
  const json root = {{"availability_zones", std::move(zones)},
                     {"holders_per_zone", value.holders_per_zone}};
  return root.dump();
}

std::string write_leaving(const configuration& value) {
  json leaving = json::object();
  for (const auto& [name, leave_by] : value.leaving) {
    leaving[name] = {{"leave_by", format_timestamp(leave_by)}};
  }
  return json{{"leaving", std::move(leaving)}}.dump();
}

json write_history(const std::vector<change>& history) {
  json items = json::array();
  for (const change& item : history) {
    items.push_back({{"generation", item.generation},
                     {"token", item.token},
                     {"author", item.author},
                     {"note", item.note},
                     {"applied_at_ms", item.applied_at_ms}});
  }
  return items;
}

/// @return The part's text, or an error that names the part.
base::result<std::string> find_part(const std::string& name, const std::string& hash,
                                    const part_store& parts) {
  const auto found = parts.find(hash);
  if (found == parts.end()) {
    return invalid_object("join parts", "part '" + name + "' is missing");
  }
  return found->second;
}

base::result<std::shared_ptr<const service>> parse_service_part(
    const std::string& name, const std::string& text) {
  const auto source = parse_document(text, service_prefix + name);
  if (!source) {
    return source.error();
  }
  std::vector<document_error> errors;
  reader fields(source.value(), errors);
  auto parsed = std::make_shared<const service>(parse_service(name, fields));
  fields.report_unknown_keys();
  if (!errors.empty()) {
    return invalid_object("join parts", describe(errors.front()));
  }
  return std::shared_ptr<const service>(std::move(parsed));
}

/// Parses the parts "zones" and "leaving" with the parser for entire configurations.
base::result<configuration> parse_common_parts(const std::string& zones,
                                               const std::string& leaving) {
  const auto base_document = parse_document(zones, "zones");
  const auto overlay = parse_document(leaving, "leaving");
  if (!base_document) {
    return base_document.error();
  }
  if (!overlay) {
    return overlay.error();
  }
  auto parsed =
      parse_configuration(merge_overlay(base_document.value(), overlay.value()));
  if (!parsed.errors.empty()) {
    return invalid_object("join parts", describe(parsed.errors.front()));
  }
  return std::move(parsed.value);
}

}  // namespace

std::string part_key(const std::string& hash) {
  return "config/parts/" + hash;
}

std::string write_manifest(const manifest& value) {
  const json root = {{"generation", value.generation},
                     {"token", value.token},
                     {"author", value.author},
                     {"note", value.note},
                     {"applied_at_ms", value.applied_at_ms},
                     {"parts", value.parts},
                     {"history", write_history(value.history)}};
  return root.dump();
}

base::result<manifest> read_manifest(const std::string& bytes) {
  try {
    const json root = json::parse(bytes);
    manifest value;
    root.at("generation").get_to(value.generation);
    root.at("token").get_to(value.token);
    root.at("author").get_to(value.author);
    root.at("note").get_to(value.note);
    root.at("applied_at_ms").get_to(value.applied_at_ms);
    root.at("parts").get_to(value.parts);
    for (const json& item : root.at("history")) {
      value.history.push_back({item.at("generation").get<std::uint64_t>(),
                               item.at("token").get<std::string>(),
                               item.at("author").get<std::string>(),
                               item.at("note").get<std::string>(),
                               item.at("applied_at_ms").get<std::uint64_t>()});
    }
    return value;
  } catch (const json::exception& failure) {
    return invalid_object("read manifest", failure.what());
  }
}

std::map<std::string, std::string> split_parts(const configuration& value) {
  std::map<std::string, std::string> parts;
  parts["zones"] = write_zones(value);
  parts["leaving"] = write_leaving(value);
  for (const auto& [name, declared] : value.services) {
    parts[service_prefix + name] = write_service(*declared);
  }
  return parts;
}

base::result<configuration> join_parts(
    const manifest& target, const part_store& parts, const configuration& previous,
    const std::map<std::string, std::string>& previous_parts) {
  const auto hash_of = [&](const std::string& name) {
    const auto found = target.parts.find(name);
    return found == target.parts.end() ? std::string() : found->second;
  };
  const auto zones = find_part("zones", hash_of("zones"), parts);
  const auto leaving = find_part("leaving", hash_of("leaving"), parts);
  if (!zones) {
    return zones.error();
  }
  if (!leaving) {
    return leaving.error();
  }
  auto joined = parse_common_parts(zones.value(), leaving.value());
  if (!joined) {
    return joined.error();
  }
  for (const auto& [part, hash] : target.parts) {
    if (part.rfind(service_prefix, 0) != 0) {
      continue;
    }
    const std::string name = part.substr(service_prefix.size());
    const auto previous_hash = previous_parts.find(part);
    const auto unchanged = previous.services.find(name);
    if (previous_hash != previous_parts.end() && previous_hash->second == hash &&
        unchanged != previous.services.end()) {
      joined.value().services[name] = unchanged->second;
      continue;
    }
    const auto text = find_part(part, hash, parts);
    if (!text) {
      return text.error();
    }
    auto parsed = parse_service_part(name, text.value());
    if (!parsed) {
      return parsed.error();
    }
    joined.value().services[name] = std::move(parsed.value());
  }
  return std::move(joined.value());
}

}  // namespace ibis::config
