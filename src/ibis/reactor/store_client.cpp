#include "ibis/reactor/store_client.hpp"

#include <utility>  // for move
#include <variant>  // for get_if

#include "ibis/reactor/node_log.hpp"  // for write_log

namespace ibis::reactor {
namespace {

constexpr unsigned status_conflict = 409;

/// Whether the store did not write a record. A conflict means that it exists.
bool is_refusal(unsigned status) {
  return status / 100 != 2 && status != status_conflict;
}

}  // namespace

store_client::store_client(asio::io_context& io, const asio::ip::tcp::endpoint& peer,
                           const protocol& platform_protocol, event_callback on_event)
    : protocol_(platform_protocol),
      on_event_(std::move(on_event)),
      probe_queue_(std::make_shared<runtime::http_call_queue>(io, peer)),
      record_queue_(std::make_shared<runtime::http_call_queue>(
          io, peer, runtime::http_client::retry_mode::on_closed_connection)),
      removal_client_(std::make_shared<runtime::http_client>(io, peer)) {
  for (auto& client : topic_clients_) {
    client = std::make_shared<runtime::http_client>(io, peer);
  }
}

void store_client::call(serving::store_topic topic, bool listing,
                        const http::request& request) {
  // A watch whose connection was lost is not retried automatically: its revision may be
  // too old by now for any change to be reported.
  const auto mode = listing ? runtime::http_client::retry_mode::on_closed_connection
                            : runtime::http_client::retry_mode::never;
  topic_clients_[static_cast<std::size_t>(topic)]->call(
      request, mode,
      [this, topic, listing](const base::result<http::response>& response) {
        if (!response) {
          on_event_(serving::store_call_failed{topic,
                                               serving::store_failure::unreachable,
                                               base::describe(response.error())});
          return;
        }
        on_event_(protocol_.decode_store_response(topic, listing, response.value()));
      });
}

void store_client::list(const serving::list_topic& effect) {
  call(effect.topic, true, protocol_.make_list_request(effect));
}

void store_client::watch(const serving::watch_topic& effect) {
  call(effect.topic, false, protocol_.make_watch_request(effect));
}

void store_client::cancel(serving::store_topic topic) {
  topic_clients_[static_cast<std::size_t>(topic)]->cancel();
}

void store_client::log_failure(const char* step, const base::error& error) {
  write_log({"store_record_call_failed",
             true,
             {{"step", step}, {"detail", base::describe(error)}}});
}

void store_client::log_refusal(const char* step, unsigned status) {
  write_log({"store_record_call_refused",
             true,
             {{"step", step}, {"status", std::to_string(status)}}});
}

void store_client::register_node(const serving::register_node& effect,
                                 const std::string& peer_address) {
  const bool added = record_queue_->add(
      protocol_.make_register_request(peer_address), effect.limit,
      [this](const base::result<http::response>& response) {
        on_event_(serving::node_record_written{is_written(response)});
      });
  if (!added) {
    on_event_(serving::node_record_written{false});
  }
}

bool store_client::is_written(const base::result<http::response>& response) {
  if (!response) {
    log_failure("register", response.error());
    return false;
  }
  if (is_refusal(response.value().status)) {
    log_refusal("register", response.value().status);
    return false;
  }
  return true;
}

void store_client::count_nodes(const serving::count_nodes& effect) {
  const bool added = record_queue_->add(
      protocol_.make_count_request(effect.after), effect.limit,
      [this](const base::result<http::response>& response) { report_count(response); });
  if (!added) {
    on_event_(serving::node_count_failed{});
  }
}

void store_client::report_count(const base::result<http::response>& response) {
  if (!response) {
    log_failure("count", response.error());
    on_event_(serving::node_count_failed{});
    return;
  }
  const auto page = protocol_.decode_node_count(response.value());
  if (!page) {
    log_refusal("count", response.value().status);
    on_event_(serving::node_count_failed{});
    return;
  }
  on_event_(*page);
}

std::optional<std::vector<serving::zone_change>> store_client::read_zones(
    const http::response& response) const {
  const serving::event decoded = protocol_.decode_store_response(
      serving::store_topic::evacuations, true, response);
  const auto* listed = std::get_if<serving::topic_listed>(&decoded);
  if (listed == nullptr || !listed->next_page_after.empty()) {
    return std::nullopt;
  }
  return listed->zones;
}

void store_client::probe(const serving::probe_store& effect) {
  const bool list = effect.list_evacuations;
  const http::request request =
      list ? protocol_.make_list_request({serving::store_topic::evacuations, "", false})
           : protocol_.make_probe_request();
  const bool added = probe_queue_->add(
      request, effect.limit,
      [this, list,
       sent_at = effect.sent_at](const base::result<http::response>& response) {
        serving::store_probed probed{response.has_value(), sent_at, {}};
        if (response) {
          probed.revision = protocol_.decode_probe_response(response.value());
          probed.zones = list ? read_zones(response.value()) : std::nullopt;
        }
        on_event_(probed);
      });
  if (!added) {
    on_event_(serving::store_probed{false, effect.sent_at, {}});
  }
}

void store_client::unregister_node(const std::function<void()>& on_done) {
  removal_client_->call(protocol_.make_unregister_request(),
                        runtime::http_client::retry_mode::on_closed_connection,
                        [on_done](const base::result<http::response>& response) {
                          if (!response) {
                            log_failure("unregister", response.error());
                          }
                          on_done();
                        });
}

}  // namespace ibis::reactor
