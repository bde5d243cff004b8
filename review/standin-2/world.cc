#include "world.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fcntl.h>
#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstring>
#include <ctime>
#include <fstream>
#include <iostream>

namespace world {
namespace {

using std::chrono::steady_clock;

const steady_clock::time_point case_start = steady_clock::now();
std::ofstream record_file;
std::mutex record_mutex;

constexpr double heartbeat_ms = 1200;

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

sockaddr_in to_sockaddr(const std::string& address) {
  sockaddr_in value{};
  value.sin_family = AF_INET;
  value.sin_port = htons(
      static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
  inet_pton(AF_INET, address.substr(0, address.find(':')).c_str(), &value.sin_addr);
  return value;
}

std::map<std::string, std::string> parse_query(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string pair = target.substr(
        at + 1, end == std::string::npos ? std::string::npos : end - at - 1);
    const std::size_t equal = pair.find('=');
    query[pair.substr(0, equal)] =
        equal == std::string::npos ? "" : pair.substr(equal + 1);
    at = end;
  }
  return query;
}

std::string percent_decode(const std::string& text) {
  std::string decoded;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      decoded += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
      at += 2;
    } else {
      decoded += text[at];
    }
  }
  return decoded;
}

/// A loopback address of this case's own, so that cases which run at the same time
/// don't take each other's ports.
const std::string& own_ip() {
  static const std::string ip = "127." + std::to_string(10 + ::getpid() % 100) + '.' +
                                std::to_string(::getpid() / 100 % 250) + ".1";
  return ip;
}

/// A port that is free now, below those that the system gives to outgoing connections.
std::uint16_t free_port() {
  constexpr int first = 12000;
  constexpr int last = 30000;
  static int next = first;
  while (next < last) {
    const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = to_sockaddr(own_ip() + ':' + std::to_string(next++));
    const bool bound =
        ::bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(probe);
    if (bound) {
      return static_cast<std::uint16_t>(next - 1);
    }
  }
  std::cerr << "no port is free\n";
  std::_Exit(2);
}

}  // namespace

double now_ms() {
  return std::chrono::duration<double, std::milli>(steady_clock::now() - case_start)
      .count();
}

void sleep_ms(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

void open_record(const std::string& path) {
  record_file.open(path, std::ios::trunc);
}

void note(const std::string& line) {
  const std::scoped_lock lock(record_mutex);
  char time[32];
  std::snprintf(time, sizeof time, "%9.1f ", now_ms());
  record_file << time << line << '\n';
}

std::string message::field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

bool write_all(int socket, const std::string& bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count =
        ::send(socket, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(count);
  }
  return true;
}

bool read_message(int socket, std::string& left, message& out, int limit_ms) {
  const double limit = now_ms() + limit_ms;
  const auto read_more = [&] {
    const double rest = limit - now_ms();
    pollfd entry{socket, POLLIN, 0};
    if (rest <= 0 || ::poll(&entry, 1, static_cast<int>(rest) + 1) <= 0) {
      return false;
    }
    char buffer[16384];
    const ssize_t count = ::recv(socket, buffer, sizeof buffer, 0);
    if (count <= 0) {
      return false;
    }
    left.append(buffer, static_cast<std::size_t>(count));
    return true;
  };
  std::size_t end = left.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!read_more()) {
      return false;
    }
    end = left.find("\r\n\r\n");
  }
  out = {};
  std::size_t at = left.find("\r\n");
  out.start_line = left.substr(0, at);
  while (at < end) {
    const std::size_t next = left.find("\r\n", at + 2);
    const std::string line = left.substr(at + 2, next - at - 2);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      out.fields[lower(line.substr(0, colon))] = value;
    }
    at = next;
  }
  const std::string length = out.field("content-length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (left.size() < end + 4 + size) {
    if (!read_more()) {
      return false;
    }
  }
  out.body = left.substr(end + 4, size);
  left.erase(0, end + 4 + size);
  return true;
}

server::server(handler serve) : serve_(std::move(serve)) {
  listen_on(0);
}

server::~server() {
  stop();
}

