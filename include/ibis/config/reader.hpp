/// Reads YAML documents field by field and collects all errors, each with its file,
/// line and path.
#pragma once

#include <yaml-cpp/yaml.h>  // for Node

#include <cstdint>      // for uint64_t
#include <functional>   // for function
#include <map>          // for map
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "ibis/base/error.hpp"  // for result
#include "ibis/base/time.hpp"   // for milliseconds

namespace ibis::config {

/// An error in a document, with its place.
struct document_error {
  std::string file;
  int line = 0;      ///< From 1; 0 if unknown.
  std::string path;  ///< For example "services.registry-search.groups[0].leafs".
  std::string message;
};

/// Formats an error as one line.
/// @return "file:line: path: message".
std::string describe(const document_error& value);

/// A YAML document, which may be the result of merging several files.
struct document {
  YAML::Node root;
  std::string file;  ///< The name of the base file, for errors.
  /// The file from which each path that an overlay replaced was read.
  std::map<std::string, std::string> overlay_sources;
};

/// Parses a YAML document, which must be a map or empty.
/// @param text YAML or JSON, which is a subset of YAML.
/// @param file The file's name, for errors.
/// @return The document, or `invalid_input` if the text is not such a document.
base::result<document> parse_document(const std::string& text, const std::string& file);

/// Merges an overlay into a base document. Maps are merged key by key; scalars and
/// lists of the overlay replace those of the base; a null deletes the key. The base is
/// not changed.
document merge_overlay(const document& base, const document& overlay);

/// Reads the fields of one map of a document. Errors are appended to a list that all
/// readers of a document share. A key counts as known once it has been looked up;
/// `report_unknown_keys` then reports all others, which catches misspelled keys.
///
/// Example:
///
///     reader root(source, errors);
///     root.read("vm", settings.vm, true);
///     root.report_unknown_keys();
class reader {
 public:
  /// Reads the document's root map. Both arguments must outlive the reader.
  reader(const document& source, std::vector<document_error>& errors);

  /// @return A reader of the map at a key; of an empty map if the key is absent.
  reader child(const std::string& key);
  /// Calls `visit` with each key of the map at `key` and a reader of its value, which
  /// must be a map too. Unknown keys of the values are reported.
  void for_each_entry(const std::string& key,
                      const std::function<void(const std::string&, reader&)>& visit);
  /// Calls `visit` with a reader of each item of the list at `key`; the items must be
  /// maps. Unknown keys of the items are reported.
  void for_each_item(const std::string& key, const std::function<void(reader&)>& visit);

  /// @return Whether the map has this key, which counts as known from then on.
  bool has(const std::string& key);
  /// Each overload of `read` stores the value of a field in `target`. If the key is
  /// absent or a scalar is invalid, `target` keeps its value. Invalid values are
  /// reported, and so is the absence of a required string. Strings must not be empty;
  /// numbers must lie between `low` and `high`, inclusive; durations are given in
  /// milliseconds.
  void read(const std::string& key, std::string& target, bool required = false);
  void read(const std::string& key, bool& target);
  void read(const std::string& key, std::uint64_t& target, std::uint64_t low,
            std::uint64_t high);
  void read(const std::string& key, std::uint32_t& target, std::uint32_t low,
            std::uint32_t high);
  void read(const std::string& key, double& target, double low, double high);
  void read(const std::string& key, base::milliseconds& target, base::milliseconds low,
            base::milliseconds high);
  void read(const std::string& key, std::vector<std::string>& target);

  /// Adds an error at a key of this map, or at the map itself if the key is empty.
  void add_error(const std::string& key, std::string message);
  /// Adds an error for each key of the map that was never looked up, with the closest
  /// known key as a suggestion.
  void report_unknown_keys();

 private:
  reader(const document& source, std::vector<document_error>& errors,
         const YAML::Node& node, std::string path);
  YAML::Node find(const std::string& key);
  [[nodiscard]] std::string path_of(const std::string& key) const;
  void add_error_at(const YAML::Node& node, const std::string& path,
                    std::string message);

  const document* source_;
  std::vector<document_error>* errors_;
  YAML::Node node_;
  std::string path_;
  std::vector<std::string> known_;
};

}  // namespace ibis::config
