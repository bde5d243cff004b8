/// The interface between the reactor and a platform adapter, which knows the platform's
/// paths, header fields and JSON formats.
#pragma once

#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <optional>    // for optional
#include <string>      // for string

#include "ibis/base/error.hpp"      // for result
#include "ibis/http/message.hpp"    // for request, response
#include "ibis/serving/effect.hpp"  // for caller_answer, send_to_leaf
#include "ibis/serving/event.hpp"   // for event

namespace ibis::reactor {

/// A leaf's response, decoded.
struct leaf_response {
  serving::leaf_answer answer;
  std::string request_id;  ///< Of the request that it answers; empty if not stated.
  /// After which the leaf closes an idle connection; nothing if not stated.
  std::optional<base::milliseconds> idle_timeout;
};

/// The functions of a platform adapter. All must be set.
struct protocol {
  /// Decodes a client's request.
  std::function<serving::inbound_request(http::request&&)> decode_request;
  /// Encodes the response to a client.
  std::function<http::response(const serving::caller_answer&)> encode_answer;
  /// Appends the whole serialized request that a leaf receives.
  std::function<void(std::string&, const serving::send_to_leaf&)> append_leaf_request;
  /// Decodes a leaf's response.
  std::function<leaf_response(http::response&&)> decode_leaf_response;

  /// Makes a store request for one page of a topic's objects.
  std::function<http::request(const serving::list_topic&)> make_list_request;
  /// Makes a store request that waits for changes of a topic (long polling).
  std::function<http::request(const serving::watch_topic&)> make_watch_request;
  /// Decodes the store's response to either of them, as `topic_listed`, `topic_changed`
  /// or `store_call_failed`.
  /// @param listing True for a list request, false for a watch request.
  std::function<serving::event(serving::store_topic, bool listing,
                               const http::response&)>
      decode_store_response;
  /// Makes a store request that writes this node's own record.
  /// @param peer_address "ip:port" where other nodes reach this one; may be empty.
  std::function<http::request(const std::string& peer_address)> make_register_request;
  /// Makes a store request for one page of the records of all nodes.
  /// @param after The last name of the page before; empty for the first page.
  std::function<http::request(const std::string& after)> make_count_request;
  /// Makes a store request that deletes this node's own record.
  std::function<http::request()> make_unregister_request;
  /// Makes a cheap store request that returns the store's current revision.
  std::function<http::request()> make_probe_request;
  /// Decodes the response to it; nothing if the store refused the request.
  std::function<std::optional<serving::store_revision>(const http::response&)>
      decode_probe_response;
  /// Decodes the response to a count request; nothing if it is not a listing.
  std::function<std::optional<serving::nodes_counted>(const http::response&)>
      decode_node_count;

  std::string readiness_path;  ///< The path of the load balancer's readiness probes.
};

}  // namespace ibis::reactor
