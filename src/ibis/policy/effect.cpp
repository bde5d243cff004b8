#include "ibis/policy/effect.hpp"

namespace ibis::policy {

std::string_view to_string(outcome value) {
  switch (value) {
    case outcome::complete:
      return "complete";
    case outcome::partial:
      return "partial";
    case outcome::not_run:
      return "not_run";
    case outcome::unknown:
      return "unknown";
    case outcome::rejected:
      return "rejected";
  }
  return "unknown";
}

}  // namespace ibis::policy
