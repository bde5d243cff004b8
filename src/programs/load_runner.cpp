#include "load_runner.hpp"

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

/// Number of sample queries that each mix item cycles through.
constexpr std::size_t query_sample_size = 400;
/// How long to wait for an answer beyond the timeout of its request.
constexpr base::milliseconds read_timeout_margin{500};

/// A mix item with its queries and the data set that its answers are checked against.
struct prepared_mix_item {
  mix_item item;
  standins::dataset dataset;
  std::vector<std::string> queries;
};

std::vector<prepared_mix_item> prepare_mix(const load::experiment& experiment) {
  std::vector<prepared_mix_item> prepared;
  for (const mix_item& item : experiment.mix) {
    standins::dataset_settings settings;
    settings.kind = item.dataset.kind == "catalog" ? standins::dataset_kind::catalog
                                                   : standins::dataset_kind::registry;
    settings.seed = item.dataset.seed;
    settings.shards = item.dataset.shards;
    settings.records = item.dataset.records;
    prepared_mix_item new_item{item, standins::make_dataset(settings), {}};
    new_item.queries =
        standins::sample_queries(new_item.dataset, query_sample_size, experiment.seed);
    prepared.push_back(std::move(new_item));
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

/// @return Whether the hits and the coverage of an answer agree with the data set at
/// the index version that the answer states.
bool is_correct_answer(const prepared_mix_item& prepared, const std::string& query,
                       const json& answer) {
  const json& coverage = answer.at("coverage");
  const std::size_t total_shards = coverage.at("total");
  std::set<wire::shard_index> missing;
  for (const json& shard : coverage.at("missing")) {
    missing.insert(shard.at("shard").get<wire::shard_index>());
  }
  if (coverage.at("covered").get<std::size_t>() + missing.size() != total_shards) {
    return false;
  }
  std::vector<wire::shard_index> covered_shards;
  for (wire::shard_index shard = 0; shard < total_shards; ++shard) {
    if (missing.count(shard) == 0) {
      covered_shards.push_back(shard);
    }
  }
  const auto expected =
      standins::search(prepared.dataset, covered_shards, query,
                       answer.at("index_version"), prepared.item.limit);
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

/// The outcome of one submit, to compare with the executions that leafs counted.
struct submit_observation {
  std::string idempotency_key;
  std::string outcome;
};

/// Runs one experiment on a pool of worker threads.
class load_runner {
 public:
  load_runner(const load::experiment& experiment, const load_targets& targets)
      : experiment_(experiment),
        targets_(targets),
        items_(prepare_mix(experiment)),
        schedule_(load::make_schedule(experiment)),
        entry_ready_(targets.entries.size()) {
    for (auto& ready : entry_ready_) {
      ready = true;
    }
  }

  load::experiment_result run() {
    const double leaf_requests_before = count_leaf_requests();
    started_at_ = std::chrono::steady_clock::now();
    std::vector<std::thread> workers;
    for (std::uint32_t i = 0; i < experiment_.workers; ++i) {
      workers.emplace_back([this, i] { run_worker(i); });
    }
    if (targets_.skip_unready_entries) {
      for (std::size_t entry = 0; entry < targets_.entries.size(); ++entry) {
        workers.emplace_back([this, entry] { poll_readiness(entry); });
      }
    }
    wait_for_completion();
    for (std::thread& worker : workers) {
      worker.join();
    }
    auto result = load::summarize(experiment_.name, observations_);
    const auto needed_leaf_requests = static_cast<double>(needed_leaf_requests_.load());
    if (needed_leaf_requests > 0 && !targets_.leafs.empty()) {
      result.extra_load =
          (count_leaf_requests() - leaf_requests_before) / needed_leaf_requests - 1.0;
    }
    check_submit_executions(result);
    return result;
  }

 private:
  void run_worker(std::uint32_t worker_index) {
    std::vector<std::unique_ptr<httplib::Client>> clients;
    for (const std::string& entry : targets_.entries) {
      clients.push_back(make_client(entry));
    }
    std::mt19937_64 random(experiment_.seed * 1000 + worker_index);
    for (;;) {
      const std::size_t index = next_arrival_.fetch_add(1);
      if (index >= schedule_.size()) {
        return;
      }
      const arrival& request = schedule_[index];
      std::this_thread::sleep_until(started_at_ + request.start_offset);
      send_request(request, clients, random);
    }
  }

  void send_request(const arrival& request,
                    std::vector<std::unique_ptr<httplib::Client>>& clients,
                    std::mt19937_64& random) {
    const prepared_mix_item& prepared = items_[request.mix_index];
    const bool is_submit = prepared.item.kind == load::request_kind::submit;
    const std::string query =
        prepared.queries[request.sequence_number % prepared.queries.size()];
    const std::string idempotency_key =
        is_submit ? base::make_uuid_v7(base::unix_now(), random(), random()) : "";
    const std::string body =
        is_submit ? json{{"shard_key", query}, {"document", {{"text", query}}}}.dump()
                  : json{{"query", query}, {"limit", prepared.item.limit}}.dump();
    httplib::Headers headers{
        {"Ibis-Tenant", prepared.item.tenant},
        {"Ibis-Class", prepared.item.priority},
        {"Ibis-Timeout-Ms", std::to_string(prepared.item.timeout.count())}};
    if (is_submit) {
      headers.emplace("Idempotency-Key", idempotency_key);
    }
    const std::string path =
        "/v1/services/" + prepared.item.service + (is_submit ? "/submit" : "/query");
    std::size_t target = choose_entry(request.sequence_number);
    clients[target]->set_read_timeout(prepared.item.timeout + read_timeout_margin);
    auto response = clients[target]->Post(path, headers, body, "application/json");
    if (!response && targets_.retry_other_entry) {
      target = (target + 1) % clients.size();
      clients[target]->set_read_timeout(prepared.item.timeout + read_timeout_margin);
      response = clients[target]->Post(path, headers, body, "application/json");
    }
    record_observation(request, prepared, query, idempotency_key, response);
  }

  /// @return The next entry in round-robin order that was ready when last polled, or
  /// simply the next one if none was.
  std::size_t choose_entry(std::uint64_t sequence_number) const {
    const std::size_t count = targets_.entries.size();
    for (std::size_t skipped = 0; skipped < count; ++skipped) {
      const std::size_t entry = (sequence_number + skipped) % count;
      if (!targets_.skip_unready_entries || entry_ready_[entry]) {
        return entry;
      }
    }
    return sequence_number % count;
  }

  void poll_readiness(std::size_t entry) {
    constexpr base::milliseconds poll_interval{100};
    const auto client = make_client(targets_.entries[entry]);
    constexpr int http_ok = 200;
    while (completed_requests_ < schedule_.size()) {
      const auto response = client->Get("/readyz");
      entry_ready_[entry] = response && response->status == http_ok;
      std::this_thread::sleep_for(poll_interval);
    }
  }

  void record_observation(const arrival& request, const prepared_mix_item& prepared,
                          const std::string& query, const std::string& idempotency_key,
                          const httplib::Result& response) {
    const auto now = std::chrono::steady_clock::now();
    observation observed;
    observed.series = prepared.item.service + '/' + prepared.item.tenant + '/' +
                      prepared.item.priority;
    observed.intended_start = request.start_offset - experiment_.warm_up;
    observed.latency = now - (started_at_ + request.start_offset);
    observed.outcome = "no_answer";
    if (response) {
      evaluate_answer(prepared, query, response->body, observed);
    }
    if (requires_leafs(observed)) {
      needed_leaf_requests_ += prepared.item.leaf_requests;
    }
    ++completed_requests_;
    const std::lock_guard lock(mutex_);
    if (!idempotency_key.empty()) {
      submit_observations_.push_back({idempotency_key, observed.outcome});
    }
    if (observed.intended_start >= base::duration::zero()) {
      observations_.push_back(std::move(observed));
    }
  }

  /// @return Whether a request counts as needing leaf requests; refused ones do not.
  static bool requires_leafs(const observation& observed) {
    return observed.outcome != "not_run" && observed.outcome != "rejected";
  }

  static void evaluate_answer(const prepared_mix_item& prepared,
                              const std::string& query, const std::string& body,
                              observation& observed) {
    const json answer = json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("outcome")) {
      observed.outcome = "broken";
      observed.wrong_answer = true;
      return;
    }
    observed.outcome = answer["outcome"];
    const bool has_answer =
        observed.outcome == "complete" || observed.outcome == "partial";
    if (!has_answer) {
      return;
    }
    observed.covered_shards = answer["coverage"]["covered"];
    observed.total_shards = answer["coverage"]["total"];
    const bool is_query = prepared.item.kind == load::request_kind::query;
    observed.wrong_answer = is_query ? !is_correct_answer(prepared, query, answer)
                                     : !answer.contains("result");
  }

  /// @return The sum of the request counters of all stand-in leafs.
  double count_leaf_requests() const {
    double requests = 0;
    for (const std::string& leaf : targets_.leafs) {
      const auto response = make_client(leaf)->Get("/v1/stats");
      if (response) {
        requests += json::parse(response->body).value("requests", 0.0);
      }
    }
    return requests;
  }

  /// Counts the submits that leafs executed more than once, or executed although their
  /// answer said `not_run`.
  void check_submit_executions(load::experiment_result& result) {
    std::map<std::string, int> execution_counts;
    for (const std::string& leaf : targets_.leafs) {
      const auto response = make_client(leaf)->Get("/v1/runs");
      if (!response) {
        continue;
      }
      const json execution_log = json::parse(response->body);
      for (const auto& [idempotency_key, count] : execution_log.items()) {
        execution_counts[idempotency_key] += count.get<int>();
      }
    }
    for (const submit_observation& item : submit_observations_) {
      result.repeated_submits += execution_counts[item.idempotency_key] > 1 ? 1 : 0;
      result.misreported_submits +=
          item.outcome == "not_run" && execution_counts[item.idempotency_key] > 0 ? 1
                                                                                  : 0;
    }
  }

  /// Blocks until all requests have ended, and prints the progress meanwhile.
  void wait_for_completion() const {
    constexpr base::milliseconds poll_interval{200};
    constexpr int polls_per_line = 10;
    int polls = 0;
    while (completed_requests_ < schedule_.size()) {
      std::this_thread::sleep_for(poll_interval);
      if (targets_.print_progress && ++polls % polls_per_line == 0) {
        std::cerr << experiment_.name << ": " << completed_requests_ << " of "
                  << schedule_.size() << " requests\n";
      }
    }
  }

  const load::experiment& experiment_;  // NOLINT(*-avoid-const-or-ref-data-members)
  const load_targets& targets_;         // NOLINT(*-avoid-const-or-ref-data-members)
  std::vector<prepared_mix_item> items_;
  std::vector<arrival> schedule_;
  std::vector<std::atomic<bool>> entry_ready_;  ///< By index of the entry.
  std::chrono::steady_clock::time_point started_at_;
  std::atomic<std::size_t> next_arrival_{0};
  std::atomic<std::size_t> completed_requests_{0};
  std::atomic<std::uint64_t> needed_leaf_requests_{0};
  std::mutex mutex_;
  std::vector<observation> observations_;
  std::vector<submit_observation> submit_observations_;
};

}  // namespace

load::experiment_result run_experiment(const load::experiment& experiment,
                                       const load_targets& targets) {
  return load_runner(experiment, targets).run();
}

}  // namespace ibis::programs
