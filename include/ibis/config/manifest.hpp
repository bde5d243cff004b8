/// The format in which the platform stores the configuration: immutable parts, each
/// stored under the hash of its content, and a small manifest that lists them. There is
/// one part for each service, so a change of one service rewrites only its part.
#pragma once

#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <string>   // for string
#include <vector>   // for vector

#include "ibis/base/error.hpp"          // for result
#include "ibis/config/declaration.hpp"  // for configuration

namespace ibis::config {

/// The key under which the platform stores the manifest.
inline constexpr const char* manifest_key = "config/manifest";
/// The largest object that the platform accepts, in bytes.
inline constexpr std::size_t max_object_size = 1'000'000;

/// A past change of the configuration, as recorded in the manifest's history.
struct change {
  std::uint64_t generation = 0;
  std::string token;
  std::string author;
  std::string note;
  std::uint64_t applied_at_ms = 0;  ///< Since the Unix epoch.
  bool operator==(const change&) const = default;
};

/// The number of past changes that a manifest keeps.
inline constexpr std::size_t history_length = 20;

/// Lists the parts of one generation of the configuration.
struct manifest {
  std::uint64_t generation = 0;  ///< Increases with each change, never decreases.
  std::string token;   ///< Unique to the write: if its reply is lost, shows whether it
                       ///< took effect.
  std::string author;  ///< Who applied it.
  std::string note;    ///< The author's reason for the change.
  std::uint64_t applied_at_ms = 0;  ///< Since the Unix epoch.
  std::map<std::string, std::string>
      parts;                    ///< The content hash of each part, by part name.
  std::vector<change> history;  ///< Earlier changes, the newest first.
  bool operator==(const manifest&) const = default;
};

/// The text of parts, by content hash.
using part_store = std::map<std::string, std::string>;

/// @return The key under which the platform stores the part with this content hash.
std::string part_key(const std::string& hash);

/// @return The manifest as JSON text.
std::string write_manifest(const manifest& value);
/// Parses a manifest from JSON text.
/// @return The manifest, or `invalid_input` if the text is not one.
base::result<manifest> read_manifest(const std::string& bytes);

/// Divides a configuration into its parts.
/// @return JSON text by part name: "zones", "leaving", and "service/NAME" for each
/// service.
std::map<std::string, std::string> split_parts(const configuration& value);

/// Builds the configuration of a manifest from its parts. Services whose part did not
/// change are shared with `previous` instead of being parsed again.
///
/// @param target The manifest of the configuration to build.
/// @param parts Must hold "zones", "leaving" and the parts of all services that are not
/// taken from `previous`.
/// @param previous An earlier configuration; may be empty.
/// @param previous_parts Hash by part name of the manifest that `previous` was built
/// from.
/// @return The configuration, or `invalid_input` if a part is missing or invalid.
base::result<configuration> join_parts(
    const manifest& target, const part_store& parts, const configuration& previous,
    const std::map<std::string, std::string>& previous_parts);

}  // namespace ibis::config
