/// Small stand-ins for the platform's store, for leafs and for clients, and processes
/// of `ibis_node`. All addresses are loopback addresses, and all times are real time.
#pragma once

#include <sys/types.h>         // for pid_t
#include <chrono>              // for steady_clock
#include <condition_variable>  // for condition_variable
#include <cstdint>             // for uint64_t
#include <deque>               // for deque
#include <functional>          // for function
#include <map>                 // for map
#include <memory>              // for shared_ptr
#include <mutex>               // for mutex
#include <nlohmann/json.hpp>   // for json
#include <set>                 // for set
#include <string>              // for string
#include <thread>              // for thread
#include <vector>              // for vector

namespace world {

using nlohmann::json;

/// Milliseconds since the start of the case.
double now_ms();
void sleep_ms(double ms);

/// Appends a line with its time to the case's record.
void open_record(const std::string& path);
void note(const std::string& line);

struct message {
  std::string start_line;
  std::map<std::string, std::string> fields;  ///< Names in lower case.
  std::string body;
  [[nodiscard]] std::string field(const std::string& name) const;
};

/// Reads one HTTP message with a body of a stated length.
/// @param left Bytes that were read before, and those that are left over.
/// @return False if the connection ended or nothing came within the limit.
bool read_message(int socket, std::string& left, message& out, int limit_ms);
bool write_all(int socket, const std::string& bytes);

/// Listens on a free port; each connection has a thread.
class server {
 public:
  using handler = std::function<void(int socket)>;
  explicit server(handler serve);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  [[nodiscard]] std::string address() const;
  /// Ends all open connections.
  void reset_connections();
  /// Closes the port, so that connections are refused, or opens it again.
  void close_port();
  void open_port();
  void stop();

 private:
  void accept_loop(int listener);
  void listen_on(std::uint16_t port);

  handler serve_;
  std::mutex mutex_;
  std::set<int> sockets_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::thread acceptor_;
  bool stopped_ = false;
};

/// The platform's store of objects. It answers a watch from a revision that it does not
/// have with 410.
class store {
 public:
  store();
  [[nodiscard]] std::string address() const { return server_.address(); }
  /// Writes an object as the operator or a leaf does.
  /// @return The revision; nothing is changed if the object is the same.
  std::uint64_t put(const std::string& kind, const std::string& name, const json& spec);
  void remove(const std::string& kind, const std::string& name);
  /// Writes an entry, as another writer does, whose name is bytes that can't be read.
  void put_unreadable(const std::string& kind, const std::string& name);
  /// The most entries that a page of a listing holds.
  void set_page_size(std::size_t entries) { page_size_ = entries; }
  [[nodiscard]] bool holds(const std::string& kind, const std::string& name,
                           const json& spec);
  [[nodiscard]] std::uint64_t revision();
  /// Whether it answers now.
  [[nodiscard]] bool is_back();

  /// A drill: the store is away for a moment and comes back from a copy. Connections
  /// end as it goes. While it is away, new ones wait, or are refused.
  void restore_copy(double age_ms, double away_ms, bool refuse);
  void stop();

 private:
  struct change {
    std::uint64_t revision = 0;
    std::string kind;
    json event;
  };
  using tables = std::map<std::string, std::map<std::string, json>>;
  struct copy {
    double at = 0;
    std::uint64_t revision = 0;
    tables objects;
  };

  void serve(int socket);
  std::string answer(const message& request);
  std::string list(const std::string& kind,
                   const std::map<std::string, std::string>& query);
  std::string watch(const std::string& kind,
                    const std::map<std::string, std::string>& query);
  std::string write(const message& request, const std::string& method,
                    const std::string& kind, std::string name);
  void record(const std::string& kind, const json& object, bool deleted);
  [[nodiscard]] std::string with_raw_names(std::string text) const;
  std::uint64_t put_locked(const std::string& kind, const std::string& name,
                           const json& spec);
  void remove_locked(const std::string& kind, const std::string& name);
  std::string reply(unsigned status, const json& body) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  tables objects_;
  std::deque<change> history_;
  std::deque<copy> copies_;
  /// Names that are no UTF-8, by what stands for them in `objects_`.
  std::map<std::string, std::string> unreadable_;
  std::size_t page_size_ = 500;
  std::uint64_t revision_ = 100;
  std::uint64_t era_ = 1;
  bool away_ = false;
  bool stopped_ = false;
  server server_;
};

struct leaf_options {
  std::string id;
  std::string service;
  std::string zone;
  double work_ms = 5;
  double cold_ms = 0;  ///< How long it says that it is slow after its start.
  std::size_t body_bytes = 64;
};

/// A sound leaf: it registers, renews its entry at each heartbeat, and serves.
class leaf {
 public:
  leaf(store& platform, leaf_options options);
  ~leaf();
  void set_draining();
  /// Ends it and removes its entry.
  void end();
  [[nodiscard]] const leaf_options& options() const { return options_; }
  /// When the store accepted that it drains.
  [[nodiscard]] double draining_at() const { return draining_at_; }

 private:
  json entry();
  void beat();
  void serve(int socket);

  store& platform_;
  leaf_options options_;
  double started_at_ = now_ms();
  std::int64_t born_ = 0;
  std::uint64_t sequence_ = 0;
  std::mutex mutex_;
  json last_entry_;
  bool draining_ = false;
  double draining_at_ = 0;
  bool ended_ = false;
  server server_;
  std::thread beats_;
};

struct node_options {
  std::string name;
  std::string zone;
  std::string store_address;
  std::string folder;
  int bound_ms = 3000;         ///< `configApplyMs` and `drainMs` of the deployment.
  std::string extra_settings;  ///< Further lines of the settings file.
};

/// A process of `ibis_node`, started as the deploy file says.
class node {
 public:
  explicit node(node_options options);
  ~node();
  node(const node&) = delete;
  node& operator=(const node&) = delete;
  void start();
  void signal(int number);
  /// Ends it by SIGKILL; `start` starts it again.
  void kill();
  /// Waits until it is ready.
  bool wait_ready(double limit_ms) const;
  [[nodiscard]] bool running();
  [[nodiscard]] std::string clients() const { return clients_; }
  [[nodiscard]] std::string peers() const { return peers_; }
  [[nodiscard]] std::string name() const { return options_.name; }

 private:
  node_options options_;
  std::string clients_;
  std::string ready_;
  std::string peers_;
  pid_t pid_ = 0;
};

/// The outcome of a client's request.
struct reply {
  bool answered = false;
  unsigned status = 0;
  message answer;
  double sent_at = 0;
  double ended_at = 0;
};

/// A client that keeps its connection.
class client {
 public:
  explicit client(std::string address) : address_(std::move(address)) {}
  ~client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;
  reply ask(const std::string& method, const std::string& path, const std::string& id,
            int deadline_ms, const std::string& fields = "",
            const std::string& body = "");

 private:
  std::string address_;
  int socket_ = -1;
  std::string left_;
};

int connect_to(const std::string& address);

}  // namespace world
