#include "ibis/cost/cost_table.hpp"

#include <algorithm>  // for clamp, max, min, min_element, nth_element
#include <bit>        // for bit_width
#include <cmath>      // for abs, ceil, exp2, log, log2, sqrt

#include "ibis/base/hash.hpp"  // for hash64

namespace ibis::cost {
namespace {

constexpr double shortest_bound_ms = 0.25;
constexpr double max_recent = 100;  ///< Number of samples that means reach back.
constexpr double max_latest = 20;
constexpr double max_typical = 32;
/// Largest logarithmic error that counts: a factor of ten.
constexpr double max_log_error = 2.302585;
/// The classes are trusted fully if their squared error is smaller by this share than
/// that of the mean over all classes. The rest of the error is noise that both have.
constexpr double full_trust_gain = 0.1;
constexpr double min_trust_gain =
    0.03;  ///< Classes without meaning reach it by chance.
/// They are not trusted if their latest squared error is greater by this factor.
constexpr double no_trust_excess = 1.6;
constexpr double tolerated_excess = 1.2;  ///< Noise of the latest errors.
/// Mean logarithmic error from which a class learns faster: a factor of three. A class
/// whose times vary exponentially has an error of 0.6 in the mean.
constexpr double max_bias = 1.1;
constexpr double bias_weight = 0.125;
/// A request is overdue if a smaller share of the samples took longer. It is above the
/// share of the samples that leafs' pauses prolong.
constexpr double overdue_share = 0.05;
/// Bounds of what a request that has taken longer than all before it still needs, as
/// multiples of its class's mean. The leaf may be paused, and longer pauses last
/// longer.
constexpr double min_overdue = 1.0;
constexpr double max_overdue = 4.0;

base::duration from_ms(double value) {
  return std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double, std::milli>(value));
}

class_id id_of(const class_key& key) {
  std::string text = key.route;
  text += '\0';
  text += static_cast<char>(key.size_bucket);
  text += key.account;
  return std::max<class_id>(1, base::hash64(text));
}

std::size_t bucket_of(double value_ms) {
  const double steps = 2.0 * std::log2(std::max(value_ms, 1e-6) / shortest_bound_ms);
  const double last = static_cast<double>(residual_buckets - 1);
  return static_cast<std::size_t>(std::clamp(std::ceil(steps), 0.0, last));
}

/// @return The time that stands for the samples of a bucket, in milliseconds.
double middle_of(std::size_t bucket) {
  return shortest_bound_ms * std::exp2((static_cast<double>(bucket) - 0.5) / 2.0);
}

double median_of(std::vector<double> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

void add_share(cost_class& known, double taken_ms, double weight) {
  for (double& share : known.shares) {
    share *= 1.0 - weight;
  }
  known.shares.at(bucket_of(taken_ms)) += weight;
}

/// Starts a class with the median of its first samples.
void start_class(cost_class& known) {
  known.mean_ms = std::max(median_of(known.first), 1e-3);
  double squares = 0;
  const auto count = static_cast<double>(known.first.size());
  for (const double value : known.first) {
    const double bounded = std::min(value, 2.0 * known.mean_ms);
    squares += (bounded - known.mean_ms) * (bounded - known.mean_ms);
    known.shares.at(bucket_of(bounded)) += 1.0 / count;
  }
  known.variance = squares / count;
  known.weight = count;
  known.first.clear();
}

double log_error(double actual, double predicted) {
  return std::clamp(std::log(std::max(actual, 1e-3) / predicted), -max_log_error,
                    max_log_error);
}

/// The samples of a class that took longer than an age.
struct tail {
  double share = 0;
  double remaining_ms = 0;  ///< Mean time after the age, multiplied by the share.
};

tail tail_after(const cost_class& known, double age_ms) {
  tail found;
  for (std::size_t i = 0; i < known.shares.size(); ++i) {
    const double time = middle_of(i);
    if (time > age_ms) {
      found.share += known.shares.at(i);
      found.remaining_ms += known.shares.at(i) * (time - age_ms);
    }
  }
  return found;
}

void add_errors(prediction_errors& errors, double by_class, double by_typical,
                double max_samples) {
  errors.samples = std::min(errors.samples + 1.0, max_samples);
  errors.by_class += (by_class - errors.by_class) / errors.samples;
  errors.by_typical += (by_typical - errors.by_typical) / errors.samples;
}

}  // namespace

std::uint8_t size_bucket_of(std::size_t bytes) {
  constexpr int smallest_bits = 8;
  constexpr int bits_per_bucket = 2;
  constexpr int last = 4;
  const auto bits =
      static_cast<int>(std::bit_width(bytes >> static_cast<unsigned>(smallest_bits)));
  return static_cast<std::uint8_t>(std::min(bits / bits_per_bucket, last));
}

request_class classify(const std::string& route, std::size_t bytes,
                       const std::string& account) {
  class_key key{route, size_bucket_of(bytes), ""};
  request_class id{id_of(key), 0};
  if (!account.empty()) {
    key.account = account;
    id.specific = id_of(key);
  }
  return id;
}

void cost_table::add(const class_key& key, base::duration taken, base::time_point now) {
  const double taken_ms = std::max(0.0, base::to_ms(taken));
  const class_key general{key.route, key.size_bucket, ""};
  compare_predictions(key, taken_ms, now);
  learn(get_class(general, now), taken_ms, now);
  if (!key.account.empty()) {
    learn(get_class(key, now), taken_ms, now);
  }
}

void cost_table::count_answer(const request_class& id, base::duration expected,
                              base::duration actual) {
  const auto found = classes_.find(id.general);
  if (found == classes_.end()) {
    return;
  }
  ++found->second.answers;
  found->second.expected_ms_sum += base::to_ms(expected);
  found->second.actual_ms_sum += base::to_ms(actual);
}

std::optional<work_estimate> cost_table::find(const request_class& id,
                                              base::time_point now) const {
  const cost_class* known = choose_class(id, now);
  if (known == nullptr) {
    return std::nullopt;
  }
  return work_estimate{from_ms(known->mean_ms), from_ms(std::sqrt(known->variance))};
}

std::optional<base::duration> cost_table::residual(const request_class& id,
                                                   base::duration age,
                                                   base::time_point now) const {
  const cost_class* known = choose_class(id, now);
  if (known == nullptr) {
    return std::nullopt;
  }
  const double age_ms = std::max(0.0, base::to_ms(age));
  if (age_ms == 0) {
    return from_ms(known->mean_ms);
  }
  const tail later = tail_after(*known, age_ms);
  if (later.share >= overdue_share) {
    return from_ms(later.remaining_ms / later.share);
  }
  return from_ms(
      std::clamp(age_ms, min_overdue * known->mean_ms, max_overdue * known->mean_ms));
}

bool cost_table::is_overdue(const request_class& id, base::duration age,
                            base::time_point now) const {
  const cost_class* known = choose_class(id, now);
  return known != nullptr && tail_after(*known, base::to_ms(age)).share < overdue_share;
}

base::duration cost_table::typical() const {
  return from_ms(typical_ms_);
}

double cost_table::trust() const {
  if (recent_errors_.by_typical <= 0 || latest_errors_.by_typical <= 0) {
    return 0;
  }
  const double gain = 1.0 - recent_errors_.by_class / recent_errors_.by_typical;
  const double excess = latest_errors_.by_class / latest_errors_.by_typical;
  return std::clamp((gain - min_trust_gain) / (full_trust_gain - min_trust_gain), 0.0,
                    1.0) *
         std::clamp((no_trust_excess - excess) / (no_trust_excess - tolerated_excess),
                    0.0, 1.0);
}

cost_class& cost_table::get_class(const class_key& key, base::time_point now) {
  const class_id id = id_of(key);
  const auto found = classes_.find(id);
  if (found != classes_.end()) {
    return found->second;
  }
  make_room(now);
  cost_class& added = classes_[id];
  added.key = key;
  added.updated_at = now;
  return added;
}

void cost_table::make_room(base::time_point now) {
  if (classes_.size() < std::max<std::size_t>(1, settings_.max_classes)) {
    return;
  }
  const auto removed = std::erase_if(classes_, [this, now](const auto& entry) {
    return now - entry.second.updated_at > settings_.max_age;
  });
  if (removed == 0) {
    classes_.erase(std::min_element(
        classes_.begin(), classes_.end(), [](const auto& first, const auto& second) {
          return first.second.updated_at < second.second.updated_at;
        }));
  }
}

void cost_table::learn(cost_class& known, double taken_ms, base::time_point now) const {
  const double age = base::to_ms(now - known.updated_at);
  if (now - known.updated_at > settings_.max_age) {
    known.first.clear();
    known.weight = 0;
    known.bias = 0;
    known.shares = {};
  }
  known.updated_at = now;
  if (known.weight == 0) {
    known.first.push_back(taken_ms);
    if (known.first.size() >= settings_.first_samples) {
      start_class(known);
    }
    return;
  }
  const double bounded = std::min(taken_ms, settings_.max_sample_ratio * known.mean_ms);
  known.bias += bias_weight * (log_error(taken_ms, known.mean_ms) - known.bias);
  const double kept = known.weight * std::exp2(-age / base::to_ms(settings_.half_life));
  known.weight = std::min(kept + 1.0, 1.0 / settings_.min_weight);
  const double weight = std::abs(known.bias) > max_bias
                            ? settings_.max_weight
                            : std::min(settings_.max_weight, 1.0 / known.weight);
  const double difference = bounded - known.mean_ms;
  known.mean_ms = std::max(known.mean_ms + weight * difference, 1e-3);
  known.variance = (1.0 - weight) * (known.variance + weight * difference * difference);
  add_share(known, bounded, weight);
}

void cost_table::compare_predictions(const class_key& key, double taken_ms,
                                     base::time_point now) {
  class_key general{key.route, key.size_bucket, ""};
  const request_class id{id_of(general), key.account.empty() ? 0 : id_of(key)};
  const cost_class* known = choose_class(id, now);
  if (known != nullptr && typical_ms_ > 0) {
    const double by_class = log_error(taken_ms, known->mean_ms);
    const double by_typical = log_error(taken_ms, typical_ms_);
    add_errors(recent_errors_, by_class * by_class, by_typical * by_typical,
               max_recent);
    add_errors(latest_errors_, by_class * by_class, by_typical * by_typical,
               max_latest);
  }
  const double bounded = typical_ms_ > 0 ? std::min(taken_ms, 4.0 * typical_ms_)
                                         : std::max(taken_ms, 1e-3);
  typical_samples_ = std::min(typical_samples_ + 1.0, max_typical);
  typical_ms_ += (bounded - typical_ms_) / typical_samples_;
}

const cost_class* cost_table::find_class(class_id id, base::time_point now) const {
  const auto found = classes_.find(id);
  const bool usable = found != classes_.end() && found->second.weight > 0 &&
                      now - found->second.updated_at <= settings_.max_age;
  return usable ? &found->second : nullptr;
}

const cost_class* cost_table::choose_class(const request_class& id,
                                           base::time_point now) const {
  const cost_class* general = find_class(id.general, now);
  const cost_class* specific =
      id.specific == 0 ? nullptr : find_class(id.specific, now);
  if (specific == nullptr || general == nullptr) {
    return general;
  }
  const double ratio = specific->mean_ms / general->mean_ms;
  const bool differs = ratio >= settings_.account_difference ||
                       ratio * settings_.account_difference <= 1.0;
  return differs ? specific : general;
}

}  // namespace ibis::cost
