#include "ibis/reactor/peer_link.hpp"

#include <utility>  // for move
#include <variant>  // for get_if

#include "ibis/reactor/node_log.hpp"  // for write_log

namespace ibis::reactor {
namespace {

constexpr unsigned status_ok = 200;

serving::peer_replied make_unreachable_event(const std::string& node,
                                             std::uint64_t serial, std::uint8_t topic) {
  serving::peer_replied event{
      node, serial, serving::peer_reply_status::unreachable, {}, {}};
  event.update.topic = static_cast<serving::store_topic>(topic);
  return event;
}

bool is_valid(const wire::topic_news& update) {
  return update.topic < serving::store_topic_count &&
         update.kind <=
             static_cast<std::uint8_t>(serving::peer_reply_status::unreachable);
}

void append_changes(serving::topic_changed& all, serving::topic_changed&& next) {
  all.leafs.insert(all.leafs.end(), std::make_move_iterator(next.leafs.begin()),
                   std::make_move_iterator(next.leafs.end()));
  all.zones.insert(all.zones.end(), std::make_move_iterator(next.zones.begin()),
                   std::make_move_iterator(next.zones.end()));
  if (next.configuration) {
    all.configuration = std::move(next.configuration);
  }
}

}  // namespace

peer_link::peer_link(asio::io_context& io, const std::string& node,
                     const protocol& platform_protocol, event_callback on_event)
    : protocol_(platform_protocol),
      on_event_(std::move(on_event)),
      transport_(io, wire::hello{node, node, "", "node", "", wire::channel::control},
                 make_hooks()) {}

base::result<std::string> peer_link::listen(const std::string& address) {
  return transport_.listen(address);
}

runtime::peer_hooks peer_link::make_hooks() {
  runtime::peer_hooks hooks;
  hooks.on_message = [this](const std::string& node, const wire::message& body) {
    on_message(node, body);
  };
  hooks.on_undeliverable = [this](const std::string& node, const wire::message& body) {
    on_undeliverable(node, body);
  };
  hooks.on_lost = [this](const std::string& node) {
    delay_.forget(node);
    on_event_(serving::peer_lost{node});
  };
  hooks.on_error = [](const base::error& error) {
    write_log({"peer_connection_failed", true, {{"detail", base::describe(error)}}});
  };
  return hooks;
}

void peer_link::on_undeliverable(const std::string& node, const wire::message& body) {
  // Undeliverable replies need no handling: the peer notices that its reply is missing
  // and asks elsewhere.
  if (const auto* watch = std::get_if<wire::topic_watch>(&body)) {
    on_event_(make_unreachable_event(node, watch->serial, watch->topic));
  } else if (const auto* request = std::get_if<wire::shards_request>(&body)) {
    on_event_(serving::shards_undeliverable{node, request->call});
  } else if (const auto* tokens = std::get_if<wire::quota_request>(&body)) {
    on_event_(serving::quota_undeliverable{node, *tokens});
  }
}

bool peer_link::on_shards_message(const std::string& node, const wire::message& body) {
  if (const auto* request = std::get_if<wire::shards_request>(&body)) {
    on_event_(serving::shards_requested{
        node, *request, delay_.measure(node, request->sent_at, base::boot_now())});
  } else if (const auto* reply = std::get_if<wire::shards_reply>(&body)) {
    on_event_(serving::shards_replied{node, *reply});
  } else if (const auto* cancel = std::get_if<wire::block_cancel>(&body)) {
    on_event_(serving::shards_cancelled{node, cancel->call});
  } else {
    return false;
  }
  return true;
}

bool peer_link::on_quota_message(const std::string& node, const wire::message& body) {
  if (const auto* request = std::get_if<wire::quota_request>(&body)) {
    on_event_(serving::quota_requested{node, *request});
  } else if (const auto* grant = std::get_if<wire::quota_grant>(&body)) {
    on_event_(serving::quota_granted{node, *grant});
  } else {
    return false;
  }
  return true;
}

void peer_link::on_message(const std::string& node, const wire::message& body) {
  if (on_shards_message(node, body) || on_quota_message(node, body)) {
    return;
  }
  const auto* watch = std::get_if<wire::topic_watch>(&body);
  if (watch != nullptr && watch->topic < serving::store_topic_count) {
    on_event_(serving::peer_query_received{
        node, static_cast<serving::store_topic>(watch->topic), watch->serial,
        serving::store_revision{watch->era, watch->revision}});
    return;
  }
  const auto* update = std::get_if<wire::topic_news>(&body);
  if (update != nullptr && is_valid(*update)) {
    on_reply(node, *update);
    return;
  }
  write_log({"peer_message_ignored", true, {{"peer", node}}});
}

void peer_link::on_reply(const std::string& node, const wire::topic_news& update) {
  serving::peer_replied event{node,
                              update.serial,
                              static_cast<serving::peer_reply_status>(update.kind),
                              {},
                              update.age};
  event.update.topic = static_cast<serving::store_topic>(update.topic);
  event.update.revision = {update.era, update.revision};
  for (const std::string& text : update.texts) {
    http::response response;
    response.status = status_ok;
    response.body = text;
    serving::event decoded =
        protocol_.decode_store_response(event.update.topic, false, response);
    auto* changed = std::get_if<serving::topic_changed>(&decoded);
    if (changed == nullptr) {
      write_log({"peer_news_unreadable", true, {{"peer", node}}});
      on_event_(make_unreachable_event(node, update.serial, update.topic));
      return;
    }
    append_changes(event.update, std::move(*changed));
  }
  on_event_(std::move(event));
}

void peer_link::send_query(const serving::query_peer& effect) {
  transport_.send(
      effect.to.node, wire::channel::control, effect.to.address,
      wire::topic_watch{effect.serial, static_cast<std::uint8_t>(effect.topic),
                        effect.revision.number, effect.revision.era});
}

void peer_link::send_reply(const serving::reply_to_peer& effect) {
  wire::topic_news update{effect.serial,
                          static_cast<std::uint8_t>(effect.topic),
                          static_cast<std::uint8_t>(effect.kind),
                          effect.revision.number,
                          {},
                          effect.age,
                          effect.revision.era};
  for (const auto& text : effect.texts) {
    update.texts.push_back(*text);
  }
  // Without an address, the message uses the connection on which the query arrived.
  transport_.send(effect.node, wire::channel::control, "", std::move(update));
}

void peer_link::connect(const serving::connect_peer& effect) {
  transport_.connect(effect.to.node, wire::channel::data, effect.to.address);
}

void peer_link::send_shards_request(const serving::request_shards& effect) {
  wire::shards_request request = effect.request;
  request.sent_at = base::boot_now();
  transport_.send(effect.to.node, wire::channel::data, effect.to.address,
                  std::move(request));
}

void peer_link::send_shards_reply(const serving::reply_shards& effect) {
  transport_.send(effect.node, wire::channel::data, "", effect.reply);
}

void peer_link::send_quota_request(const serving::request_quota& effect) {
  transport_.send(effect.to.node, wire::channel::control, effect.to.address,
                  effect.request);
}

void peer_link::send_quota_grant(const serving::grant_quota& effect) {
  transport_.send(effect.node, wire::channel::control, "", effect.grant);
}

void peer_link::send_cancel(const serving::cancel_shards& effect) {
  transport_.send(effect.node, wire::channel::data, "",
                  wire::block_cancel{effect.call});
}

void peer_link::reset_connection(const serving::reset_holder_connection& effect) {
  transport_.reset(effect.node, wire::channel::data);
}

void peer_link::reset_connection(const serving::reset_peer_connection& effect) {
  transport_.reset(effect.node, wire::channel::control);
}

}  // namespace ibis::reactor
