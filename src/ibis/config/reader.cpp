#include "ibis/config/reader.hpp"

#include <algorithm>  // for min, find
#include <exception>  // for exception
#include <numeric>    // for iota
#include <utility>    // for move

namespace ibis::config {
namespace {

std::size_t edit_distance(const std::string& left, const std::string& right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t above = row[j];
      const std::size_t substituted = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
      diagonal = above;
    }
  }
  return row.back();
}

std::string closest_key(const std::string& key, const std::vector<std::string>& known) {
  const auto is_closer = [&](const std::string& left, const std::string& right) {
    return edit_distance(key, left) < edit_distance(key, right);
  };
  const auto best = std::min_element(known.begin(), known.end(), is_closer);
  return best == known.end() ? std::string() : *best;
}

std::string join_path(const std::string& path, const std::string& key) {
  return path.empty() ? key : path + '.' + key;
}

/// Whether a path is another one or lies below it.
bool is_within(const std::string& path, const std::string& other) {
  if (path.compare(0, other.size(), other) != 0) {
    return false;
  }
  return path.size() == other.size() || path[other.size()] == '.' ||
         path[other.size()] == '[';
}

void merge_into(YAML::Node target, const YAML::Node& overlay, const std::string& path,
                document& merged, const std::string& file) {
  for (const auto& entry : overlay) {
    const auto key = entry.first.as<std::string>();
    const std::string key_path = join_path(path, key);
    if (entry.second.IsNull()) {
      target.remove(key);
      continue;
    }
    const YAML::Node existing = target[key];
    if (existing && existing.IsMap() && entry.second.IsMap()) {
      merge_into(existing, entry.second, key_path, merged, file);
      continue;
    }
    target[key] = entry.second;
    merged.overlay_sources[key_path] = file;
  }
}

template <typename T>
std::string range_text(T low, T high) {
  return "a number from " + std::to_string(low) + " to " + std::to_string(high);
}

std::string describe_value(const YAML::Node& node) {
  return node.IsScalar() ? "'" + node.Scalar() + "'" : std::string("a list or map");
}

/// Checks that a document is a tree of a reasonable size whose keys are texts. With
/// aliases, a short text can state a document that is endless or very large.
class structure_check {
 public:
  /// @return What is wrong, or "".
  std::string run(const YAML::Node& node, std::size_t depth = 0) {
    constexpr std::size_t max_depth = 32;
    constexpr std::size_t max_values = 200'000;
    if (depth > max_depth || ++values_ > max_values) {
      return "the document is nested too deeply or too large";
    }
    for (const auto& entry : node) {
      const bool is_map = node.IsMap();
      if (is_map && !entry.first.IsScalar()) {
        return "a key is not a text";
      }
      std::string problem = run(is_map ? entry.second : entry, depth + 1);
      if (!problem.empty()) {
        return problem;
      }
    }
    return "";
  }

 private:
  std::size_t values_ = 0;
};

}  // namespace

std::string describe(const document_error& value) {
  return value.file + ':' + std::to_string(value.line) + ": " + value.path + ": " +
         value.message;
}

base::result<document> parse_document(const std::string& text,
                                      const std::string& file) {
  try {
    document parsed{YAML::Load(text), file, {}};
    if (!parsed.root.IsMap() && !parsed.root.IsNull()) {
      return base::error{base::error_code::invalid_input, "parse yaml", file,
                         "the document must be a map"};
    }
    const std::string problem = structure_check().run(parsed.root);
    if (!problem.empty()) {
      return base::error{base::error_code::invalid_input, "parse yaml", file, problem};
    }
    return parsed;
  } catch (const YAML::Exception& failure) {
    return base::error{base::error_code::invalid_input, "parse yaml", file,
                       failure.what()};
  }
}

document merge_overlay(const document& base, const document& overlay) {
  document merged{YAML::Clone(base.root), base.file, base.overlay_sources};
  if (overlay.root.IsMap()) {
    merge_into(merged.root, overlay.root, "", merged, overlay.file);
  }
  return merged;
}

reader::reader(const document& source, std::vector<document_error>& errors)
    : reader(source, errors, source.root, "") {}

reader::reader(const document& source, std::vector<document_error>& errors,
               const YAML::Node& node, std::string path)
    : source_(&source), errors_(&errors), node_(node), path_(std::move(path)) {
  if (!node_.IsMap() && !node_.IsNull()) {
    add_error_at(node_, path_, "found " + describe_value(node_) + "; expected a map");
    node_.reset(YAML::Node());
  }
}

std::string reader::path_of(const std::string& key) const {
  return key.empty() ? path_ : join_path(path_, key);
}

YAML::Node reader::find(const std::string& key) {
  known_.push_back(key);
  if (!node_.IsMap()) {
    return YAML::Node(YAML::NodeType::Undefined);
  }
  const YAML::Node& view = node_;
  return view[key];
}

void reader::add_error_at(const YAML::Node& node, const std::string& path,
                          std::string message) {
  document_error error{source_->file, 0, path, std::move(message)};
  if (node.IsDefined() && !node.Mark().is_null()) {
    error.line = node.Mark().line + 1;
  }
  for (const auto& [overlaid_path, file] : source_->overlay_sources) {
    if (is_within(path, overlaid_path)) {
      error.file = file;
    }
  }
  errors_->push_back(std::move(error));
}