void server::listen_on(std::uint16_t port) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  sockaddr_in address = to_sockaddr(own_ip() + ':' + std::to_string(port));
  if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(listener_, 1024) != 0) {
    std::cerr << "cannot listen\n";
    std::_Exit(2);
  }
  socklen_t size = sizeof address;
  ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  acceptor_ = std::thread([this, listener = listener_] { accept_loop(listener); });
}

void server::accept_loop(int listener) {
  while (true) {
    const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    const int yes = 1;
    ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    {
      const std::scoped_lock lock(mutex_);
      sockets_.insert(accepted);
    }
    std::thread([this, accepted] {
      serve_(accepted);
      const std::scoped_lock lock(mutex_);
      sockets_.erase(accepted);
      ::close(accepted);
    }).detach();
  }
}

std::string server::address() const {
  return own_ip() + ':' + std::to_string(port_);
}

void server::reset_connections() {
  const std::scoped_lock lock(mutex_);
  for (const int each : sockets_) {
    ::shutdown(each, SHUT_RDWR);
  }
}

void server::close_port() {
  ::shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  ::close(listener_);
  listener_ = -1;
}

void server::open_port() {
  listen_on(port_);
}

void server::stop() {
  if (stopped_) {
    return;
  }
  stopped_ = true;
  if (listener_ >= 0) {
    close_port();
  }
  reset_connections();
}

store::store() : server_([this](int socket) { serve(socket); }) {}

void store::serve(int socket) {
  std::string left;
  message request;
  constexpr int idle_limit_ms = 120000;
  std::uint64_t era = 0;
  while (read_message(socket, left, request, idle_limit_ms)) {
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return !away_ || stopped_; });
      if (stopped_) {
        return;
      }
      era = era_;
    }
    const std::string bytes = answer(request);
    {
      const std::scoped_lock lock(mutex_);
      if (era != era_ || away_) {
        return;  // The process that had the call is gone.
      }
    }
    if (!write_all(socket, bytes)) {
      return;
    }
  }
}

std::string store::reply(unsigned status, const json& body) const {
  const std::string text = with_raw_names(body.dump());
  return "HTTP/1.1 " + std::to_string(status) +
         " .\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(era_) +
         "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

std::string store::with_raw_names(std::string text) const {
  for (const auto& [placeholder, name] : unreadable_) {
    for (std::size_t at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder, at)) {
      text.replace(at, placeholder.size(), name);
    }
  }
  return text;
}

void store::put_unreadable(const std::string& kind, const std::string& name) {
  const std::scoped_lock lock(mutex_);
  const std::string placeholder =
      "@unreadable-" + std::to_string(unreadable_.size()) + "@";
  unreadable_[placeholder] = name;
  put_locked(kind, name, json::object());
  // The text of an answer can't be made with bytes that are no UTF-8.
  objects_[kind][name]["meta"]["name"] = placeholder;
  history_.back().event["object"]["meta"]["name"] = placeholder;
  copies_.back().objects = objects_;
}

std::string store::answer(const message& request) {
  const std::size_t space = request.start_line.find(' ');
  const std::string method = request.start_line.substr(0, space);
  const std::string target =
      request.start_line.substr(space + 1, request.start_line.rfind(' ') - space - 1);
  const auto query = parse_query(target);
  const std::string path = target.substr(0, target.find('?'));
  const std::string prefix = "/v1/objects/";
  if (path.rfind(prefix, 0) != 0) {
    const std::scoped_lock lock(mutex_);
    return reply(404, json::object());
  }
  const std::string rest = path.substr(prefix.size());
  const std::string kind = rest.substr(0, rest.find('/'));
  const std::string name =
      rest.find('/') == std::string::npos ? "" : rest.substr(rest.find('/') + 1);
  if (method != "GET") {
    return write(request, method, kind, name);
  }
  if (!name.empty()) {
    const std::scoped_lock lock(mutex_);
    const auto found = objects_[kind].find(name);
    return found == objects_[kind].end() ? reply(404, json::object())
                                         : reply(200, found->second);
  }
  return query.contains("watch") ? watch(kind, query) : list(kind, query);
}

