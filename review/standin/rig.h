/// Stand-ins of clients, leafs and the platform's store for the review's cases, and the
/// start and end of `ibis_node` processes. Everything listens on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <strings.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using nlohmann::json;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

// Time and record ---------------------------------------------------------------------

inline double now_ms() {
  using clock = std::chrono::steady_clock;
  static const clock::time_point start = clock::now();
  return std::chrono::duration<double, std::milli>(clock::now() - start).count();
}

inline void sleep_ms(double time) {
  if (time > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(time));
  }
}

inline void sleep_until_ms(double time) {
  sleep_ms(time - now_ms());
}

/// @return A number as text, rounded to a whole one.
template <typename Number>
std::string to_text(const Number& value) {
  return std::to_string(static_cast<long long>(value));
}

/// The lines of record.txt, written at the end of the case.
class recorder {
 public:
  template <typename... Parts>
  void add(const Parts&... parts) {
    std::string line;
    (append(line, parts), ...);
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%10.1f ms  ", now_ms());
    lines_.push_back(time + line);
  }

  void write(const std::string& file) {
    const std::lock_guard lock(mutex_);
    std::ofstream out(file);
    for (const std::string& line : lines_) {
      out << line << '\n';
    }
  }

 private:
  static void append(std::string& line, const std::string& part) { line += part; }
  static void append(std::string& line, const char* part) { line += part; }
  template <typename Number>
  static void append(std::string& line, const Number& part) {
    line += to_text(part);
  }

  std::mutex mutex_;
  std::vector<std::string> lines_;
};

inline recorder& record() {
  static recorder value;
  return value;
}

// Sockets -----------------------------------------------------------------------------

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int bound_port(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline int open_listener() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 512) != 0) {
    std::perror("listen");
    std::_Exit(exit_not_run);
  }
  return fd;
}

/// @return A port that is free at the moment, below those that the system gives to
/// outgoing connections.
inline int free_port() {
  static std::mt19937 random(std::random_device{}());
  static std::set<int> used;
  std::uniform_int_distribution<int> ports(10240, 32000);
  for (;;) {
    const int port = ports(random);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(port);
    const bool free =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (free && used.insert(port).second) {
      return port;
    }
  }
}

inline std::string address_of(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

/// An HTTP/1.1 message.
struct message {
  std::string first;  ///< Request line or status line.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string field(const char* name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name) == 0) {
        return value;
      }
    }
    return "";
  }
  std::string word(std::size_t index) const {
    std::size_t at = 0;
    for (; index > 0; --index) {
      at = first.find(' ', at) + 1;
    }
    return first.substr(at, first.find(' ', at) - at);
  }
  int status() const { return std::atoi(word(1).c_str()); }
};

/// One TCP connection with blocking calls. Closes the socket at the end.
class connection {
 public:
  explicit connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection() { end(); }

  int fd() const { return fd_; }
  void end() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }
  /// Closes the connection with a reset.
  void reset() {
    const linger option{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    end();
  }
  bool send(const std::string& bytes) {
    const std::lock_guard lock(write_mutex_);
    std::size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t size =
          ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(size);
    }
    return true;
  }
  /// Reads more bytes.
  /// @return False at the end of the connection or after the time.
  bool fill(double deadline, std::size_t most = 65536) {
    pollfd entry{fd_, POLLIN, 0};
    const double left = deadline - now_ms();
    if (left <= 0 || poll(&entry, 1, static_cast<int>(left) + 1) != 1) {
      timed_out = true;
      return false;
    }
    std::string chunk(most, '\0');
    const ssize_t size = recv(fd_, chunk.data(), chunk.size(), 0);
    if (size <= 0) {
      return false;
    }
    input.append(chunk, 0, static_cast<std::size_t>(size));
    return true;
  }
  /// Reads a message that has a length or no body.
  std::optional<message> read(double deadline) {
    std::size_t end_of_head = 0;
    while ((end_of_head = input.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(deadline)) {
        return std::nullopt;
      }
    }
    message value = parse_head(input.substr(0, end_of_head));
    input.erase(0, end_of_head + 4);
    const std::size_t length =
        std::strtoul(value.field("Content-Length").c_str(), nullptr, 10);
    while (input.size() < length) {
      if (!fill(deadline)) {
        return std::nullopt;
      }
    }
    value.body = input.substr(0, length);
    input.erase(0, length);
    return value;
  }

  static message parse_head(const std::string& head) {
    message value;
    std::size_t at = head.find("\r\n");
    value.first = head.substr(0, at);
    while (at != std::string::npos) {
      const std::size_t start = at + 2;
      at = head.find("\r\n", start);
      const std::string line = head.substr(start, at - start);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        const std::size_t first = line.find_first_not_of(' ', colon + 1);
        value.fields.emplace_back(line.substr(0, colon),
                                  first == std::string::npos ? "" : line.substr(first));
      }
    }
    return value;
  }

  std::string input;
  bool timed_out = false;

 private:
  int fd_;
  std::mutex write_mutex_;
};

