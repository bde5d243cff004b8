#include "ibis/http/framing.hpp"

#include <algorithm>    // for any_of
#include <cstddef>      // for size_t
#include <string_view>  // for string_view
#include <vector>       // for vector

namespace ibis::http {
namespace {

std::string_view trim(std::string_view text) {
  constexpr std::string_view white_space = " \t";
  const std::size_t first = text.find_first_not_of(white_space);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(white_space) - first + 1);
}

/// @return The values of all fields of a name, in order.
std::vector<std::string_view> values_of(const header_fields& fields,
                                        std::string_view name) {
  std::vector<std::string_view> values;
  for (const header_field& field : fields) {
    if (field_names_equal(field.name, name)) {
      values.emplace_back(field.value);
    }
  }
  return values;
}

/// @return The members of comma-separated lists, without empty ones.
std::vector<std::string_view> list_members(const std::vector<std::string_view>& lists) {
  std::vector<std::string_view> members;
  for (std::string_view rest : lists) {
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      const std::string_view member = trim(rest.substr(0, comma));
      if (!member.empty()) {
        members.push_back(member);
      }
      rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
    }
  }
  return members;
}

bool is_chunked_coding(std::string_view coding) {
  return field_names_equal(coding, "chunked");
}

body_framing framing_of_codings(const std::vector<std::string_view>& codings) {
  if (codings.empty() || !is_chunked_coding(codings.back())) {
    return body_framing::invalid;
  }
  if (codings.size() == 1) {
    return body_framing::chunked;
  }
  const bool chunked_twice =
      std::any_of(codings.begin(), codings.end() - 1, is_chunked_coding);
  return chunked_twice ? body_framing::invalid : body_framing::unsupported_coding;
}

bool is_number(std::string_view text) {
  return !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
}

}  // namespace

body_framing determine_framing(const header_fields& fields, bool http_1_0) {
  const auto lengths = values_of(fields, "Content-Length");
  const auto codings = values_of(fields, "Transfer-Encoding");
  if (lengths.empty() && codings.empty()) {
    return body_framing::unstated;
  }
  if (codings.empty()) {
    const bool valid = lengths.size() == 1 && is_number(trim(lengths.front()));
    return valid ? body_framing::length : body_framing::invalid;
  }
  if (!lengths.empty() || http_1_0) {
    return body_framing::invalid;
  }
  return framing_of_codings(list_members(codings));
}

}  // namespace ibis::http
