/// A node is restarted while a leaf leaves. The node's first listing of the leafs has
/// two pages, and the second one is older than the first. See claim.txt.
#include "rig.h"

using namespace rig;

namespace {

constexpr int deadline_ms = 2000;
constexpr double drain_ms = 3000;
constexpr double stability_ms = 4000;
constexpr double grace_ms = 6000;
/// Between the end of a process and its next start.
constexpr double restart_after_ms = 500;
/// How long before the node's next start the leaf's entry is removed.
constexpr double leave_before_ms = 1000;
/// How long the leaf serves after its entry was removed.
constexpr double serve_on_ms = 11000;
constexpr double work_ms = 60;
constexpr double send_period_ms = 50;
constexpr std::size_t page_size = 50;
constexpr double page_age_ms = 2500;
constexpr int other_leafs = 58;
constexpr const char* leaving_id = "z-desk-1";

struct run_state {
  std::mutex mutex;
  std::map<std::string, double> sent_at;     ///< By request id.
  std::map<std::string, double> reached_at;  ///< The leaf that leaves, by request id.
  std::map<std::string, int> statuses;       ///< By request id; 0: none.
  std::atomic<bool> gone{false};
  std::atomic<bool> over{false};
  std::mutex peers_mutex;
  std::vector<connection_ptr> peers;  ///< Of the leaf that leaves.
};

void serve_leaf(const std::string& id, const connection_ptr& peer, run_state& state) {
  const bool leaves = id == leaving_id;
  if (leaves) {
    const std::lock_guard lock(state.peers_mutex);
    state.peers.push_back(peer);
  }
  while (const auto request = peer->read(1e12)) {
    const std::string request_id = request->field("X-Request-Id");
    if (request->field("X-Expect-Instance") != id) {
      peer->send(response(421, "X-Request-Id: " + request_id + "\r\n", ""));
      continue;
    }
    if (leaves) {
      const std::lock_guard lock(state.mutex);
      state.reached_at[request_id] = now_ms();
      record().add(id, " runs ", request_id);
    }
    sleep_ms(work_ms);
    if (leaves && state.gone) {
      return;
    }
    peer->send(response(200,
                        "X-Request-Id: " + request_id + "\r\nX-Server-Stamp: " + id +
                            "." + request_id + "\r\n",
                        "done"));
  }
}

void send_requests(node& front, int client, run_state& state) {
  connection_ptr peer;
  for (int i = 0; !state.over; ++i) {
    const std::string id = "c" + std::to_string(client) + "-" + std::to_string(i);
    const double sent = now_ms();
    if (!peer) {
      peer = connect_to(front.clients);
    }
    if (peer) {
      {
        const std::lock_guard lock(state.mutex);
        state.sent_at[id] = sent;
      }
      peer->send(make_request("POST", "/book/entry", id, deadline_ms, "entry"));
      const auto answer = peer->read(sent + deadline_ms + 500);
      const std::lock_guard lock(state.mutex);
      state.statuses[id] = answer ? answer->status() : 0;
      record().add("client gets ", state.statuses[id], " for ", id);
      if (!answer || strcasecmp(answer->field("Connection").c_str(), "close") == 0) {
        peer.reset();
      }
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
  const auto add_leaf = [&](const std::string& id, const std::string& service) {
    leafs.push_back(std::make_unique<server>(
        [id, &state](const connection_ptr& peer) { serve_leaf(id, peer, state); }));
    platform.put("servers", id, make_leaf_record(service, leafs.back()->address(), 8));
    return leafs.back().get();
  };
  for (int i = 0; i < other_leafs; ++i) {
    add_leaf("a-archive-" + std::to_string(100 + i), "archive");
  }
  server* leaving = add_leaf(leaving_id, "desk");
  add_leaf("z-desk-2", "desk");
  const json routes =
      json::array({make_route("book", "desk", "non_idempotent", deadline_ms, 1),
                   make_route("look", "archive", "safe", deadline_ms, 2)});
  platform.put("config", "main", make_configuration(routes, {"desk", "archive"}));
  store::entrance& entrance = platform.add_entrance();
  node front(files, "front-1", entrance.listener->address());
  node second(files, "front-2", entrance.listener->address());
  const std::vector<node*> nodes{&front, &second};
  for (node* process : nodes) {
    process->start();
  }
  for (node* process : nodes) {
    process->await_ready();
  }
  sleep_ms(4500);
  platform.set_pages(page_size, page_age_ms);

  std::vector<std::thread> clients;
  for (int i = 0; i < 3; ++i) {
    clients.emplace_back(send_requests, std::ref(front), i, std::ref(state));
  }
  sleep_ms(1000);
  const double stop_at = now_ms();
  double start_at = stop_at + grace_ms;
  if (with_trouble()) {
    front.signal(SIGTERM);
    while (!front.ended() && now_ms() < stop_at + grace_ms) {
      sleep_ms(5);
    }
    start_at = now_ms() + restart_after_ms + leave_before_ms;
  }
  sleep_until_ms(start_at - leave_before_ms);
  const double removed_at = now_ms();
  platform.remove("servers", leaving_id);
  record().add("the entry of ", leaving_id, " is removed");
  sleep_until_ms(start_at);
  if (with_trouble()) {
    front.start();
  }
  sleep_until_ms(removed_at + serve_on_ms);
  state.gone = true;
  leaving->stop();
  {
    const std::lock_guard lock(state.peers_mutex);
    for (const connection_ptr& peer : state.peers) {
      shutdown(peer->fd(), SHUT_RDWR);
    }
  }
  record().add(leaving_id, " has ended");
  sleep_ms(1500);
  state.over = true;
  for (std::thread& client : clients) {
    client.join();
  }

  const std::lock_guard lock(state.mutex);
  int late = 0;
  int lost = 0;
  for (const auto& [id, at] : state.reached_at) {
    const bool in_touch =
        !with_trouble() || state.sent_at[id] > start_at + stability_ms;
    if (!in_touch || at <= removed_at + drain_ms) {
      continue;
    }
    ++late;
    const bool was_lost = state.statuses[id] != 200;
    lost += was_lost;
    record().add("LATE: ", id, " reached ", leaving_id, " ", at - removed_at,
                 " ms after its entry was removed", was_lost ? "; it was lost" : "");
  }
  finish(nodes, files, argv[1], late > 0 ? exit_broken : exit_held,
         to_text(late) + " of " + to_text(state.sent_at.size()) +
             " requests reached the leaf more than " + to_text(drain_ms) +
             " ms after its entry was removed, from a machine in touch; its end cut " +
             to_text(lost) + " of these off");
}