using connection_ptr = std::shared_ptr<connection>;

/// Connects to a loopback port.
/// @param prepare Sets socket options before the connection is made.
inline connection_ptr connect_to(int port,
                                 const std::function<void(int)>& prepare = nullptr) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (prepare) {
    prepare(fd);
  }
  sockaddr_in address = loopback(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_shared<connection>(fd);
}

/// Accepts connections and serves each in a thread of its own.
class server {
 public:
  using handler = std::function<void(const connection_ptr&)>;

  explicit server(handler serve) : fd_(open_listener()), port_(bound_port(fd_)) {
    std::thread([fd = fd_, serve] {
      for (;;) {
        const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
          return;
        }
        std::thread([serve, accepted] {
          serve(std::make_shared<connection>(accepted));
        }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  std::string address() const { return address_of(port_); }
  /// Stops accepting: further connections are refused.
  void stop() { shutdown(fd_, SHUT_RDWR), close(fd_); }

 private:
  int fd_;
  int port_;
};

inline std::string response(int status, const std::string& fields,
                            const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's store ----------------------------------------------------------------

/// An object store with listings and watches. Each node is given an entrance (an
/// address) of its own, so that the store can turn one node away and serve the others.
class store {
 public:
  /// An entrance: an address, and whether it leaves calls unanswered.
  struct entrance {
    std::unique_ptr<server> listener;
    std::atomic<bool> silent{false};
  };

  entrance& add_entrance() {
    entrances_.push_back(std::make_unique<entrance>());
    entrance& added = *entrances_.back();
    added.listener = std::make_unique<server>(
        [this, &added](const connection_ptr& peer) { serve(peer, added); });
    return added;
  }

  /// Sets how a listing is split into pages, and how old a page may be that a caller
  /// allows to be stale.
  /// @param stale_by The age of the data of each page after the first.
  void set_pages(std::size_t size, double stale_by) {
    const std::lock_guard lock(mutex_);
    page_size_ = size;
    stale_by_ms_ = stale_by;
  }
  void put(const std::string& kind, const std::string& name, const json& spec) {
    const std::lock_guard lock(mutex_);
    put_locked(kind, name, spec);
  }
  /// Writes an object whose spec is a string of any bytes. In the store's answers they
  /// stand as they were written.
  void put_raw(const std::string& kind, const std::string& name,
               const std::string& bytes) {
    const std::lock_guard lock(mutex_);
    raw_values_[raw_mark + name] = bytes;
    put_locked(kind, name, raw_mark + name + '#' + std::to_string(revision_));
  }
  void remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    remove_locked(kind, name);
  }

 private:
  struct change {
    std::uint64_t revision;
    std::string kind;
    json event;
  };

  void put_locked(const std::string& kind, const std::string& name, const json& spec) {
    auto& objects = objects_[kind];
    const auto found = objects.find(name);
    if (found != objects.end() && found->second["spec"] == spec) {
      return;
    }
    ++revision_;
    const json created =
        found == objects.end() ? json(revision_) : found->second["meta"]["createRev"];
    objects[name] = {{"meta",
                      {{"name", name},
                       {"revision", revision_},
                       {"createRev", created},
                       {"finalizers", json::array()},
                       {"deleting", false}}},
                     {"spec", spec},
                     {"status", nullptr}};
    changes_.push_back(
        {revision_, kind, {{"object", objects[name]}, {"deleted", false}}});
    on_change(kind);
  }
  bool remove_locked(const std::string& kind, const std::string& name) {
    auto& objects = objects_[kind];
    const auto found = objects.find(name);
    if (found == objects.end()) {
      return false;
    }
    ++revision_;
    changes_.push_back(
        {revision_, kind, {{"object", found->second}, {"deleted", true}}});
    objects.erase(found);
    on_change(kind);
    return true;
  }
  void on_change(const std::string& kind) {
    copies_.push_back({now_ms(), revision_, kind, objects_[kind]});
    changed_.notify_all();
  }

  using object_map = std::map<std::string, json>;
  /// The objects of a kind after a change.
  struct copy {
    double at;
    std::uint64_t revision;
    std::string kind;
    object_map objects;
  };

  /// @return A page of a kind's objects, from a copy that is as old as allowed.
  std::string list(const std::string& kind, const std::string& after,
                   bool allow_stale) {
    object_map objects = objects_[kind];
    std::uint64_t revision = revision_;
    if (allow_stale && !after.empty() && stale_by_ms_ > 0) {
      const double as_of = now_ms() - stale_by_ms_;
      for (const copy& old : copies_) {
        if (old.at <= as_of) {
          revision = old.revision;
          objects = old.kind == kind ? old.objects : objects;
        }
      }
      record().add("store: page of ", kind, " after ", after, " as of revision ",
                   revision, ", while the store is at ", revision_);
    }
    json items = json::array();
    auto next = objects.upper_bound(after);
    for (; next != objects.end() && items.size() < page_size_; ++next) {
      items.push_back(next->second);
    }
    return response(200, "",
                    json{{"items", items},
                         {"more", next != objects.end()},
                         {"storeRevision", revision}}
                        .dump());
  }

  static constexpr const char* raw_mark = "raw-value-of-";

  /// Replaces the marks of raw values by these.
  std::string insert_raw_values(const std::string& answer) {
    const std::lock_guard lock(mutex_);
    if (answer.find(raw_mark) == std::string::npos) {
      return answer;
    }
    std::string body = answer.substr(answer.find("\r\n\r\n") + 4);
    for (const auto& [mark, bytes] : raw_values_) {
      for (std::size_t at = body.find('"' + mark + '#'); at != std::string::npos;
           at = body.find('"' + mark + '#', at + bytes.size())) {
        const std::size_t end = body.find('"', at + 1);
        body.replace(at + 1, end - at - 1, bytes);
      }
    }
    return response(std::atoi(answer.substr(9, 3).c_str()), "", body);
  }

  static std::string parameter(const std::string& target, const std::string& name) {
    const std::size_t query = target.find('?');
    if (query == std::string::npos) {
      return "";
    }
    const std::string text = '&' + target.substr(query + 1) + '&';
    const std::size_t at = text.find('&' + name + '=');
    if (at == std::string::npos) {
      return "";
    }
    const std::size_t start = at + name.size() + 2;
    return text.substr(start, text.find('&', start) - start);
  }

  void serve(const connection_ptr& peer, entrance& from) {
    while (const auto request = peer->read(1e12)) {
      const std::string answer = execute(*request, from);
      if (from.silent || answer.empty()) {
        // This connection returns nothing further.
        while (peer->fill(1e12)) {
        }
        return;
      }
      sleep_ms(2);
      if (!peer->send(insert_raw_values(answer))) {
        return;
      }
    }
  }

  std::string execute(const message& request, entrance& from) {
    if (from.silent) {
      return "";
    }
    const std::string method = request.word(0);
    const std::string target = request.word(1);
    std::string path = target.substr(0, target.find('?'));
    const std::string root = "/v1/objects/";
    if (path.rfind(root, 0) != 0) {
      return response(404, "", "{}");
    }
    path.erase(0, root.size());
    const std::string kind = path.substr(0, path.find('/'));
    std::string name = path.size() > kind.size() ? path.substr(kind.size() + 1) : "";
    std::unique_lock lock(mutex_);
    if (method == "DELETE") {
      return response(remove_locked(kind, name) ? 200 : 404, "", "{}");
    }
    if (method == "POST" || method == "PUT") {
      const json body = json::parse(request.body);
      if (method == "POST") {
        name = body.at("meta").at("name").get<std::string>();
        if (objects_[kind].contains(name)) {
          return response(409, "", objects_[kind][name].dump());
        }
      }
      put_locked(kind, name, body.at("spec"));
      return response(200, "", objects_[kind][name].dump());
    }
    if (!name.empty()) {
      const bool found = objects_[kind].contains(name);
      return response(found ? 200 : 404, "",
                      found ? objects_[kind][name].dump() : "{}");
    }
    const std::string watch = parameter(target, "watch");
    if (!watch.empty()) {
      return wait_for_changes(lock, kind, std::stoull(watch),
                              std::stod(parameter(target, "waitMs")));
    }
    return list(kind, parameter(target, "after"),
                parameter(target, "allowStale") == "1");
  }

  std::string wait_for_changes(std::unique_lock<std::mutex>& lock,
                               const std::string& kind, std::uint64_t since,
                               double wait) {
    const double until = now_ms() + wait;
    for (;;) {
      json events = json::array();
      for (const change& entry : changes_) {
        if (entry.kind == kind && entry.revision > since) {
          events.push_back(entry.event);
        }
      }
      const double left = until - now_ms();
      if (!events.empty() || left <= 0) {
        return response(200, "",
                        json{{"events", events}, {"storeRevision", revision_}}.dump());
      }
      changed_.wait_for(lock, std::chrono::duration<double, std::milli>(left));
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, object_map> objects_;
  std::vector<change> changes_;
  std::vector<copy> copies_;
  std::map<std::string, std::string> raw_values_;  ///< By their marks.
  std::size_t page_size_ = 500;
  double stale_by_ms_ = 0;
  std::uint64_t revision_ = 1;
  std::vector<std::unique_ptr<entrance>> entrances_;
};

// Configuration -----------------------------------------------------------------------

constexpr const char* host = "rig.example";

inline json make_route(const std::string& name, const std::string& service,
                       const char* type, int timeout_ms, int max_leafs) {
  return {
      {"name", name},      {"hostname", host},         {"pathPrefix", "/" + name + "/"},
      {"routeType", type}, {"timeoutMs", timeout_ms},  {"targetLatencyMs", 500},
      {"priority", 1},     {"maxAttempts", max_leafs}, {"backend", service}};
}

inline json make_configuration(const json& routes,
                               const std::vector<std::string>& services) {
  json listed = json::array();
  for (const std::string& service : services) {
    listed.push_back(
        {{"name", service}, {"healthCheckPath", "/health"}, {"maxConnections", 96}});
  }
  return {{"configVersion", 3},
          {"routes", routes},
          {"services", listed},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 262144},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

inline json make_leaf_record(const std::string& service, const std::string& address,
                             int slots, const char* state = "ready") {
  return {{"backend", service},    {"address", address},      {"zone", "zone-a"},
          {"configVersion", "r1"}, {"maxConcurrency", slots}, {"state", state},
          {"warmupLeftMs", 0},     {"sequence", 1},           {"born", 1700000000000}};
}

// Processes ---------------------------------------------------------------------------

/// A temporary folder, removed at the end.
class folder {
 public:
  folder() {
    char name[] = "/tmp/ibis-review-XXXXXX";
    path_ = mkdtemp(name);
  }
  void remove() {
    for (const std::string& file : files_) {
      unlink(file.c_str());
    }
    rmdir(path_.c_str());
  }
  std::string file(const std::string& name) {
    files_.push_back(path_ + '/' + name);
    return files_.back();
  }

 private:
  std::string path_;
  std::vector<std::string> files_;
};

/// An `ibis_node` process, run with the command and the settings of the deploy file.
class node {
 public:
  node(folder& files, std::string name, std::string store_address,
       const std::string& zone = "zone-a", std::string program = "target/bin/ibis_node")
      : files_(files),
        name_(std::move(name)),
        program_(std::move(program)),
        clients(free_port()),
        readiness(free_port()),
        settings_(files.file(name_ + ".yaml")),
        log_(files.file(name_ + ".log")) {
    std::ofstream out(settings_);
    out << "node: \"" << name_ << "\"\navailability_zone: \"" << zone << "\"\n"
        << "first_start: true\nstore: \"" << store_address << "\"\nlisten:\n"
        << "  clients: \"" << address_of(clients) << "\"\n"
        << "  readiness: \"" << address_of(readiness) << "\"\n"
        << "  metrics: \"" << address_of(free_port()) << "\"\n"
        << "  peers: \"" << address_of(free_port()) << "\"\n"
        << "extra_requests:\n  ratio: 0.2\n  slack: 52\n  window_s: 10\n"
        << "stop:\n  grace_s: 6\n"
        << "propagation:\n  configuration_ms: 3000\n  leafs_ms: 3000\n";
  }
  /// Ends the process if it runs.
  void end() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = 0;
    }
  }

  void start() {
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // The node ends with the case.
      const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("IBISWHEEL_CONFIG", settings_.c_str(), 1);
      execl(program_.c_str(), program_.c_str(), nullptr);
      _exit(127);
    }
    record().add("started ", name_);
  }
  /// Waits until the node reports itself ready. Ends the case if it does not.
  void await_ready() {
    const double limit = now_ms() + 15000;
    while (now_ms() < limit) {
      if (is_ready()) {
        record().add(name_, " is ready");
        return;
      }
      sleep_ms(50);
    }
    std::fprintf(stderr, "%s is not ready\n%s", name_.c_str(), log_text().c_str());
    end();
    files_.remove();
    std::_Exit(exit_not_run);
  }
  bool is_ready() const {
    const auto peer = connect_to(readiness);
    if (!peer || !peer->send("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")) {
      return false;
    }
    const auto answer = peer->read(now_ms() + 1000);
    return answer && answer->status() == 200;
  }
  void signal(int number) {
    record().add("signal ", number, " to ", name_);
    kill(pid_, number);
  }
  /// @return Whether the process has ended.
  bool ended() {
    if (pid_ > 0 && waitpid(pid_, &exit_status_, WNOHANG) == pid_) {
      record().add(name_, " ended with status ", exit_status_);
      pid_ = 0;
    }
    return pid_ == 0;
  }
  std::string log_text() const {
    std::ifstream in(log_);
    return {std::istreambuf_iterator<char>(in), {}};
  }

 private:
  folder& files_;
  std::string name_;
  std::string program_;

 public:
  int clients;
  int readiness;

 private:
  std::string settings_;
  std::string log_;
  pid_t pid_ = 0;
  int exit_status_ = 0;
};

// Clients -----------------------------------------------------------------------------

inline std::string make_request(const std::string& method, const std::string& path,
                                const std::string& id, int deadline_ms,
                                const std::string& body = "") {
  std::string text = method + ' ' + path + " HTTP/1.1\r\nHost: " + host +
                     "\r\nX-Request-Id: " + id +
                     "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

/// Whether the run is with the disruption.
inline bool with_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Ends the nodes, writes the record, prints the verdict and ends this process, without
/// waiting for the threads of the stand-ins.
[[noreturn]] inline void finish(const std::vector<node*>& nodes, folder& files,
                                const std::string& file, int result,
                                const std::string& summary) {
  const char* verdicts[] = {"held", "BROKEN", "could not run"};
  record().add(verdicts[result], ": ", summary);
  record().write(file);
  std::printf("%s: %s\n", verdicts[result], summary.c_str());
  std::fflush(stdout);
  for (node* process : nodes) {
    process->end();
  }
  files.remove();
  std::_Exit(result);
}

}  // namespace rig
