/// The settings of an `ibis_node` process, read from a YAML file.
#pragma once

#include <cstdint>  // for uint32_t
#include <string>   // for string
#include <vector>   // for vector

#include "ibis/config/reader.hpp"     // for document, document_error
#include "ibis/reactor/node_log.hpp"  // for node_log_settings
#include "ibis/serving/settings.hpp"  // for node_settings

namespace ibis::reactor {

/// All settings of a process: its addresses, its log, and what the reducer needs.
struct process_settings {
  std::string node;               ///< The node's name, unique among all nodes.
  std::string client_address;     ///< "ip:port".
  std::string readiness_address;  ///< "ip:port" for the load balancer's probes.
  std::string metrics_address;    ///< "ip:port"; empty for none.
  std::string peer_address;       ///< "ip:port" for other nodes; empty for none.
  std::string store_address;      ///< "ip:port" of the platform's store.
  node_log_settings log;
  serving::node_settings serving;
};

/// The settings that a document holds, and what is wrong with it.
struct parsed_process_settings {
  process_settings value;
  std::vector<config::document_error> errors;
};

/// Parses and validates settings. If there are errors, the value must not be used.
parsed_process_settings parse_process_settings(const config::document& source);

}  // namespace ibis::reactor
