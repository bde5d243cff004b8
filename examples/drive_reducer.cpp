/// Drives the reducer directly: passes it an event and the current time, and reads the
/// effects that it returns.
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
  for (const effect& output : reduce(entry, query, now)) {
    if (const auto* reply = std::get_if<answer_caller>(&output)) {
      std::cout << to_string(reply->answer.outcome) << ": " << reply->answer.reason
                << '\n';
      return reply->answer.outcome == outcome::not_run ? 0 : 1;
    }
  }
  return 1;
}