std::string store::list(const std::string& kind,
                        const std::map<std::string, std::string>& query) {
  const std::scoped_lock lock(mutex_);
  json items = json::array();
  bool more = false;
  const auto after = query.find("after");
  for (const auto& [name, object] : objects_[kind]) {
    if (after != query.end() && name <= percent_decode(after->second)) {
      continue;
    }
    if (items.size() == page_size_) {
      more = true;
      break;
    }
    items.push_back(object);
  }
  return reply(200, {{"items", items}, {"more", more}, {"storeRevision", revision_}});
}

std::string store::watch(const std::string& kind,
                         const std::map<std::string, std::string>& query) {
  const std::uint64_t after = std::stoull(query.at("watch"));
  const auto wait = query.find("waitMs");
  const double limit = now_ms() + (wait == query.end() ? 0 : std::stod(wait->second));
  std::unique_lock lock(mutex_);
  if (after > revision_) {
    return reply(410, {{"storeRevision", revision_}});
  }
  const std::uint64_t era = era_;
  while (true) {
    json events = json::array();
    for (const change& entry : history_) {
      if (entry.kind == kind && entry.revision > after) {
        events.push_back(entry.event);
      }
    }
    const double rest = limit - now_ms();
    if (!events.empty() || rest <= 0 || era != era_ || away_ || stopped_) {
      return reply(200, {{"events", events}, {"storeRevision", revision_}});
    }
    changed_.wait_for(lock, std::chrono::duration<double, std::milli>(rest));
  }
}

std::string store::write(const message& request, const std::string& method,
                         const std::string& kind, std::string name) {
  const std::scoped_lock lock(mutex_);
  if (method == "DELETE") {
    const bool present = objects_[kind].contains(name);
    remove_locked(kind, name);
    return reply(present ? 200 : 404, json::object());
  }
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return reply(400, json::object());
  }
  const json meta = body.value("meta", json::object());
  if (method == "POST") {
    name = meta.value("name", std::string());
  }
  const bool exists = objects_[kind].contains(name);
  if (method == "POST" && exists) {
    return reply(409, objects_[kind][name]);
  }
  if (method == "PUT" && !exists) {
    return reply(404, json::object());
  }
  if (exists && meta.contains("revision") &&
      meta["revision"] != objects_[kind][name]["meta"]["revision"]) {
    return reply(409, objects_[kind][name]);
  }
  put_locked(kind, name, body.value("spec", json()));
  return reply(200, objects_[kind][name]);
}

std::uint64_t store::put_locked(const std::string& kind, const std::string& name,
                                const json& spec) {
  const auto found = objects_[kind].find(name);
  if (found != objects_[kind].end() && found->second["spec"] == spec) {
    return revision_;
  }
  const json created = found == objects_[kind].end()
                           ? json(revision_ + 1)
                           : found->second["meta"]["createRev"];
  objects_[kind][name] = {{"meta",
                           {{"name", name},
                            {"revision", revision_ + 1},
                            {"createRev", created},
                            {"finalizers", json::array()},
                            {"deleting", false}}},
                          {"spec", spec},
                          {"status", nullptr}};
  record(kind, objects_[kind][name], false);
  return revision_;
}

void store::remove_locked(const std::string& kind, const std::string& name) {
  const auto found = objects_[kind].find(name);
  if (found == objects_[kind].end()) {
    return;
  }
  const json object = found->second;
  objects_[kind].erase(found);
  record(kind, object, true);
}

void store::record(const std::string& kind, const json& object, bool deleted) {
  ++revision_;
  history_.push_back({revision_, kind, {{"object", object}, {"deleted", deleted}}});
  copies_.push_back({now_ms(), revision_, objects_});
  changed_.notify_all();
}

std::uint64_t store::put(const std::string& kind, const std::string& name,
                         const json& spec) {
  const std::scoped_lock lock(mutex_);
  return away_ ? 0 : put_locked(kind, name, spec);
}

void store::remove(const std::string& kind, const std::string& name) {
  const std::scoped_lock lock(mutex_);
  remove_locked(kind, name);
}

