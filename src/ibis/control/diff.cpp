#include "ibis/control/diff.hpp"

#include <nlohmann/json.hpp>  // for json

namespace ibis::control {
namespace {

using nlohmann::json;

constexpr std::size_t max_details = 40;

std::string describe_operation(const json& before, const json& operation) {
  const std::string path = operation.at("path");
  const std::string kind = operation.at("op");
  const json::json_pointer pointer(path);
  const std::string old_value =
      kind == "add" || !before.contains(pointer) ? "" : before.at(pointer).dump();
  if (kind == "remove") {
    return path + ": " + old_value + " -> removed";
  }
  const std::string new_value = operation.at("value").dump();
  return kind == "add" ? path + ": added " + new_value
                       : path + ": " + old_value + " -> " + new_value;
}

std::vector<std::string> describe_changes(const std::string& before,
                                          const std::string& after) {
  const json old_document = json::parse(before, nullptr, false);
  const json new_document = json::parse(after, nullptr, false);
  std::vector<std::string> details;
  const json operations = json::diff(old_document, new_document);
  for (const json& operation : operations) {
    if (details.size() >= max_details) {
      details.push_back("and " + std::to_string(operations.size() - max_details) +
                        " more");
      break;
    }
    details.push_back(describe_operation(old_document, operation));
  }
  return details;
}

}  // namespace

std::vector<part_difference> compare_parts(
    const std::map<std::string, std::string>& before,
    const std::map<std::string, std::string>& after) {
  std::vector<part_difference> differences;
  for (const auto& [name, text] : after) {
    const auto old = before.find(name);
    if (old == before.end()) {
      differences.push_back({name, part_change::added, {}});
    } else if (old->second != text) {
      differences.push_back(
          {name, part_change::changed, describe_changes(old->second, text)});
    }
  }
  for (const auto& [name, text] : before) {
    if (after.count(name) == 0) {
      differences.push_back({name, part_change::removed, {}});
    }
  }
  return differences;
}

std::string format_differences(const std::vector<part_difference>& differences) {
  if (differences.empty()) {
    return "no changes\n";
  }
  std::string text;
  for (const part_difference& difference : differences) {
    const bool added = difference.change == part_change::added;
    const bool removed = difference.change == part_change::removed;
    text += added ? "+ " : (removed ? "- " : "~ ");
    text += difference.part + '\n';
    for (const std::string& detail : difference.details) {
      text += "    " + detail + '\n';
    }
  }
  return text;
}

}  // namespace ibis::control
