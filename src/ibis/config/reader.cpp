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
      const std::size_t replaced = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
      diagonal = above;
    }
  }
  return row.back();
}

std::string nearest(const std::string& key, const std::vector<std::string>& known) {
  const auto closer = [&](const std::string& left, const std::string& right) {
    return edit_distance(key, left) < edit_distance(key, right);
  };
  const auto best = std::min_element(known.begin(), known.end(), closer);
  return best == known.end() ? std::string() : *best;
}

std::string join_path(const std::string& path, const std::string& key) {
  return path.empty() ? key : path + '.' + key;
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
    merged.overlaid[key_path] = file;
  }
}

template <typename T>
std::string range_text(T low, T high) {
  return "a number from " + std::to_string(low) + " to " + std::to_string(high);
}

std::string shown(const YAML::Node& node) {
  return node.IsScalar() ? "'" + node.Scalar() + "'" : std::string("a list or map");
}

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
    return parsed;
  } catch (const YAML::Exception& failure) {
    return base::error{base::error_code::invalid_input, "parse yaml", file,
                       failure.what()};
  }
}

document merge_overlay(const document& base, const document& overlay) {
  document merged{YAML::Clone(base.root), base.file, base.overlaid};
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
    fail_at(node_, path_, "found " + shown(node_) + "; a map is allowed");
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

void reader::fail_at(const YAML::Node& node, const std::string& path,
                     std::string message) {
  document_error found{source_->file, 0, path, std::move(message)};
  if (node.IsDefined() && !node.Mark().is_null()) {
    found.line = node.Mark().line + 1;
  }
  for (const auto& [overlaid_path, file] : source_->overlaid) {
    if (path.compare(0, overlaid_path.size(), overlaid_path) == 0) {
      found.file = file;
    }
  }
  errors_->push_back(std::move(found));
}

void reader::fail(const std::string& key, std::string message) {
  YAML::Node at = node_;
  if (!key.empty() && node_.IsMap()) {
    const YAML::Node& view = node_;
    if (view[key]) {
      at.reset(view[key]);  // An assignment would change the document.
    }
  }
  fail_at(at, path_of(key), std::move(message));
}

bool reader::has(const std::string& key) {
  return find(key).IsDefined();
}

reader reader::child(const std::string& key) {
  const YAML::Node found = find(key);
  return {*source_, *errors_, found.IsDefined() ? found : YAML::Node(), path_of(key)};
}

void reader::each_entry(const std::string& key,
                        const std::function<void(const std::string&, reader&)>& visit) {
  const YAML::Node found = find(key);
  if (!found.IsDefined() || found.IsNull()) {
    return;
  }
  if (!found.IsMap()) {
    fail(key, "found " + shown(found) + "; a map is allowed");
    return;
  }
  for (const auto& entry : found) {
    const auto name = entry.first.as<std::string>();
    reader inner(*source_, *errors_, entry.second, join_path(path_of(key), name));
    visit(name, inner);
    inner.finish();
  }
}

void reader::each_item(const std::string& key,
                       const std::function<void(reader&)>& visit) {
  const YAML::Node found = find(key);
  if (!found.IsDefined() || found.IsNull()) {
    return;
  }
  if (!found.IsSequence()) {
    fail(key, "found " + shown(found) + "; a list is allowed");
    return;
  }
  std::size_t index = 0;
  for (const YAML::Node& item : found) {
    reader inner(*source_, *errors_, item,
                 path_of(key) + '[' + std::to_string(index) + ']');
    visit(inner);
    inner.finish();
    ++index;
  }
}

void reader::read(const std::string& key, std::string& target, bool required) {
  const YAML::Node found = find(key);
  if (!found.IsDefined()) {
    if (required) {
      fail(key, "missing; a text is required");
    }
    return;
  }
  if (!found.IsScalar() || found.Scalar().empty()) {
    fail(key, "found " + shown(found) + "; a text that is not empty is allowed");
    return;
  }
  target = found.Scalar();
}

void reader::read(const std::string& key, bool& target) {
  const YAML::Node found = find(key);
  if (found.IsDefined() && !YAML::convert<bool>::decode(found, target)) {
    fail(key, "found " + shown(found) + "; true or false is allowed");
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
    fail(key, "found " + shown(found) + "; " + range_text(low, high) + " is allowed");
    return;
  }
  target = static_cast<std::uint64_t>(value);
}

void reader::read(const std::string& key, std::uint32_t& target, std::uint32_t low,
                  std::uint32_t high) {
  std::uint64_t wide = target;
  read(key, wide, std::uint64_t{low}, std::uint64_t{high});
  target = static_cast<std::uint32_t>(wide);
}

void reader::read(const std::string& key, double& target, double low, double high) {
  const YAML::Node found = find(key);
  if (!found.IsDefined()) {
    return;
  }
  double value = 0;
  const bool decoded = found.IsScalar() && YAML::convert<double>::decode(found, value);
  if (!decoded || !(value >= low && value <= high)) {
    fail(key, "found " + shown(found) + "; " + range_text(low, high) + " is allowed");
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
    fail(key, "found " + shown(found) + "; a list of texts is allowed");
    return;
  }
  target.clear();
  for (const auto& item : found) {
    if (!item.IsScalar()) {
      fail(key, "a list of texts is allowed");
      return;
    }
    target.push_back(item.Scalar());
  }
}

void reader::finish() {
  if (!node_.IsMap()) {
    return;
  }
  for (const auto& entry : node_) {
    const auto key = entry.first.as<std::string>();
    if (std::find(known_.begin(), known_.end(), key) != known_.end()) {
      continue;
    }
    const std::string hint = nearest(key, known_);
    const std::string message =
        hint.empty() ? "unknown key" : "unknown key; did you mean '" + hint + "'?";
    fail_at(entry.first, path_of(key), message);
  }
}

}  // namespace ibis::config
