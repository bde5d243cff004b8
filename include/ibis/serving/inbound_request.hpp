/// A client's request in the form that the reducer and the leaf connections use.
#pragma once

#include <memory>    // for shared_ptr
#include <optional>  // for optional
#include <string>    // for string

#include "ibis/base/time.hpp"  // for milliseconds

namespace ibis::serving {

/// A complete request from a client.
struct inbound_request {
  std::string method;
  std::string target;  ///< Path and query, as received.
  std::string host;
  /// Request id chosen by the client; differs for each of its attempts.
  std::string id;
  std::optional<base::milliseconds> deadline;  ///< How long the client waits.
  /// Request line and header fields as sent to leafs, without the fields that differ
  /// from leaf to leaf, without `access_fields` and without the empty line that ends
  /// the header.
  std::string head;
  /// The client's only access key; nothing if it states none, or several. Must not be
  /// passed on or logged.
  std::optional<std::string> access_key;
  /// The header fields with the client's access key and with the account that it says
  /// it has, as received and serialized as in `head`.
  std::string access_fields;
  std::string body;
};

/// A request shared by the reducer and the effects that send it to leafs.
using inbound_request_ptr = std::shared_ptr<const inbound_request>;

}  // namespace ibis::serving
