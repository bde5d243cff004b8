/// Parses the configuration of a deployment with its overlays and counts its leafs.
#include <iostream>  // for cout

#include "ibis/config/parse.hpp"  // for parse_configuration

int main() {
  const auto source = ibis::config::load_documents(
      {"chladivo/base.yaml", "chladivo/praha-a.yaml", "chladivo/notice.yaml"});
  if (!source) {
    std::cerr << describe(source.error()) << '\n';
    return 1;
  }
  const auto parsed = ibis::config::parse_configuration(source.value());
  for (const auto& error : parsed.errors) {
    std::cerr << describe(error) << '\n';
  }
  std::size_t leafs = 0;
  for (const auto& [name, service] : parsed.value.services) {
    for (const auto& group : service->groups) {
      leafs += group.leafs.size();
    }
  }
  std::cout << parsed.value.services.size() << " services, " << leafs << " leafs, "
            << parsed.value.leaving.size() << " leaving\n";
  return parsed.errors.empty() ? 0 : 1;
}
