/// Shows which relay serves a block, and which one takes over when that relay is lost.
#include <iostream>  // for cout

#include "ibis/config/declaration.hpp"    // for block_key
#include "ibis/policy/routing_table.hpp"  // for holder_candidates

int main() {
  ibis::policy::routing_table nodes;
  nodes.zone = "praha-a";
  set_relays(nodes,
             {{"praha-a", {"a-1/relay", "a-2/relay"}}, {"brno-b", {"b-1/relay"}}}, {});
  const std::string key = ibis::config::block_key("registry-search", 0);
  const std::string first = holder_candidates(nodes, key).front();
  std::cout << key << " is requested from " << first << '\n';
  const std::string other = first == "a-1/relay" ? "a-2/relay" : "a-1/relay";
  set_relays(nodes, {{"praha-a", {other}}, {"brno-b", {"b-1/relay"}}}, {});
  std::cout << "after losing that relay, from " << holder_candidates(nodes, key).front()
            << '\n';
  return holder_candidates(nodes, key).front() == other ? 0 : 1;
}
