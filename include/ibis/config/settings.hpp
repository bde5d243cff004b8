/// The settings of an entry or relay process, from a YAML file. The entry and the relay
/// of a VM share one file.
#pragma once

#include <cstdint>  // for uint16_t
#include <string>   // for string
#include <vector>   // for vector

#include "ibis/base/time.hpp"      // for milliseconds
#include "ibis/config/reader.hpp"  // for document

namespace ibis::config {

/// A VM that a starting node contacts to join the tier. Either address may be empty.
struct seed {
  std::string vm;
  std::string zone;
  std::string entry;  ///< "ip:port" at which its entry accepts peer connections.
  std::string relay;  ///< "ip:port" at which its relay accepts peer connections.
};

/// Which log lines are written, and how.
struct log_settings {
  std::string level = "info";   ///< debug, info or warning.
  std::string format = "text";  ///< text or json.
};

/// Everything that can be set for the processes of a VM. Ports may be 0, which takes
/// any free port.
struct process_settings {
  std::string vm;
  std::string zone;
  std::string ip = "127.0.0.1";
  std::uint32_t entry_port = 7100;  ///< For connections from peers.
  std::uint32_t relay_port = 7101;
  std::uint32_t entry_http_port = 7180;  ///< For callers and operators.
  std::uint32_t relay_http_port = 7181;  ///< For operators.
  std::uint32_t http_threads = 128;      ///< Of a process's HTTP server.
  std::string platform;                  ///< "ip:port" of the platform's object API.
  std::vector<seed> seeds;
  log_settings log;
  /// While stopping, how long new work is still accepted, so that the other nodes have
  /// time to learn that this node is leaving.
  base::milliseconds stop_handover{1500};
  /// How long after the request to stop the requests in flight are aborted.
  base::milliseconds stop_limit{30000};
  std::uint32_t max_in_flight = 2000;  ///< Concurrent queries in an entry.
};

/// The result of parsing settings. The value is usable only if there are no errors.
struct parsed_settings {
  process_settings value;
  std::vector<document_error> errors;
};

/// Parses and validates settings. All errors of the document are reported together.
parsed_settings parse_settings(const document& source);

}  // namespace ibis::config
