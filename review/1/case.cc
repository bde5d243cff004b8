/// A leaf that is full refuses a request, and sends a late second copy of the refusal.
/// See claim.txt.
#include <cmath>

#include "rig.h"

using namespace rig;

namespace {

constexpr double run_for_ms = 35000;
/// The disruption: spans in which a leaf sends some answers twice, with pauses between.
constexpr double span_ms = 5000;
constexpr double pause_ms = 5000;
constexpr int clients = 10;
constexpr double think_ms = 30;  ///< Between a client's requests.
constexpr int deadline_ms = 3000;
constexpr int slots = 2;
constexpr int queue_length = 2;
constexpr double work_ms = 40;
/// One in this many answers of a leaf is sent twice.
constexpr int answers_per_copy = 25;
constexpr double copy_delay_ms = 6;
/// One way between a node and a leaf in another zone.
constexpr double link_delay_ms = 4;

struct request_log {
  std::map<std::string, int> runs;      ///< By request id.
  std::map<std::string, int> statuses;  ///< Of the client, by request id.
  int refusals = 0;
  std::atomic<int> copies{0};
  std::mutex mutex;
};

/// A leaf with slots and a short queue.
class busy_leaf {
 public:
  /// @param copies Whether some of its answers are sent twice.
  busy_leaf(std::string id, bool copies, request_log& log)
      : id_(std::move(id)),
        has_copies_(copies),
        log_(log),
        server_([this](const connection_ptr& peer) { serve(peer); }) {}
  std::string address() const { return server_.address(); }
  /// Starts the first span.
  void start_spans() { spans_start_ = now_ms(); }

 private:
  void serve(const connection_ptr& peer) {
    while (const auto request = peer->read(1e12)) {
      sleep_ms(link_delay_ms);
      const std::string id = request->field("X-Request-Id");
      if (request->field("X-Expect-Instance") != id_) {
        send(peer, response(421, "X-Request-Id: " + id + "\r\n", ""));
        continue;
      }
      if (!enter()) {
        refuse(peer, id);
        continue;
      }
      {
        const std::lock_guard lock(log_.mutex);
        ++log_.runs[id];
        record().add(id_, " runs ", id, " (run ", log_.runs[id], " of it)");
      }
      sleep_ms(work_ms);
      leave();
      answer(peer, response(200,
                            "X-Request-Id: " + id + "\r\nX-Server-Stamp: " + id_ + "." +
                                id + "\r\n",
                            "done " + id));
    }
  }

  void refuse(const connection_ptr& peer, const std::string& id) {
    {
      const std::lock_guard lock(log_.mutex);
      ++log_.refusals;
      record().add(id_, " refuses ", id);
    }
    answer(peer,
           response(503, "X-Request-Id: " + id + "\r\nX-Not-Executed: 1\r\n", "full"));
  }

  /// Sends an answer, whatever it is, and a late second copy of it if that is due.
  void answer(const connection_ptr& peer, const std::string& bytes) {
    send(peer, bytes);
    if (!count_answer()) {
      return;
    }
    record().add(id_, " sends its last answer once more, late: ", bytes.substr(9, 3));
    ++log_.copies;
    std::thread([peer, bytes] {
      sleep_ms(copy_delay_ms);
      send(peer, bytes);
    }).detach();
  }

  /// Counts an answer of a span.
  /// @return Whether it is sent twice: every n-th one, a refusal or not.
  bool count_answer() {
    const std::lock_guard lock(mutex_);
    const double since = now_ms() - spans_start_;
    const bool in_span = spans_start_ > 0 && since >= 0 &&
                         std::fmod(since, span_ms + pause_ms) < span_ms;
    if (!has_copies_ || !in_span) {
      return false;
    }
    return ++answers_ % answers_per_copy == 0;
  }

  static void send(const connection_ptr& peer, const std::string& bytes) {
    sleep_ms(link_delay_ms);
    peer->send(bytes);
  }

