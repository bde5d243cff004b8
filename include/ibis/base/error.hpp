/// Errors as values: every error says which step failed and which peer was involved.
#pragma once

#include <boost/outcome.hpp>  // for basic_result
#include <string>             // for string
#include <string_view>        // for string_view

namespace ibis::base {

/// The category of an error, on which callers branch.
enum class error_code {
  invalid_input,
  not_found,
  conflict,
  unavailable,
  timeout,
  refused,
  protocol,
  too_large,
};

/// @return The enumerator's name, such as "not_found".
std::string_view to_string(error_code code);

/// An error together with the context in which it occurred.
struct error {
  error_code code = error_code::protocol;
  std::string step;    ///< The operation that failed, such as "decode frame".
  std::string peer;    ///< The other side, such as "10.0.0.7:7100"; empty if local.
  std::string detail;  ///< What was found and, for bad input, what is valid.
};

/// Formats an error as one line.
/// @return "step (peer): code: detail"; an empty peer or detail is left out.
std::string describe(const error& value);

/// Holds either a value or an `error`. Reading the one that it does not hold terminates
/// the process, so test it first.
///
/// Example:
///
///     const auto parsed = parse_address(text);
///     if (!parsed) return parsed.error();
///     connect(parsed.value());
template <typename T>
using result =
    boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

}  // namespace ibis::base