bool store::holds(const std::string& kind, const std::string& name, const json& spec) {
  const std::scoped_lock lock(mutex_);
  const auto found = objects_[kind].find(name);
  return found != objects_[kind].end() && found->second["spec"] == spec;
}

std::uint64_t store::revision() {
  const std::scoped_lock lock(mutex_);
  return revision_;
}

bool store::is_back() {
  const std::scoped_lock lock(mutex_);
  return !away_;
}

void store::restore_copy(double age_ms, double away_ms, bool refuse) {
  {
    const std::scoped_lock lock(mutex_);
    away_ = true;
    changed_.notify_all();
  }
  if (refuse) {
    server_.close_port();
  }
  server_.reset_connections();
  sleep_ms(away_ms);
  {
    const std::scoped_lock lock(mutex_);
    const double as_of = now_ms() - away_ms - age_ms;
    while (copies_.size() > 1 && copies_.back().at > as_of) {
      copies_.pop_back();
    }
    const std::uint64_t before = revision_;
    objects_ = copies_.back().objects;
    revision_ = copies_.back().revision;
    while (!history_.empty() && history_.back().revision > revision_) {
      history_.pop_back();
    }
    ++era_;
    away_ = false;
    note("store: back from a copy; revision " + std::to_string(before) + " -> " +
         std::to_string(revision_) + ", era " + std::to_string(era_));
    changed_.notify_all();
  }
  if (refuse) {
    server_.open_port();
  }
}

void store::stop() {
  {
    const std::scoped_lock lock(mutex_);
    stopped_ = true;
    changed_.notify_all();
  }
  server_.stop();
}

leaf::leaf(store& platform, leaf_options options)
    : platform_(platform),
      options_(std::move(options)),
      born_(static_cast<std::int64_t>(std::time(nullptr)) * 1000),
      server_([this](int socket) { serve(socket); }) {
  beat();
  beats_ = std::thread([this] {
    while (true) {
      for (int i = 0; i < 24; ++i) {
        sleep_ms(heartbeat_ms / 24);
        const std::scoped_lock lock(mutex_);
        if (ended_) {
          return;
        }
      }
      beat();
    }
  });
}

leaf::~leaf() {
  {
    const std::scoped_lock lock(mutex_);
    ended_ = true;
  }
  beats_.join();
  server_.stop();
}

/// The entry without the sequence, whose change alone changes nothing.
json leaf::entry() {
  const double cold = std::max(0.0, options_.cold_ms - (now_ms() - started_at_));
  return {{"backend", options_.service},
          {"address", server_.address()},
          {"zone", options_.zone},
          {"configVersion", "v1"},
          {"maxConcurrency", 2},
          {"state", draining_ ? "draining" : "ready"},
          {"warmupLeftMs", static_cast<std::int64_t>(cold)},
          {"sequence", 1},
          {"born", born_}};
}

void leaf::beat() {
  const std::scoped_lock lock(mutex_);
  if (ended_) {
    return;
  }
  const json value = entry();
  if (!platform_.holds("servers", options_.id, value)) {
    const std::uint64_t revision = platform_.put("servers", options_.id, value);
    note("leaf " + options_.id + " writes " + value["state"].get<std::string>() + " " +
         std::to_string(value["warmupLeftMs"].get<int>()) + ", revision " +
         std::to_string(revision));
  }
}

void leaf::set_draining() {
  {
    const std::scoped_lock lock(mutex_);
    draining_ = true;
  }
  beat();
  draining_at_ = now_ms();
}

void leaf::end() {
  {
    const std::scoped_lock lock(mutex_);
    ended_ = true;
  }
  server_.stop();
  platform_.remove("servers", options_.id);
  note("leaf " + options_.id + " ends");
}