  bool enter() {
    std::unique_lock lock(mutex_);
    if (running_ >= slots && queued_ >= queue_length) {
      return false;
    }
    ++queued_;
    freed_.wait(lock, [this] { return running_ < slots; });
    --queued_;
    ++running_;
    return true;
  }
  void leave() {
    const std::lock_guard lock(mutex_);
    --running_;
    freed_.notify_one();
  }

  std::string id_;
  bool has_copies_;
  request_log& log_;
  std::mutex mutex_;
  std::condition_variable freed_;
  int running_ = 0;
  int queued_ = 0;
  int answers_ = 0;  ///< In spans.
  std::atomic<double> spans_start_{0};
  server server_;
};

/// Sends one request after the other, each with an id of its own and without retries.
void run_client(int index, int port, request_log& log) {
  connection_ptr peer;
  const double until = now_ms() + run_for_ms;
  for (int i = 0; now_ms() < until; ++i) {
    const std::string id = "c" + std::to_string(index) + "-" + std::to_string(i);
    if (!peer) {
      peer = connect_to(port);
    }
    peer->send(make_request("POST", "/book/entry", id, deadline_ms, "entry " + id));
    const auto answer = peer->read(now_ms() + deadline_ms + 500);
    {
      const std::lock_guard lock(log.mutex);
      log.statuses[id] = answer ? answer->status() : 0;
      record().add("client gets ", log.statuses[id], " for ", id);
    }
    if (!answer || strcasecmp(answer->field("Connection").c_str(), "close") == 0) {
      peer.reset();
    }
    sleep_ms(think_ms);
  }
}

}  // namespace

int main(int, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  folder files;
  request_log log;
  store platform;
  busy_leaf first("leaf-1", with_trouble(), log);
  busy_leaf second("leaf-2", false, log);
  const json routes =
      json::array({make_route("book", "desk", "non_idempotent", deadline_ms, 1)});
  platform.put("config", "main", make_configuration(routes, {"desk"}));
  platform.put("servers", "leaf-1", make_leaf_record("desk", first.address(), slots));
  platform.put("servers", "leaf-2", make_leaf_record("desk", second.address(), slots));
  // Several nodes share the leafs, so that none of them sees that a leaf is full.
  std::vector<std::unique_ptr<node>> nodes;
  std::vector<node*> running;
  for (int i = 1; i <= 3; ++i) {
    nodes.push_back(
        std::make_unique<node>(files, "front-" + std::to_string(i),
                               platform.add_entrance().listener->address()));
    nodes.back()->start();
    running.push_back(nodes.back().get());
  }
  for (node* front : running) {
    front->await_ready();
  }
  sleep_ms(4500);  // The machines are in touch.

  first.start_spans();
  std::vector<std::thread> threads;
  for (int i = 0; i < clients; ++i) {
    const int port = running[static_cast<std::size_t>(i) % running.size()]->clients;
    threads.emplace_back([i, port, &log] { run_client(i, port, log); });
  }
  for (std::thread& client : threads) {
    client.join();
  }
  sleep_ms(1000);

  const std::lock_guard lock(log.mutex);
  int twice = 0;
  int refused_and_run = 0;
  for (const auto& [id, runs] : log.runs) {
    const int status = log.statuses[id];
    if (runs > 1) {
      ++twice;
      record().add("TWICE: ", id, " ran ", runs, " times");
    }
    if (status == 429 || status == 503 || status == 408 || status == 421) {
      ++refused_and_run;
      record().add("REFUSED: ", id, " was answered ", status, " and has run");
    }
  }
  const std::string summary =
      to_text(twice) + " requests ran more than once and " + to_text(refused_and_run) +
      " were refused though they ran, of " + to_text(log.statuses.size()) + " (" +
      to_text(log.refusals) + " refusals by leafs, " + to_text(log.copies) +
      " answers sent twice)";
  finish(running, files, argv[1], twice + refused_and_run > 0 ? exit_broken : exit_held,
         summary);
}