void reader::add_error(const std::string& key, std::string message) {
  YAML::Node at = node_;
  if (!key.empty() && node_.IsMap()) {
    const YAML::Node& view = node_;
    if (view[key]) {
      at.reset(view[key]);  // An assignment would modify the document.
    }
  }
  add_error_at(at, path_of(key), std::move(message));
}

bool reader::has(const std::string& key) {
  return find(key).IsDefined();
}

reader reader::child(const std::string& key) {
  const YAML::Node found = find(key);
  return {*source_, *errors_, found.IsDefined() ? found : YAML::Node(), path_of(key)};
}

void reader::for_each_entry(
    const std::string& key,
    const std::function<void(const std::string&, reader&)>& visit) {
  const YAML::Node found = find(key);
  if (!found.IsDefined() || found.IsNull()) {
    return;
  }
  if (!found.IsMap()) {
    add_error(key, "found " + describe_value(found) + "; expected a map");
    return;
  }
  for (const auto& entry : found) {
    const auto name = entry.first.as<std::string>();
    reader inner(*source_, *errors_, entry.second, join_path(path_of(key), name));
    visit(name, inner);
    inner.report_unknown_keys();
  }
}

void reader::for_each_item(const std::string& key,
                           const std::function<void(reader&)>& visit) {
  const YAML::Node found = find(key);
  if (!found.IsDefined() || found.IsNull()) {
    return;
  }
  if (!found.IsSequence()) {
    add_error(key, "found " + describe_value(found) + "; expected a list");
    return;
  }
  std::size_t index = 0;
  for (const YAML::Node& item : found) {
    reader inner(*source_, *errors_, item,
                 path_of(key) + '[' + std::to_string(index) + ']');
    visit(inner);
    inner.report_unknown_keys();
    ++index;
  }
}

void reader::read(const std::string& key, std::string& target, bool required) {
  const YAML::Node found = find(key);
  if (!found.IsDefined()) {
    if (required) {
      add_error(key, "missing; a string is required");
    }
    return;
  }
  if (!found.IsScalar() || found.Scalar().empty()) {
    add_error(key, "found " + describe_value(found) + "; expected a non-empty string");
    return;
  }
  target = found.Scalar();
}

void reader::read(const std::string& key, bool& target) {
  const YAML::Node found = find(key);
  if (found.IsDefined() && !YAML::convert<bool>::decode(found, target)) {
    add_error(key, "found " + describe_value(found) + "; expected true or false");
  }
}

void reader::read(const std::string& key, std::uint64_t& target, std::uint64_t low,
                  std::uint64_t high) {
  const YAML::Node found = find(key);
  if (!found.IsDefined()) {
    return;
  }
  std::int64_t value = -1;
  const bool decoded =
      found.IsScalar() && YAML::convert<std::int64_t>::decode(found, value);
  const bool in_range = value >= 0 && static_cast<std::uint64_t>(value) >= low &&
                        static_cast<std::uint64_t>(value) <= high;
  if (!decoded || !in_range) {
    add_error(key, "found " + describe_value(found) + "; expected " +
                       range_text(low, high) + ", inclusive");
    return;
  }
  target = static_cast<std::uint64_t>(value);
}

void reader::read(const std::string& key, std::uint32_t& target, std::uint32_t low,
                  std::uint32_t high) {
  std::uint64_t wide_value = target;
  read(key, wide_value, std::uint64_t{low}, std::uint64_t{high});
  target = static_cast<std::uint32_t>(wide_value);
}

void reader::read(const std::string& key, double& target, double low, double high) {
  const YAML::Node found = find(key);
  if (!found.IsDefined()) {
    return;
  }
  double value = 0;
  const bool decoded = found.IsScalar() && YAML::convert<double>::decode(found, value);
  if (!decoded || !(value >= low && value <= high)) {
    add_error(key, "found " + describe_value(found) + "; expected " +
                       range_text(low, high) + ", inclusive");
    return;
  }
  target = value;
}

void reader::read(const std::string& key, base::milliseconds& target,
                  base::milliseconds low, base::milliseconds high) {
  auto count = static_cast<std::uint64_t>(target.count());
  read(key, count, static_cast<std::uint64_t>(low.count()),
       static_cast<std::uint64_t>(high.count()));
  target = base::milliseconds(count);
}

void reader::read(const std::string& key, std::vector<std::string>& target) {
  const YAML::Node found = find(key);
  if (!found.IsDefined()) {
    return;
  }
  if (!found.IsSequence()) {
    add_error(key, "found " + describe_value(found) + "; expected a list of strings");
    return;
  }
  std::vector<std::string> items;
  for (const auto& item : found) {
    if (!item.IsScalar()) {
      add_error(key, "expected a list of strings");
      return;
    }
    items.push_back(item.Scalar());
  }
  target = std::move(items);
}

void reader::report_unknown_keys() {
  if (!node_.IsMap()) {
    return;
  }
  for (const auto& entry : node_) {
    const auto key = entry.first.as<std::string>();
    if (std::find(known_.begin(), known_.end(), key) != known_.end()) {
      continue;
    }
    const std::string suggestion = closest_key(key, known_);
    const std::string message = suggestion.empty()
                                    ? "unknown key"
                                    : "unknown key; did you mean '" + suggestion + "'?";
    add_error_at(entry.first, path_of(key), message);
  }
}

}  // namespace ibis::config
