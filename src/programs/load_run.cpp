#include "load_run.hpp"

#include <httplib.h>  // for Client

#include <atomic>             // for atomic
#include <iostream>           // for cerr
#include <mutex>              // for mutex
#include <nlohmann/json.hpp>  // for json
#include <random>             // for mt19937_64
#include <set>                // for set
#include <thread>             // for thread

#include "dataset.hpp"               // for search
#include "ibis/base/uuid.hpp"        // for make_uuid_v7
#include "ibis/runtime/address.hpp"  // for parse_address

namespace ibis::programs {
namespace {

using load::arrival;
using load::mix_item;
using load::observation;
using nlohmann::json;

constexpr std::size_t sampled_queries = 400;
constexpr base::milliseconds answer_grace{500};

/// A mix item with the data that its answers are checked against.
struct prepared_item {
  mix_item item;
  standins::dataset data;
  std::vector<std::string> queries;
};

std::vector<prepared_item> prepare(const load::experiment& experiment) {
  std::vector<prepared_item> prepared;
  for (const mix_item& item : experiment.mix) {
    standins::dataset_shape shape;
    shape.kind = item.data.kind == "catalog" ? standins::dataset_kind::catalog
                                             : standins::dataset_kind::registry;
    shape.seed = item.data.seed;
    shape.shards = item.data.shards;
    shape.records = item.data.records;
    prepared_item made{item, standins::make_dataset(shape), {}};
    made.queries =
        standins::sample_queries(made.data, sampled_queries, experiment.seed);
    prepared.push_back(std::move(made));
  }
  return prepared;
}

std::unique_ptr<httplib::Client> make_client(const std::string& address) {
  const auto parsed = runtime::parse_address(address);
  const auto target = parsed ? parsed.value() : runtime::ip_port{"0.0.0.0", 0};
  auto client = std::make_unique<httplib::Client>(target.ip, target.port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_connection_timeout(std::chrono::seconds(1));
  return client;
}

/// @return Whether hits and coverage agree with the data at the answer's version.
bool is_right(const prepared_item& prepared, const std::string& query,
              const json& answer) {
  const json& coverage = answer.at("coverage");
  const std::size_t total = coverage.at("total");
  std::set<wire::shard_index> missing;
  for (const json& shard : coverage.at("missing")) {
    missing.insert(shard.at("shard").get<wire::shard_index>());
  }
  if (coverage.at("covered").get<std::size_t>() + missing.size() != total) {
    return false;
  }
  std::vector<wire::shard_index> covered;
  for (wire::shard_index shard = 0; shard < total; ++shard) {
    if (missing.count(shard) == 0) {
      covered.push_back(shard);
    }
  }
  const auto expected = standins::search(
      prepared.data, covered, query, answer.at("index_version"), prepared.item.limit);
  const json& hits = answer.at("hits");
  if (hits.size() != expected.size()) {
    return false;
  }
  for (std::size_t i = 0; i < expected.size(); ++i) {
    if (hits[i].at("id") != expected[i].id ||
        hits[i].at("record") != json::parse(expected[i].body)) {
      return false;
    }
  }
  return true;
}

/// One submit as it ended, to be compared with the leafs' own log.
struct submitted {
  std::string key;
  std::string outcome;
};

class load_runner {
 public:
  load_runner(const load::experiment& experiment, const load_targets& targets)
      : experiment_(experiment),
        targets_(targets),
        items_(prepare(experiment)),
        schedule_(load::make_schedule(experiment)),
        ready_(targets.entries.size()) {
    for (auto& ready : ready_) {
      ready = true;
    }
  }

  load::experiment_result run() {
    const double leaf_before = leaf_requests();
    start_ = std::chrono::steady_clock::now();
    std::vector<std::thread> workers;
    for (std::uint32_t i = 0; i < experiment_.workers; ++i) {
      workers.emplace_back([this, i] { work(i); });
    }
    if (targets_.balance) {
      for (std::size_t entry = 0; entry < targets_.entries.size(); ++entry) {
        workers.emplace_back([this, entry] { watch_readiness(entry); });
      }
    }
    report_progress();
    for (std::thread& worker : workers) {
      worker.join();
    }
    auto result = load::summarize(experiment_.name, observations_);
    const auto needed = static_cast<double>(needed_requests_.load());
    if (needed > 0 && !targets_.leafs.empty()) {
      result.extra_load = (leaf_requests() - leaf_before) / needed - 1.0;
    }
    check_submits(result);
    return result;
  }

 private:
  void work(std::uint32_t number) {
    std::vector<std::unique_ptr<httplib::Client>> clients;
    for (const std::string& entry : targets_.entries) {
      clients.push_back(make_client(entry));
    }
    std::mt19937_64 random(experiment_.seed * 1000 + number);
    for (;;) {
      const std::size_t index = next_.fetch_add(1);
      if (index >= schedule_.size()) {
        return;
      }
      const arrival& request = schedule_[index];
      std::this_thread::sleep_until(start_ + request.at);
      make_request(request, clients, random);
    }
  }

  void make_request(const arrival& request,
                    std::vector<std::unique_ptr<httplib::Client>>& clients,
                    std::mt19937_64& random) {
    const prepared_item& prepared = items_[request.item];
    const bool submit = prepared.item.kind == load::request_kind::submit;
    const std::string query =
        prepared.queries[request.number % prepared.queries.size()];
    const std::string key =
        submit ? base::make_uuid_v7(base::unix_now(), random(), random()) : "";
    const std::string body =
        submit ? json{{"shard_key", query}, {"document", {{"text", query}}}}.dump()
               : json{{"query", query}, {"limit", prepared.item.limit}}.dump();
    httplib::Headers headers{
        {"Ibis-Tenant", prepared.item.tenant},
        {"Ibis-Class", prepared.item.priority},
        {"Ibis-Timeout-Ms", std::to_string(prepared.item.timeout.count())}};
    if (submit) {
      headers.emplace("Idempotency-Key", key);
    }
    const std::string path =
        "/v1/services/" + prepared.item.service + (submit ? "/submit" : "/query");
    std::size_t target = choose_entry(request.number);
    clients[target]->set_read_timeout(prepared.item.timeout + answer_grace);
    auto reply = clients[target]->Post(path, headers, body, "application/json");
    if (!reply && targets_.retry_elsewhere) {
      target = (target + 1) % clients.size();
      clients[target]->set_read_timeout(prepared.item.timeout + answer_grace);
      reply = clients[target]->Post(path, headers, body, "application/json");
    }
    observe(request, prepared, query, key, reply);
  }

  /// The next entry that was ready when it was last asked; any if none was.
  std::size_t choose_entry(std::uint64_t number) const {
    const std::size_t count = targets_.entries.size();
    for (std::size_t step = 0; step < count; ++step) {
      const std::size_t entry = (number + step) % count;
      if (!targets_.balance || ready_[entry]) {
        return entry;
      }
    }
    return number % count;
  }

  void watch_readiness(std::size_t entry) {
    constexpr base::milliseconds period{100};
    const auto client = make_client(targets_.entries[entry]);
    constexpr int http_ok = 200;
    while (done_ < schedule_.size()) {
      const auto reply = client->Get("/readyz");
      ready_[entry] = reply && reply->status == http_ok;
      std::this_thread::sleep_for(period);
    }
  }

  void observe(const arrival& request, const prepared_item& prepared,
               const std::string& query, const std::string& key,
               const httplib::Result& reply) {
    const auto now = std::chrono::steady_clock::now();
    observation seen;
    seen.series = prepared.item.service + '/' + prepared.item.tenant + '/' +
                  prepared.item.priority;
    seen.intended = request.at - experiment_.warm_up;
    seen.latency = now - (start_ + request.at);
    seen.outcome = "no_answer";
    if (reply) {
      read_answer(prepared, query, reply->body, seen);
    }
    if (needs_leafs(seen)) {
      needed_requests_ += prepared.item.leaf_requests;
    }
    ++done_;
    const std::lock_guard lock(mutex_);
    if (!key.empty()) {
      submits_.push_back({key, seen.outcome});
    }
    if (seen.intended >= base::duration::zero()) {
      observations_.push_back(std::move(seen));
    }
  }

  /// Requests that were refused needed no leaf.
  static bool needs_leafs(const observation& seen) {
    return seen.outcome != "not_run" && seen.outcome != "rejected";
  }

  static void read_answer(const prepared_item& prepared, const std::string& query,
                          const std::string& body, observation& seen) {
    const json answer = json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("outcome")) {
      seen.outcome = "broken";
      seen.wrong = true;
      return;
    }
    seen.outcome = answer["outcome"];
    const bool has_answer = seen.outcome == "complete" || seen.outcome == "partial";
    if (!has_answer) {
      return;
    }
    seen.covered = answer["coverage"]["covered"];
    seen.total = answer["coverage"]["total"];
    const bool query_kind = prepared.item.kind == load::request_kind::query;
    seen.wrong =
        query_kind ? !is_right(prepared, query, answer) : !answer.contains("result");
  }

  double leaf_requests() const {
    double requests = 0;
    for (const std::string& leaf : targets_.leafs) {
      const auto reply = make_client(leaf)->Get("/v1/stats");
      if (reply) {
        requests += json::parse(reply->body).value("requests", 0.0);
      }
    }
    return requests;
  }

  void check_submits(load::experiment_result& result) {
    std::map<std::string, int> runs;
    for (const std::string& leaf : targets_.leafs) {
      const auto reply = make_client(leaf)->Get("/v1/runs");
      if (!reply) {
        continue;
      }
      const json log = json::parse(reply->body);
      for (const auto& [key, count] : log.items()) {
        runs[key] += count.get<int>();
      }
    }
    for (const submitted& item : submits_) {
      result.repeated += runs[item.key] > 1 ? 1 : 0;
      result.ran_not_run += item.outcome == "not_run" && runs[item.key] > 0 ? 1 : 0;
    }
  }

  void report_progress() const {
    constexpr base::milliseconds step{200};
    constexpr int steps_per_line = 10;
    int steps = 0;
    while (done_ < schedule_.size()) {
      std::this_thread::sleep_for(step);
      if (targets_.progress && ++steps % steps_per_line == 0) {
        std::cerr << experiment_.name << ": " << done_ << " of " << schedule_.size()
                  << " requests\n";
      }
    }
  }

  const load::experiment& experiment_;  // NOLINT(*-avoid-const-or-ref-data-members)
  const load_targets& targets_;         // NOLINT(*-avoid-const-or-ref-data-members)
  std::vector<prepared_item> items_;
  std::vector<arrival> schedule_;
  std::vector<std::atomic<bool>> ready_;  ///< By entry.
  std::chrono::steady_clock::time_point start_;
  std::atomic<std::size_t> next_{0};
  std::atomic<std::size_t> done_{0};
  std::atomic<std::uint64_t> needed_requests_{0};
  std::mutex mutex_;
  std::vector<observation> observations_;
  std::vector<submitted> submits_;
};

}  // namespace

load::experiment_result run_experiment(const load::experiment& experiment,
                                       const load_targets& targets) {
  return load_runner(experiment, targets).run();
}

}  // namespace ibis::programs