void leaf::serve(int socket) {
  std::string left;
  message request;
  while (read_message(socket, left, request, 60000)) {
    const std::string id = request.field("x-request-id");
    const std::string expected = request.field("x-expect-instance");
    std::string head = "X-Request-Id: " + id + "\r\n";
    if (!expected.empty() && expected != options_.id) {
      if (!write_all(socket, "HTTP/1.1 421 .\r\n" + head +
                                 "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")) {
        return;
      }
      continue;
    }
    note("leaf " + options_.id + " of " + options_.service + " runs " + id);
    sleep_ms(options_.work_ms);
    const std::string body(options_.body_bytes, 'r');
    if (!write_all(socket, "HTTP/1.1 200 OK\r\n" + head + "X-Server-Stamp: " +
                               options_.service + "/" + options_.id + "/" + id +
                               "\r\nContent-Length: " + std::to_string(body.size()) +
                               "\r\n\r\n" + body)) {
      return;
    }
  }
}

node::node(node_options options) : options_(std::move(options)) {
  const auto address = [] { return own_ip() + ':' + std::to_string(free_port()); };
  clients_ = address();
  ready_ = address();
  peers_ = address();
  std::ofstream(options_.folder + "/" + options_.name + ".yaml")
      << "node: \"" << options_.name << "\"\navailability_zone: \"" << options_.zone
      << "\"\nfirst_start: true\nstore: \"" << options_.store_address
      << "\"\nlisten:\n  clients: \"" << clients_ << "\"\n  readiness: \"" << ready_
      << "\"\n  metrics: \"" << address() << "\"\n  peers: \"" << peers_
      << "\"\nextra_requests:\n  ratio: 0.2\n  slack: 54\n  window_s: 10\n"
      << "stop:\n  grace_s: 6\n"
      << "propagation:\n  configuration_ms: " << options_.bound_ms
      << "\n  leafs_ms: " << options_.bound_ms << '\n'
      << options_.extra_settings;
}

node::~node() {
  if (pid_ > 0) {
    ::kill(pid_, SIGCONT);
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
}

void node::start() {
  const std::string settings = options_.folder + "/" + options_.name + ".yaml";
  const std::string log = options_.folder + "/" + options_.name + ".log";
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // It ends with the case, however that ends.
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::setenv("IBISWHEEL_CONFIG", settings.c_str(), 1);
    ::execl("target/bin/ibis_node", "target/bin/ibis_node", nullptr);
    std::_Exit(127);
  }
}

void node::signal(int number) {
  if (pid_ > 0) {
    ::kill(pid_, number);
  }
}

void node::kill() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
}

bool node::running() {
  if (pid_ <= 0) {
    return false;
  }
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) == pid_) {
    note(options_.name + " ended with status " + std::to_string(status));
    pid_ = 0;
    return false;
  }
  return true;
}

bool node::wait_ready(double limit_ms) const {
  const double limit = now_ms() + limit_ms;
  while (now_ms() < limit) {
    client probe(ready_);
    const reply value = probe.ask("GET", "/v1/readiness", "probe", 1000);
    if (value.status == 200) {
      return true;
    }
    sleep_ms(50);
  }
  return false;
}

int connect_to(const std::string& address) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in target = to_sockaddr(address);
  if (::connect(socket, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0) {
    ::close(socket);
    return -1;
  }
  const int yes = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  return socket;
}

client::~client() {
  if (socket_ >= 0) {
    ::close(socket_);
  }
}

reply client::ask(const std::string& method, const std::string& path,
                  const std::string& id, int deadline_ms, const std::string& fields,
                  const std::string& body) {
  reply value;
  if (socket_ < 0) {
    socket_ = connect_to(address_);
    left_.clear();
  }
  value.sent_at = now_ms();
  if (socket_ < 0) {
    value.ended_at = now_ms();
    return value;
  }
  std::string bytes = method + " " + path + " HTTP/1.1\r\nHost: demo.example\r\n" +
                      "X-Request-Id: " + id +
                      "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" +
                      fields;
  if (!body.empty()) {
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  bytes += "\r\n" + body;
  value.answered = write_all(socket_, bytes) &&
                   read_message(socket_, left_, value.answer, deadline_ms);
  value.ended_at = now_ms();
  if (value.answered) {
    value.status =
        static_cast<unsigned>(std::stoi(value.answer.start_line.substr(9, 3)));
  }
  if (!value.answered || value.answer.field("connection") == "close") {
    ::close(socket_);
    socket_ = -1;
  }
  return value;
}

}  // namespace world
