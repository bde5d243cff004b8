#include "ibis/serving/event.hpp"

#include <variant>  // for visit

namespace ibis::serving {
namespace {

struct event_namer {
  const char* operator()(const request_arrived& /*event*/) const {
    return "request_arrived";
  }
  const char* operator()(const caller_disconnected& /*event*/) const {
    return "caller_disconnected";
  }
  const char* operator()(const connection_opened& /*event*/) const {
    return "connection_opened";
  }
  const char* operator()(const connection_failed& /*event*/) const {
    return "connection_failed";
  }
  const char* operator()(const connection_lost& /*event*/) const {
    return "connection_lost";
  }
  const char* operator()(const leaf_answered& /*event*/) const {
    return "leaf_answered";
  }
  const char* operator()(const topic_listed& /*event*/) const { return "topic_listed"; }
  const char* operator()(const topic_changed& /*event*/) const {
    return "topic_changed";
  }
  const char* operator()(const store_call_failed& /*event*/) const {
    return "store_call_failed";
  }
  const char* operator()(const nodes_counted& /*event*/) const {
    return "nodes_counted";
  }
  const char* operator()(const node_count_failed& /*event*/) const {
    return "node_count_failed";
  }
  const char* operator()(const node_record_written& /*event*/) const {
    return "node_record_written";
  }
  const char* operator()(const peer_query_received& /*event*/) const {
    return "peer_query_received";
  }
  const char* operator()(const peer_replied& /*event*/) const { return "peer_replied"; }
  const char* operator()(const shards_requested& /*event*/) const {
    return "shards_requested";
  }
  const char* operator()(const shards_replied& /*event*/) const {
    return "shards_replied";
  }
  const char* operator()(const shards_cancelled& /*event*/) const {
    return "shards_cancelled";
  }
  const char* operator()(const shards_undeliverable& /*event*/) const {
    return "shards_undeliverable";
  }
  const char* operator()(const quota_requested& /*event*/) const {
    return "quota_requested";
  }
  const char* operator()(const quota_granted& /*event*/) const {
    return "quota_granted";
  }
  const char* operator()(const quota_undeliverable& /*event*/) const {
    return "quota_undeliverable";
  }
  const char* operator()(const peer_lost& /*event*/) const { return "peer_lost"; }
  const char* operator()(const settings_changed& /*event*/) const {
    return "settings_changed";
  }
  const char* operator()(const store_probed& /*event*/) const { return "store_probed"; }
  const char* operator()(const stop_requested& /*event*/) const {
    return "stop_requested";
  }
  const char* operator()(const tick& /*event*/) const { return "tick"; }
};

}  // namespace

bool has_changes(const topic_changed& update) {
  return update.configuration || !update.leafs.empty() || !update.zones.empty();
}

const char* event_name(const event& value) {
  return std::visit(event_namer{}, value);
}

}  // namespace ibis::serving
