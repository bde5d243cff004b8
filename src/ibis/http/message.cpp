#include "ibis/http/message.hpp"

#include <algorithm>  // for any_of, equal, find_if
#include <array>      // for array
#include <charconv>   // for from_chars

namespace ibis::http {
namespace {

/// Fields that are never forwarded: hop-by-hop fields and those that frame the body.
constexpr std::array<std::string_view, 11> connection_specific_fields{
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "proxy-authenticate",
    "proxy-authorization"};

char to_lower_ascii(char character) {
  const bool is_uppercase = character >= 'A' && character <= 'Z';
  return is_uppercase ? static_cast<char>(character - 'A' + 'a') : character;
}

std::string_view trim_whitespace(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

/// Returns the field names that Connection fields list. Such fields concern that
/// connection only.
std::vector<std::string_view> connection_options(const header_fields& fields) {
  std::vector<std::string_view> names;
  for (const header_field& field : fields) {
    if (!field_names_equal(field.name, "connection")) {
      continue;
    }
    std::string_view rest = field.value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      names.push_back(trim_whitespace(rest.substr(0, comma)));
      rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
    }
  }
  return names;
}

template <typename Names>
bool contains(const Names& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(), [name](std::string_view other) {
    return field_names_equal(name, other);
  });
}

}  // namespace

bool field_names_equal(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
           return to_lower_ascii(a) == to_lower_ascii(b);
         });
}

std::optional<std::string_view> find_field(const header_fields& fields,
                                           std::string_view name) {
  const auto found =
      std::find_if(fields.begin(), fields.end(), [name](const header_field& field) {
        return field_names_equal(field.name, name);
      });
  if (found == fields.end()) {
    return std::nullopt;
  }
  return std::string_view(found->value);
}

std::optional<double> find_numeric_field(const header_fields& fields,
                                         std::string_view name) {
  const auto text = find_field(fields, name);
  if (!text) {
    return std::nullopt;
  }
  double value = 0;
  const char* end = text->data() + text->size();  // NOLINT(*-pointer-arithmetic)
  const auto parsed = std::from_chars(text->data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

header_fields end_to_end_fields(const header_fields& fields,
                                const std::vector<std::string_view>& excluded) {
  const auto connection_named = connection_options(fields);
  header_fields forwarded;
  forwarded.reserve(fields.size());
  for (const header_field& field : fields) {
    if (contains(connection_specific_fields, field.name) ||
        contains(connection_named, field.name) || contains(excluded, field.name)) {
      continue;
    }
    forwarded.push_back(field);
  }
  return forwarded;
}

}  // namespace ibis::http
