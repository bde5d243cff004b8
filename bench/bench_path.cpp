/// Measures the request path over real sockets: the latency that an entry and a relay
/// add to a direct leaf request, the client-side CPU time of a leaf request, and the
/// CPU time of a frame between two peers.
#include <httplib.h>       // for Client
#include <sys/resource.h>  // for getrusage

#include <CLI/CLI.hpp>  // for App

#include <algorithm>            // for sort
#include <asio/io_context.hpp>  // for io_context
#include <cstdio>               // for printf
#include <ctime>                // for clock_gettime
#include <nlohmann/json.hpp>    // for json
#include <thread>               // for thread

#include "ibis/base/quantile.hpp"           // for quantile_of
#include "ibis/runtime/address.hpp"         // for parse_address
#include "ibis/runtime/leaf_protocol.hpp"   // for write_leaf_request
#include "ibis/runtime/peer_transport.hpp"  // for peer_transport
#include "ibis/wire/codec.hpp"              // for encode
#include "in_process_tier.hpp"              // for in_process_tier
#include "leaf_server.hpp"                  // for leaf_server

namespace {

using namespace ibis;  // NOLINT(google-build-using-namespace)

constexpr const char* json_content_type = "application/json";
constexpr std::size_t shards = 4;

double thread_cpu_us() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

double process_cpu_us() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1e6 +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

double quantile(std::vector<double> values, double q) {
  std::sort(values.begin(), values.end());
  return base::quantile_of(values, q);
}

std::unique_ptr<httplib::Client> make_client(const std::string& address) {
  const auto target = runtime::parse_address(address).value();
  auto client = std::make_unique<httplib::Client>(target.ip, target.port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  return client;
}

struct stand_in_leaf {
  std::shared_ptr<standins::leaf_model> model;
  std::unique_ptr<standins::leaf_server> server;
  std::string address;
};

stand_in_leaf start_leaf(std::chrono::microseconds service_time) {
  standins::dataset_settings data;
  data.shards = shards;
  standins::leaf_model_settings settings;
  settings.service_time = service_time;
  settings.slots = 64;
  stand_in_leaf leaf;
  leaf.model =
      std::make_shared<standins::leaf_model>(settings, standins::make_dataset(data));
  leaf.server = std::make_unique<standins::leaf_server>(leaf.model, 40);
  leaf.address = leaf.server->start("127.0.0.1", 0).value();
  return leaf;
}

std::string make_direct_body() {
  policy::send_leaf_request request;
  request.attempt = {1};
  request.service = "search";
  request.index_version = 1;
  request.shards = {0, 1, 2, 3};
  request.query = "R600a cyclopentane";
  request.limit = 10;
  request.budget = std::chrono::seconds(1);
  return runtime::write_leaf_request(request);
}

/// Alternates between a direct leaf request and a query through the entry and the
/// relay, and prints the latency of both and their difference.
void measure_added_latency(std::size_t pairs) {
  const standins::in_process_tier tier;
  const auto entry_client = make_client(tier.entry->http_address);
  const auto leaf_client = make_client(tier.search_address);
  const std::string query = R"({"query": "R600a cyclopentane", "limit": 10})";
  const auto query_entry = [&] {
    return entry_client->Post("/v1/services/search/query", query, json_content_type);
  };
  const std::string body = make_direct_body();
  std::vector<double> leaf_us;
  std::vector<double> entry_us;
  std::vector<double> added_us;
  for (std::size_t i = 0; i < pairs; ++i) {
    const auto start = std::chrono::steady_clock::now();
    leaf_client->Post(runtime::leaf_search_path, body, json_content_type);
    const auto middle = std::chrono::steady_clock::now();
    query_entry();
    const auto end = std::chrono::steady_clock::now();
    leaf_us.push_back(
        std::chrono::duration<double, std::micro>(middle - start).count());
    entry_us.push_back(std::chrono::duration<double, std::micro>(end - middle).count());
    added_us.push_back(entry_us.back() - leaf_us.back());
  }
  std::printf(
      "latency over %zu pairs: direct p50 %.0f us, through entry and relay p50 "
      "%.0f us; added p50 %.0f us, p99 %.0f us\n",
      pairs, quantile(leaf_us, 0.5), quantile(entry_us, 0.5), quantile(added_us, 0.5),
      quantile(added_us, 0.99));
}

/// Measures the client-side CPU time of a leaf request: serializing the request, the
/// HTTP library, and parsing the reply.
void measure_leaf_client(std::size_t requests) {
  const stand_in_leaf leaf = start_leaf(std::chrono::microseconds(0));
  const auto client = make_client(leaf.address);
  policy::send_leaf_request request;
  request.attempt = {1};
  request.service = "search";
  request.index_version = 1;
  request.query = "R600a cyclopentane";
  request.limit = 10;
  request.budget = std::chrono::seconds(1);
  for (const std::size_t shard_count : {std::size_t{1}, shards}) {
    request.shards.clear();
    for (std::size_t shard = 0; shard < shard_count; ++shard) {
      request.shards.push_back(static_cast<wire::shard_index>(shard));
    }
    const double before = thread_cpu_us();
    std::size_t hits = 0;
    for (std::size_t i = 0; i < requests; ++i) {
      const auto reply =
          client->Post(runtime::leaf_search_path, runtime::write_leaf_request(request),
                       json_content_type);
      const auto parsed = runtime::read_leaf_reply({1}, reply->status, reply->body);
      hits += parsed.value().hits.size();
    }
    const auto count = static_cast<double>(requests);
    std::printf("client side of a leaf request: %.1f us of CPU time, %.1f hits\n",
                (thread_cpu_us() - before) / count, static_cast<double>(hits) / count);
  }
}

wire::block_reply make_reply() {
  wire::block_reply reply;
  reply.call = {1};
  for (wire::shard_index shard = 0; shard < 8; ++shard) {
    reply.covered.push_back(shard);
    reply.versions.push_back({shard, 1, 3});
  }
  for (int hit = 0; hit < 10; ++hit) {
    reply.hits.push_back(
        {"CZ-10042" + std::to_string(hit), 0.5, 1, std::string(180, 'x')});
  }
  return reply;
}

/// Measures the CPU time of a frame by sending a block reply back and forth between two
/// transports.
void measure_frames(std::size_t rounds) {
  asio::io_context io;
  std::size_t remaining = rounds;
  std::unique_ptr<runtime::peer_transport> first;
  std::unique_ptr<runtime::peer_transport> second;
  std::string first_address;
  std::string second_address;
  const auto ignore_error = [](const base::error&) {};
  const auto ignore_loss = [](const std::string&) {};
  const auto ignore_undelivered = [](const std::string&, const wire::message&) {};
  const wire::message reply = make_reply();
  first = std::make_unique<runtime::peer_transport>(
      io, wire::hello{"a", "a", "z", "entry", "", wire::channel::data},
      runtime::peer_hooks{[&](const std::string&, const wire::message&) {
                            if (--remaining == 0) {
                              io.stop();
                              return;
                            }
                            first->send("b", wire::channel::data, second_address,
                                        reply);
                          },
                          ignore_undelivered, ignore_loss, ignore_error});
  second = std::make_unique<runtime::peer_transport>(
      io, wire::hello{"b", "b", "z", "relay", "", wire::channel::data},
      runtime::peer_hooks{[&](const std::string&, const wire::message&) {
                            second->send("a", wire::channel::data, first_address,
                                         reply);
                          },
                          ignore_undelivered, ignore_loss, ignore_error});
  first_address = first->listen("127.0.0.1:0").value();
  second_address = second->listen("127.0.0.1:0").value();
  first->send("b", wire::channel::data, second_address, reply);
  const double before = process_cpu_us();
  io.run();
  std::printf(
      "frame of %zu bytes, encoded, sent, received and decoded: %.1f us of "
      "CPU time\n",
      wire::encode(reply).size(),
      (process_cpu_us() - before) / static_cast<double>(rounds * 2));
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Measures the request path over loopback sockets.");
  std::size_t pairs = 3000;
  app.add_option(
      "--pairs", pairs,
      "Number of pairs of a direct leaf request and a query through the tier");
  CLI11_PARSE(app, argc, argv);
  measure_added_latency(pairs);
  measure_leaf_client(pairs * 4);
  measure_frames(pairs * 10);
  return 0;
}
