#include "ibis/runtime/peer_transport.hpp"

#include <asio/ip/tcp.hpp>  // for tcp
#include <map>              // for map
#include <set>              // for set
#include <utility>          // for move, pair

#include "ibis/runtime/address.hpp"  // for to_endpoint
#include "peer_session.hpp"          // for peer_session

namespace ibis::runtime {

using asio::ip::tcp;

struct peer_transport::state : std::enable_shared_from_this<peer_transport::state> {
  using key = std::pair<std::string, wire::channel>;

  state(asio::io_context& context, wire::hello own, peer_hooks callbacks,
        peer_limits bounds)
      : io(context),
        acceptor(context),
        self(std::move(own)),
        hooks(std::move(callbacks)),
        limits(bounds) {}

  asio::io_context& io;  // NOLINT(*-avoid-const-or-ref-data-members)
  tcp::acceptor acceptor;
  wire::hello self;
  peer_hooks hooks;
  peer_limits limits;
  std::map<key, std::shared_ptr<peer_session>> current_sessions;  ///< For sending.
  std::set<std::shared_ptr<peer_session>> sessions;
  peer_traffic closed_traffic;  ///< Of closed sessions.
  bool closed = false;

  peer_session::hooks make_hooks() {
    std::weak_ptr<state> weak = weak_from_this();
    return {[weak](peer_session& session, wire::message body) {
              if (const auto owner = weak.lock()) {
                owner->on_message(session, std::move(body));
              }
            },
            [weak](peer_session& session, const base::error& reason,
                   std::vector<wire::message> unsent) {
              if (const auto owner = weak.lock()) {
                owner->on_closed(session, reason, std::move(unsent));
              }
            }};
  }

  void accept_next() {
    acceptor.async_accept([owner = shared_from_this()](const asio::error_code& failure,
                                                       tcp::socket socket) {
      if (owner->closed) {
        return;
      }
      if (!failure) {
        owner->add_accepted(std::move(socket));
      }
      owner->accept_next();
    });
  }

  void add_accepted(tcp::socket socket) {
    asio::error_code failure;
    const auto remote = socket.remote_endpoint(failure);
    const auto session =
        std::make_shared<peer_session>(std::move(socket), make_hooks());
    session->address = failure ? std::string() : to_text(remote);
    sessions.insert(session);
    session->expect_hello(limits.hello_timeout);
    session->accept();
  }

  void on_message(peer_session& session, wire::message body) {
    if (auto* hello = std::get_if<wire::hello>(&body)) {
      on_hello(session, std::move(*hello));
      return;
    }
    if (!session.peer) {
      session.close({base::error_code::protocol, "await hello", session.address,
                     "received another message before the hello"});
      return;
    }
    const std::string node = session.peer->node;
    hooks.on_message(node, std::move(body));
  }

  /// Identifies the peer. Messages to it are sent on this connection from now on, since
  /// the peer may no longer respond on an older one.
  void on_hello(peer_session& session, wire::hello hello) {
    session.hello_received = true;
    session.channel = hello.channel;
    const key name{hello.node, hello.channel};
    session.peer = std::move(hello);
    current_sessions[name] = session.shared_from_this();
  }

  std::shared_ptr<peer_session> open_session(const key& name,
                                             const std::string& address) {
    const auto endpoint = to_endpoint(address);
    if (!endpoint) {
      hooks.on_error(endpoint.error());
      return nullptr;
    }
    auto session = std::make_shared<peer_session>(tcp::socket(io), make_hooks());
    session->address = address;
    session->channel = name.second;
    session->peer = wire::hello{name.first, "", "", "", address, name.second};
    sessions.insert(session);
    current_sessions[name] = session;
    wire::hello own = self;
    own.channel = name.second;
    session->send(std::move(own));
    session->connect(endpoint.value(), limits.connect_timeout);
    return session;
  }

  void count(const peer_session& session, peer_traffic& traffic) const {
    const bool control = session.channel == wire::channel::control;
    (control ? traffic.control_sent : traffic.data_sent) += session.sent_bytes();
    (control ? traffic.control_received : traffic.data_received) +=
        session.received_bytes();
  }

  void on_closed(peer_session& session, const base::error& reason,
                 std::vector<wire::message> unsent) {
    const auto closed_session = session.shared_from_this();
    count(session, closed_traffic);
    sessions.erase(closed_session);
    if (!session.peer) {
      hooks.on_error(reason);
      return;
    }
    const key name{session.peer->node, session.channel};
    const auto current = current_sessions.find(name);
    if (current != current_sessions.end() && current->second == closed_session) {
      current_sessions.erase(current);
    }
    for (wire::message& body : unsent) {
      if (!std::holds_alternative<wire::hello>(body)) {
        hooks.on_undeliverable(name.first, std::move(body));
      }
    }
    if (name.second == wire::channel::data) {
      hooks.on_lost(name.first);
    }
  }
};

peer_transport::peer_transport(asio::io_context& io, wire::hello self, peer_hooks hooks,
                               peer_limits limits)
    : state_(std::make_shared<state>(io, std::move(self), std::move(hooks), limits)) {}

peer_transport::~peer_transport() {
  close();
}

base::result<std::string> peer_transport::listen(const std::string& address) {
  const auto endpoint = to_endpoint(address);
  if (!endpoint) {
    return endpoint.error();
  }
  asio::error_code failure;
  tcp::acceptor& acceptor = state_->acceptor;
  acceptor.open(endpoint.value().protocol(), failure);
  if (!failure) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
  }
  if (!failure) {
    acceptor.bind(endpoint.value(), failure);
  }
  if (!failure) {
    acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return base::error{base::error_code::unavailable, "listen", address,
                       failure.message()};
  }
  state_->self.address = to_text(acceptor.local_endpoint());
  state_->accept_next();
  return state_->self.address;
}

void peer_transport::send(const std::string& node, wire::channel channel,
                          const std::string& address, wire::message body) {
  const state::key name{node, channel};
  const auto open = state_->current_sessions.find(name);
  std::shared_ptr<peer_session> session;
  if (open != state_->current_sessions.end()) {
    session = open->second;
  } else if (!address.empty()) {
    session = state_->open_session(name, address);
  }
  const bool full =
      session && session->queued_bytes() > state_->limits.max_queued_bytes;
  if (!session || full) {
    state_->hooks.on_undeliverable(node, std::move(body));
    return;
  }
  session->send(std::move(body));
}

void peer_transport::connect(const std::string& node, wire::channel channel,
                             const std::string& address) {
  const state::key name{node, channel};
  if (!state_->current_sessions.contains(name)) {
    state_->open_session(name, address);
  }
}

void peer_transport::reset(const std::string& node, wire::channel channel) {
  std::vector<std::shared_ptr<peer_session>> closing;
  for (const auto& session : state_->sessions) {
    if (session->peer && session->peer->node == node && session->channel == channel) {
      closing.push_back(session);
    }
  }
  for (const auto& session : closing) {
    session->discard_unsent();
    session->close({base::error_code::timeout, "await reply", node, "reset"});
  }
}

void peer_transport::close() {
  state_->closed = true;
  asio::error_code ignored;
  state_->acceptor.close(ignored);
  const auto closing = std::move(state_->sessions);
  state_->sessions.clear();
  state_->current_sessions.clear();
  for (const auto& session : closing) {
    session->close_silently();
  }
}

peer_traffic peer_transport::traffic() const {
  peer_traffic total = state_->closed_traffic;
  for (const auto& session : state_->sessions) {
    state_->count(*session, total);
  }
  return total;
}

}  // namespace ibis::runtime
