#include "leaf_model.hpp"

#include <nlohmann/json.hpp>  // for json
#include <string>             // for to_string
#include <utility>            // for move

#include "ibis/base/hash.hpp"  // for hash64

namespace ibis::standins {

std::uint64_t derive_random_seed(const leaf_model_settings& settings) {
  return base::hash64(settings.name + ' ' + std::to_string(settings.seed));
}

leaf_model::leaf_model(leaf_model_settings settings, dataset data)
    : settings_(std::move(settings)),
      data_(std::move(data)),
      random_(derive_random_seed(settings_)) {}

std::string leaf_model::check_refusal() {
  const std::lock_guard lock(mutex_);
  ++counts_.requests;
  if (faults_.draining) {
    return "draining";
  }
  if (faults_.shed) {
    ++counts_.shed;
    return "shed";
  }
  return {};
}

std::vector<wire::shard_index> leaf_model::select_held(
    const std::vector<wire::shard_index>& shards) {
  const std::lock_guard lock(mutex_);
  std::vector<wire::shard_index> present;
  for (const wire::shard_index shard : shards) {
    if (faults_.moved.count(shard) == 0) {
      present.push_back(shard);
    }
  }
  return present;
}

/// Waits for a free slot.
/// @return The reason why the request does not run; empty if it got a slot.
std::string leaf_model::acquire_slot(std::uint64_t attempt,
                                     base::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  if (busy_ >= settings_.slots && waiting_ >= settings_.queue_limit) {
    ++counts_.shed;
    return "shed";
  }
  ++waiting_;
  active_.insert(attempt);
  const auto ready = [&] {
    return busy_ < settings_.slots || cancelled_.count(attempt) != 0;
  };
  const bool woken = changed_.wait_for(lock, timeout, ready);
  --waiting_;
  if (!woken || cancelled_.count(attempt) != 0) {
    active_.erase(attempt);
    cancelled_.erase(attempt);
    ++counts_.cancelled;
    return "cancelled";
  }
  ++busy_;
  return {};
}

void leaf_model::release_slot() {
  const std::lock_guard lock(mutex_);
  --busy_;
  changed_.notify_all();
}

std::chrono::microseconds leaf_model::service_time() {
  std::lognormal_distribution<double> spread(0.0, 0.25);
  std::uniform_real_distribution<double> fraction(0.0, 1.0);
  double factor = spread(random_) * faults_.speed_factor;
  if (fraction(random_) < faults_.slow_share) {
    factor *= faults_.slow_factor;
  }
  if (std::chrono::steady_clock::now() < started_ + settings_.cold_start) {
    factor *= 2;
  }
  return std::chrono::microseconds(static_cast<std::int64_t>(
      factor * static_cast<double>(settings_.service_time.count())));
}

/// Waits for a random service time, `timeout` at most.
/// @return False if the attempt was cancelled meanwhile.
bool leaf_model::spend_service_time(std::uint64_t attempt, base::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  const auto duration = std::min<std::chrono::microseconds>(service_time(), timeout);
  const bool cancelled =
      changed_.wait_for(lock, duration, [&] { return cancelled_.count(attempt) != 0; });
  active_.erase(attempt);
  cancelled_.erase(attempt);
  counts_.cancelled += cancelled ? 1 : 0;
  counts_.ran += cancelled ? 0 : 1;
  return !cancelled;
}

leaf_result leaf_model::search(const leaf_query& query) {
  leaf_result result;
  result.refusal_reason = check_refusal();
  if (!result.refusal_reason.empty()) {
    return result;
  }
  if (query.version < oldest_version() || query.version > newest_version()) {
    result.refusal_reason = "version_gone";
    return result;
  }
  result.shards = select_held(query.shards);
  if (result.shards.empty()) {
    result.refusal_reason = "moved";
    return result;
  }
  result.refusal_reason = acquire_slot(query.attempt, query.deadline);
  if (!result.refusal_reason.empty()) {
    return result;
  }
  const bool finished = spend_service_time(query.attempt, query.deadline);
  release_slot();
  if (!finished) {
    result.refusal_reason = "cancelled";
    return result;
  }
  result.version = query.version;
  result.hits =
      standins::search(data_, result.shards, query.text, query.version, query.limit);
  return result;
}

leaf_result leaf_model::submit(std::uint64_t attempt,
                               const std::string& idempotency_key,
                               const std::vector<wire::shard_index>& shards) {
  leaf_result result;
  result.refusal_reason = check_refusal();
  if (!result.refusal_reason.empty()) {
    return result;
  }
  result.shards = select_held(shards);
  if (result.shards.empty()) {
    result.refusal_reason = "moved";
    return result;
  }
  constexpr base::milliseconds timeout{1000};
  const std::string refusal_reason = acquire_slot(attempt, timeout);
  if (!refusal_reason.empty()) {
    result.refusal_reason = "shed";  // Safe to report: the submit did not run.
    return result;
  }
  int count = 0;
  {
    const std::lock_guard lock(mutex_);
    count = ++runs_[idempotency_key];
    ++counts_.submits;
    result.drop_connection = faults_.lose_submit_replies;
  }
  spend_service_time(attempt, timeout);
  release_slot();
  result.result = nlohmann::json{{"stored", idempotency_key}, {"run", count}}.dump();
  return result;
}

void leaf_model::cancel(std::uint64_t attempt) {
  const std::lock_guard lock(mutex_);
  if (active_.count(attempt) != 0) {
    cancelled_.insert(attempt);
    changed_.notify_all();
  }
}

void leaf_model::set_faults(const leaf_faults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

leaf_faults leaf_model::faults() {
  const std::lock_guard lock(mutex_);
  return faults_;
}

void leaf_model::set_version(std::uint64_t version) {
  const std::lock_guard lock(mutex_);
  newest_version_ = version;
}

std::uint64_t leaf_model::newest_version() {
  const std::lock_guard lock(mutex_);
  return newest_version_;
}

std::uint64_t leaf_model::oldest_version() {
  const std::lock_guard lock(mutex_);
  return newest_version_ < settings_.versions_kept
             ? 1
             : newest_version_ - settings_.versions_kept + 1;
}

leaf_counts leaf_model::counts() {
  const std::lock_guard lock(mutex_);
  return counts_;
}

std::map<std::string, int> leaf_model::runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

}  // namespace ibis::standins
