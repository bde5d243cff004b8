/// How a stand-in leaf handles requests, without HTTP: index versions, slots, faults
/// and counts of what ran.
#pragma once

#include <condition_variable>  // for condition_variable
#include <cstdint>             // for uint64_t
#include <map>                 // for map
#include <mutex>               // for mutex
#include <random>              // for mt19937_64
#include <set>                 // for set
#include <string>              // for string
#include <vector>              // for vector

#include "dataset.hpp"         // for dataset
#include "ibis/base/time.hpp"  // for milliseconds

namespace ibis::standins {

/// Faults that can be switched on and off while the leaf runs.
struct leaf_faults {
  bool draining = false;         ///< Refuses all requests as draining.
  bool shed = false;             ///< Refuses all requests as overloaded.
  bool silent_existing = false;  ///< Connections that are open now never answer again.
  /// Fraction of requests that take `slow_factor` times as long.
  double slow_share = 0;
  double slow_factor = 10;            ///< Multiplies the service time of slow requests.
  double speed_factor = 1;            ///< Multiplies the service time of all requests.
  bool lose_submit_replies = false;   ///< Submits run, but their connection is closed.
  std::set<wire::shard_index> moved;  ///< Shards that the leaf no longer holds.
};

/// Capacity and timing of a stand-in leaf.
struct leaf_model_settings {
  std::string name;
  std::size_t slots = 2;  ///< Requests that run at once.
  /// Requests that wait for a slot before the leaf sheds.
  std::size_t queue_limit = 16;
  base::microseconds service_time{2000};  ///< Median.
  base::milliseconds connection_setup{0};
  base::milliseconds cold_start{0};  ///< Time after start with doubled service times.
  std::uint64_t versions_kept = 3;   ///< Index versions that it can serve.
  std::uint64_t seed = 1;            ///< Of the random service times.
};

/// @return The seed of a leaf's random service times. It depends on the leaf's name, so
/// that leafs with the same data set are not slow on the same requests.
std::uint64_t derive_random_seed(const leaf_model_settings& settings);

/// Counters since the leaf's start.
struct leaf_counts {
  std::uint64_t requests = 0;
  std::uint64_t ran = 0;
  std::uint64_t shed = 0;
  std::uint64_t cancelled = 0;  ///< Includes those without a slot at their deadline.
  std::uint64_t submits = 0;
};

/// The outcome of a request.
struct leaf_result {
  /// Empty if it ran, else "draining", "shed", "version_gone", "moved" or "cancelled".
  std::string refusal_reason;
  std::uint64_t version = 0;              ///< The index version of a search.
  std::vector<wire::shard_index> shards;  ///< Those of the request that the leaf holds.
  std::vector<wire::hit> hits;
  std::string result;            ///< JSON text, for a submit.
  bool drop_connection = false;  ///< Whether the connection closes without the answer.
};

/// A search on some shards of a leaf.
struct leaf_query {
  std::uint64_t attempt = 0;  ///< Identifies the request for `leaf_model::cancel`.
  std::uint64_t version = 0;  ///< The index version.
  std::vector<wire::shard_index> shards;
  std::string text;
  std::size_t limit = 10;             ///< Of the hits.
  base::milliseconds deadline{1000};  ///< Longest wait for a slot, and longest run.
};

/// A leaf without a network. All functions may be called from any thread; `search` and
/// `submit` block for the simulated waiting and service time.
class leaf_model {
 public:
  leaf_model(leaf_model_settings settings, dataset data);

  /// Searches the shards that the leaf holds.
  leaf_result search(const leaf_query& query);
  /// Runs a submit and counts the run by its idempotency key. The leaf does not
  /// deduplicate: a key that is submitted twice runs twice.
  leaf_result submit(std::uint64_t attempt, const std::string& idempotency_key,
                     const std::vector<wire::shard_index>& shards);
  /// Cancels a request that waits or runs; does nothing for other requests.
  void cancel(std::uint64_t attempt);

  /// Replaces all faults.
  void set_faults(const leaf_faults& faults);
  [[nodiscard]] leaf_faults faults();
  /// Publishes an index version; the leaf serves it and the last ones before it.
  void set_version(std::uint64_t version);
  [[nodiscard]] std::uint64_t newest_version();
  [[nodiscard]] std::uint64_t oldest_version();
  [[nodiscard]] leaf_counts counts();
  /// @return The number of runs of each idempotency key.
  [[nodiscard]] std::map<std::string, int> runs();
  [[nodiscard]] const leaf_model_settings& settings() const { return settings_; }

 private:
  std::string acquire_slot(std::uint64_t attempt, base::milliseconds timeout);
  void release_slot();
  bool spend_service_time(std::uint64_t attempt, base::milliseconds timeout);
  std::chrono::microseconds service_time();
  std::string check_refusal();
  std::vector<wire::shard_index> select_held(
      const std::vector<wire::shard_index>& shards);

  leaf_model_settings settings_;
  dataset data_;
  std::mutex mutex_;
  std::condition_variable changed_;
  leaf_faults faults_;
  std::uint64_t newest_version_ = 1;
  std::size_t busy_ = 0;     ///< Slots in use.
  std::size_t waiting_ = 0;  ///< Requests that wait for a slot.
  std::set<std::uint64_t> cancelled_;
  std::set<std::uint64_t> active_;  ///< Attempts that wait or run.
  std::map<std::string, int> runs_;
  leaf_counts counts_;
  std::mt19937_64 random_;
  std::chrono::steady_clock::time_point started_ = std::chrono::steady_clock::now();
};

}  // namespace ibis::standins
