/// Parses and validates the operators' declarations, which are written in YAML.
#pragma once

#include <string>  // for string
#include <vector>  // for vector

#include "ibis/config/declaration.hpp"  // for configuration, service
#include "ibis/config/reader.hpp"       // for document, document_error

namespace ibis::config {

/// The result of parsing a configuration. The value is usable only if there are no
/// errors.
struct parsed_configuration {
  configuration value;
  std::vector<document_error> errors;
};

/// Parses and validates a whole configuration. Parsing continues after an error, so
/// that all errors are reported together; only leafs that are in two replica groups are
/// not looked for as long as there are other errors.
///
/// Example:
///
///     auto parsed = parse_configuration(merge_overlay(base, site));
///     for (const auto& error : parsed.errors) std::cerr << describe(error) << '\n';
parsed_configuration parse_configuration(const document& source);

/// Parses and validates the declaration of one service.
/// @param fields The service's map; errors are added to this reader.
service parse_service(const std::string& name, reader& fields);

/// Reads a base file and its overlays from disk and merges them.
/// @param paths The base file first, then the overlays in the order in which they
/// apply.
/// @return The merged document; `not_found` if a file cannot be opened, `invalid_input`
/// if one is not YAML.
base::result<document> load_documents(const std::vector<std::string>& paths);

/// Parses a timestamp such as "2026-12-06T23:59:00+01:00" or "2026-12-06T22:59:00Z".
/// @return The time since the Unix epoch; `invalid_input` if the UTC offset is missing
/// or there is no such date or time.
base::result<base::milliseconds> parse_timestamp(const std::string& text);

/// Formats a time in UTC, to the second.
/// @return A timestamp such as "2026-12-06T22:59:00Z".
std::string format_timestamp(base::milliseconds unix_time);

}  // namespace ibis::config
