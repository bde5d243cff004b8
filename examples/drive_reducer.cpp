/// Drives the reducer by hand: an event in, effects out, on a clock of one's own.
#include <iostream>  // for cout

#include "ibis/policy/node.hpp"  // for reduce

int main() {
  using namespace ibis::policy;  // NOLINT(google-build-using-namespace)
  node_identity identity;
  identity.vm = "praha-a-1";
  identity.zone = "praha-a";
  node_state entry = make_node(identity);
  const ibis::base::time_point now{std::chrono::seconds(1)};
  start(entry, now);
  query_received query;
  query.caller = {1};
  query.service = "registry-search";
  query.text = "R600a";
  for (const effect& done : reduce(entry, query, now)) {
    if (const auto* answered = std::get_if<answer_caller>(&done)) {
      std::cout << to_string(answered->answer.outcome) << ": "
                << answered->answer.reason << '\n';
      return answered->answer.outcome == outcome::not_run ? 0 : 1;
    }
  }
  return 1;
}
