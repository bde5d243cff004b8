/// The client of the platform's store, which holds the configuration and the records of
/// leafs and nodes.
#pragma once

#include <array>                // for array
#include <asio/io_context.hpp>  // for io_context
#include <functional>           // for function
#include <memory>               // for shared_ptr
#include <optional>             // for optional
#include <vector>               // for vector

#include "ibis/reactor/leaf_connection.hpp"  // for event_callback
#include "ibis/reactor/protocol.hpp"         // for protocol
#include "ibis/runtime/http_call_queue.hpp"  // for http_call_queue
#include "ibis/runtime/http_client.hpp"      // for http_client

namespace ibis::reactor {

/// Executes the reducer's effects on the store and reports the results as events.
class store_client {
 public:
  /// @param peer The store's address.
  /// @param platform_protocol Must outlive the client.
  /// @param on_event Receives `topic_listed`, `topic_changed`, `store_call_failed`,
  /// `nodes_counted`, `node_count_failed`, `node_record_written` and `store_probed`.
  store_client(asio::io_context& io, const asio::ip::tcp::endpoint& peer,
               const protocol& platform_protocol, event_callback on_event);

  /// Reads one page of a topic's objects.
  void list(const serving::list_topic& effect);
  /// Waits for changes of a topic.
  void watch(const serving::watch_topic& effect);
  /// Cancels the topic's list or watch call in progress, if any.
  void cancel(serving::store_topic topic);
  /// Writes this node's own record; `node_record_written` reports the result.
  /// @param peer_address "ip:port" where other nodes reach this one; may be empty.
  void register_node(const serving::register_node& effect,
                     const std::string& peer_address);
  /// Reads one page of the records of all nodes; `nodes_counted` or
  /// `node_count_failed` reports the result.
  void count_nodes(const serving::count_nodes& effect);
  /// Checks whether the store responds within a time limit; `store_probed` reports it.
  void probe(const serving::probe_store& effect);
  /// Deletes this node's own record. A failure is only logged.
  /// @param on_done Called when the call has succeeded or failed.
  void unregister_node(const std::function<void()>& on_done);

 private:
  void call(serving::store_topic topic, bool listing, const http::request& request);
  /// Logs a write of this node's record that failed or was refused.
  /// @return Whether the record exists.
  static bool is_written(const base::result<http::response>& response);
  void report_count(const base::result<http::response>& response);
  /// @return The evacuations that a probe has listed; nothing if it is no whole
  /// listing.
  [[nodiscard]] std::optional<std::vector<serving::zone_change>> read_zones(
      const http::response& response) const;
  static void log_refusal(const char* step, unsigned status);
  static void log_failure(const char* step, const base::error& error);

  const protocol& protocol_;  // NOLINT(*-avoid-const-or-ref-data-members)
  event_callback on_event_;
  std::array<std::shared_ptr<runtime::http_client>, serving::store_topic_count>
      topic_clients_;
  std::shared_ptr<runtime::http_call_queue> probe_queue_;
  /// Writes this node's own record and reads those of all nodes.
  std::shared_ptr<runtime::http_call_queue> record_queue_;
  /// Removes this node's own record, and waits for no other call.
  std::shared_ptr<runtime::http_client> removal_client_;
};

}  // namespace ibis::reactor
