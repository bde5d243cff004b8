/// A leaf leaves while the store turns one node away. The leaf says in each answer that
/// it leaves. See claim.txt.
#include "rig.h"

using namespace rig;

namespace {

constexpr int deadline_ms = 2000;
constexpr double drain_ms = 3000;
/// How long the store turns the node away.
constexpr double store_away_ms = 9000;
/// When the leaf reports that it drains, after the store began to turn the node away.
constexpr double drain_after_ms = 500;
/// How long the leaf serves after the store has accepted its report.
constexpr double serve_on_ms = 8000;
constexpr double work_ms = 60;
constexpr double send_period_ms = 50;  ///< Of each client.
constexpr int clients_of_node = 6;
/// Leafs of another service, so that the one that leaves is an eighth of all.
constexpr int other_leafs = 6;
constexpr const char* leaving_id = "leaf-1";

struct run_state {
  std::mutex mutex;
  std::map<std::string, double> sent_at;      ///< By request id.
  std::map<std::string, std::string> run_by;  ///< By request id.
  std::map<std::string, int> statuses;        ///< By request id; 0: none.
  double notice_passed_on_at = 0;  ///< When a client first got the leaf's notice.
  std::atomic<bool> leaves{false};
  std::atomic<bool> gone{false};
  std::mutex peers_mutex;
  std::vector<connection_ptr> peers;  ///< Of the leaf that leaves.
};

void serve_leaf(const std::string& id, const connection_ptr& peer, run_state& state) {
  const bool may_leave = id == leaving_id;
  if (may_leave) {
    const std::lock_guard lock(state.peers_mutex);
    state.peers.push_back(peer);
  }
  while (const auto request = peer->read(1e12)) {
    const std::string request_id = request->field("X-Request-Id");
    if (request->field("X-Expect-Instance") != id) {
      peer->send(response(421, "X-Request-Id: " + request_id + "\r\n", ""));
      continue;
    }
    {
      const std::lock_guard lock(state.mutex);
      state.run_by[request_id] = id;
      record().add(id, " runs ", request_id);
    }
    sleep_ms(work_ms);
    if (may_leave && state.gone) {
      return;
    }
    const bool leaves = may_leave && state.leaves;
    peer->send(response(
        200,
        "X-Request-Id: " + request_id + "\r\nX-Server-Stamp: " + id + "." + request_id +
            "\r\n" + (leaves ? "Server-Leaving: 1\r\nConnection: close\r\n" : ""),
        "done"));
    if (leaves) {
      return;
    }
  }
}

void send_requests(int port, int client, double until, run_state& state) {
  connection_ptr peer;
  for (int i = 0; now_ms() < until; ++i) {
    const std::string id = "c" + std::to_string(client) + "-" + std::to_string(i);
    const double sent = now_ms();
    if (!peer) {
      peer = connect_to(port);
    }
    {
      const std::lock_guard lock(state.mutex);
      state.sent_at[id] = sent;
    }
    peer->send(make_request("POST", "/book/entry", id, deadline_ms, "entry"));
    const auto answer = peer->read(sent + deadline_ms + 500);
    {
      const std::lock_guard lock(state.mutex);
      state.statuses[id] = answer ? answer->status() : 0;
      const bool notice = answer && !answer->field("Server-Leaving").empty();
      record().add("client gets ", state.statuses[id], " for ", id,
                   notice ? ", with Server-Leaving" : "");
      if (notice && state.notice_passed_on_at == 0) {
        state.notice_passed_on_at = now_ms();
      }
    }
    if (!answer || strcasecmp(answer->field("Connection").c_str(), "close") == 0) {
      peer.reset();
    }
    sleep_until_ms(sent + send_period_ms);
  }
}

}  // namespace

