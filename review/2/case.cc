/// Another writer puts an entry with unreadable bytes among those of the leafs. See
/// claim.txt.
#include "rig.h"

using namespace rig;

namespace {

constexpr int timeout_ms = 800;
constexpr int deadline_ms = 3000;
/// A request that is unanswered at its timeout has this long for its answer.
constexpr double answer_slack_ms = 500;
constexpr double stability_ms = 4000;
constexpr double send_period_ms = 50;
constexpr double work_ms = 15;
/// The size of the entry's text, below the store's limit of a value.
constexpr std::size_t entry_bytes = 1040 * 1000;
constexpr int writes = 3;
constexpr double write_period_ms = 6000;
constexpr int clients_per_node = 3;

struct sent_request {
  std::string id;
  double sent = 0;
  double answered = 0;  ///< 0: not within its deadline.
  int status = 0;
};

struct run_state {
  std::mutex mutex;
  std::vector<sent_request> requests;
  std::atomic<bool> over{false};
};

void serve_leaf(const std::string& id, const connection_ptr& peer) {
  while (const auto request = peer->read(1e12)) {
    const std::string request_id = request->field("X-Request-Id");
    sleep_ms(work_ms);
    peer->send(response(200,
                        "X-Request-Id: " + request_id + "\r\nX-Server-Stamp: " + id +
                            "." + request_id + "\r\n",
                        "done"));
  }
}

void send_requests(node& front, const std::string& name, run_state& state) {
  connection_ptr peer;
  for (int i = 0; !state.over; ++i) {
    sent_request request;
    request.id = name + "-" + std::to_string(i);
    if (!peer) {
      peer = connect_to(front.clients);
    }
    request.sent = now_ms();
    peer->send(make_request("GET", "/look/record", request.id, deadline_ms));
    const auto answer = peer->read(request.sent + deadline_ms);
    if (answer) {
      request.answered = now_ms();
      request.status = answer->status();
    }
    record().add("client gets ", request.status, " for ", request.id, " after ",
                 now_ms() - request.sent, " ms");
    if (!answer || strcasecmp(answer->field("Connection").c_str(), "close") == 0) {
      peer.reset();
    }
    {
      const std::lock_guard lock(state.mutex);
      state.requests.push_back(request);
    }
    sleep_until_ms(request.sent + send_period_ms);
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
        [id](const connection_ptr& peer) { serve_leaf(id, peer); }));
    platform.put("servers", id, make_leaf_record("desk", leafs.back()->address(), 8));
  }
  platform.put(
      "config", "main",
      make_configuration(
          json::array({make_route("look", "desk", "safe", timeout_ms, 2)}), {"desk"}));
  store::entrance& entrance = platform.add_entrance();
  std::vector<std::unique_ptr<node>> nodes;
  std::vector<node*> running;
  for (int i = 1; i <= 3; ++i) {
    nodes.push_back(std::make_unique<node>(files, "front-" + std::to_string(i),
                                           entrance.listener->address()));
    running.push_back(nodes.back().get());
    running.back()->start();
  }
  for (node* front : running) {
    front->await_ready();
  }
  sleep_ms(stability_ms + 500);

  std::vector<std::thread> clients;
  for (std::size_t i = 0; i < running.size(); ++i) {
    for (int k = 0; k < clients_per_node; ++k) {
      clients.emplace_back(send_requests, std::ref(*running[i]),
                           "n" + std::to_string(i + 1) + "c" + std::to_string(k),
                           std::ref(state));
    }
  }
  sleep_ms(2000);
  for (int i = 0; i < writes; ++i) {
    const double at = now_ms();
    if (with_trouble()) {
      platform.put_raw("servers", "odd-entry",
                       std::string(entry_bytes, static_cast<char>(0xf0 + i)));
      record().add("another writer has written ", entry_bytes,
                   " unreadable bytes into servers/odd-entry");
    }
    sleep_until_ms(at + write_period_ms);
  }
  state.over = true;
  for (std::thread& client : clients) {
    client.join();
  }

  const std::lock_guard lock(state.mutex);
  int open_at_timeout = 0;
  int open_later = 0;
  double longest = 0;
  for (const sent_request& request : state.requests) {
    const double took =
        request.answered > 0 ? request.answered - request.sent : deadline_ms;
    longest = std::max(longest, took);
    open_at_timeout += took > timeout_ms;
    open_later += took > timeout_ms + answer_slack_ms;
  }
  const bool broken = open_at_timeout >= 8 && open_later * 2 > open_at_timeout;
  finish(running, files, argv[1], broken ? exit_broken : exit_held,
         to_text(open_at_timeout) + " of " + to_text(state.requests.size()) +
             " requests were unanswered at their route's timeout of " +
             to_text(timeout_ms) + " ms, " + to_text(open_later) +
             " of them also half a second later; the longest wait was " +
             to_text(longest) + " ms");
}
