#include "ibis/wire/messages.hpp"

namespace ibis::wire {

std::string_view to_string(missing_reason reason) {
  switch (reason) {
    case missing_reason::timeout:
      return "timeout";
    case missing_reason::shed:
      return "shed";
    case missing_reason::version_gone:
      return "version_gone";
    case missing_reason::moved:
      return "moved";
    case missing_reason::lost:
      return "lost";
    case missing_reason::draining:
      return "draining";
    case missing_reason::no_holder:
      return "no_holder";
  }
  return "unknown";
}

std::string_view to_string(priority value) {
  switch (value) {
    case priority::batch:
      return "batch";
    case priority::normal:
      return "normal";
    case priority::interactive:
      return "interactive";
  }
  return "unknown";
}

std::string_view to_string(member_status status) {
  switch (status) {
    case member_status::alive:
      return "alive";
    case member_status::suspect:
      return "suspect";
    case member_status::leaving:
      return "leaving";
    case member_status::dead:
      return "dead";
  }
  return "unknown";
}

}  // namespace ibis::wire