int main(int, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  folder files;
  run_state state;
  store platform;
  std::vector<std::unique_ptr<server>> leafs;
  for (const std::string id : {"leaf-1", "leaf-2"}) {
    leafs.push_back(std::make_unique<server>(
        [id, &state](const connection_ptr& peer) { serve_leaf(id, peer, state); }));
    platform.put("servers", id, make_leaf_record("desk", leafs.back()->address(), 8));
  }
  for (int i = 1; i <= other_leafs; ++i) {
    const std::string id = "archive-" + std::to_string(i);
    leafs.push_back(std::make_unique<server>(
        [id, &state](const connection_ptr& peer) { serve_leaf(id, peer, state); }));
    platform.put("servers", id,
                 make_leaf_record("archive", leafs.back()->address(), 8));
  }
  const json routes =
      json::array({make_route("book", "desk", "non_idempotent", deadline_ms, 1),
                   make_route("look", "archive", "safe", deadline_ms, 2)});
  platform.put("config", "main", make_configuration(routes, {"desk", "archive"}));
  // The store serves front-2 and front-3 throughout, and turns front-1 away.
  store::entrance& turned_away = platform.add_entrance();
  store::entrance& served = platform.add_entrance();
  node front(files, "front-1", turned_away.listener->address());
  node second(files, "front-2", served.listener->address());
  node third(files, "front-3", served.listener->address());
  const std::vector<node*> nodes{&front, &second, &third};
  for (node* process : nodes) {
    process->start();
  }
  for (node* process : nodes) {
    process->await_ready();
  }
  sleep_ms(4500);

  const double away_at = now_ms() + 1000;
  const double drain_at = away_at + drain_after_ms;
  const double gone_at = drain_at + serve_on_ms;
  std::vector<std::thread> clients;
  for (int i = 0; i < clients_of_node; ++i) {
    clients.emplace_back(send_requests, front.clients, i, gone_at + 1000,
                         std::ref(state));
  }
  sleep_until_ms(away_at);
  if (with_trouble()) {
    turned_away.silent = true;
    record().add("the store turns front-1 away");
  }
  sleep_until_ms(drain_at);
  state.leaves = true;
  platform.put("servers", leaving_id,
               make_leaf_record("desk", leafs[0]->address(), 8, "draining"));
  record().add("the store has accepted that ", leaving_id, " drains");
  sleep_until_ms(std::min(gone_at, away_at + store_away_ms));
  platform.remove("servers", leaving_id);
  state.gone = true;
  leafs[0]->stop();
  {
    const std::lock_guard lock(state.peers_mutex);
    for (const connection_ptr& peer : state.peers) {
      shutdown(peer->fd(), SHUT_RDWR);
    }
  }
  record().add(leaving_id, " has ended");
  sleep_until_ms(away_at + store_away_ms);
  turned_away.silent = false;
  record().add("the store serves front-1 again");
  for (std::thread& client : clients) {
    client.join();
  }

  const std::lock_guard lock(state.mutex);
  int late = 0;
  int lost = 0;
  for (const auto& [id, leaf] : state.run_by) {
    const bool is_late = leaf == leaving_id && state.notice_passed_on_at > 0 &&
                         state.sent_at[id] > state.notice_passed_on_at + drain_ms;
    if (!is_late) {
      continue;
    }
    ++late;
    const bool was_lost = state.statuses[id] != 200;
    lost += was_lost;
    record().add("LATE: ", id, " was sent ",
                 state.sent_at[id] - state.notice_passed_on_at,
                 " ms after the notice was passed on", was_lost ? "; it was lost" : "");
  }
  if (state.notice_passed_on_at == 0 && with_trouble()) {
    finish(nodes, files, argv[1], exit_not_run, "no answer had the notice");
  }
  finish(
      nodes, files, argv[1], late > 0 ? exit_broken : exit_held,
      to_text(late) + " of " + to_text(state.sent_at.size()) +
          " requests reached the leaf over " + to_text(drain_ms) +
          " ms after the node had passed on that it leaves; the end of the leaf cut " +
          to_text(lost) + " of these off");
}
