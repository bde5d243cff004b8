/// Learns how long leafs take for requests of each class.
#pragma once

#include <array>          // for array
#include <cstddef>        // for size_t
#include <cstdint>        // for uint64_t, uint8_t
#include <optional>       // for optional
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "ibis/base/time.hpp"  // for duration, time_point

namespace ibis::cost {

/// What can be observed of a request before a leaf has it.
struct class_key {
  std::string route;
  std::uint8_t size_bucket = 0;  ///< See `size_bucket_of`.
  std::string account;           ///< Empty for requests of any account.
};

/// Identifies a class in a table; a hash of its key.
using class_id = std::uint64_t;

/// The classes of a request.
struct request_class {
  class_id general = 0;   ///< Route and size. 0 if costs are not learned.
  class_id specific = 0;  ///< Those and the account; 0 without an account.
};

/// Settings of a table.
struct table_settings {
  std::size_t max_classes = 512;
  /// A class is used once it has this many samples. Its first mean is their median, so
  /// that a pause of a leaf at the start has no influence.
  std::size_t first_samples = 8;
  double min_weight = 1.0 / 32;  ///< Weight of a sample in a class with many.
  /// Highest weight of a sample after the first ones: after a break, and while the
  /// latest samples are much above or below the mean.
  double max_weight = 0.2;
  /// A sample counts at most as this multiple of its class's mean.
  double max_sample_ratio = 4.0;
  /// Within this time without samples, the weight of the past ones is halved.
  base::duration half_life = std::chrono::seconds(60);
  base::duration max_age = std::chrono::minutes(10);  ///< Without samples.
  /// An account's own class is used if its mean differs by at least this factor.
  double account_difference = 1.3;
};

/// Upper bounds of sample times from 0.25 ms to 11 s, each sqrt(2) times the previous.
inline constexpr std::size_t residual_buckets = 32;

/// What is known of a class.
struct cost_class {
  class_key key;
  std::vector<double> first;  ///< The first samples, in milliseconds.
  double mean_ms = 0;
  double variance = 0;  ///< In milliseconds squared.
  double weight = 0;    ///< Number of samples, each of which counts less with age.
  double bias = 0;      ///< Mean logarithmic error of the latest predictions.
  base::time_point updated_at{};
  std::array<double, residual_buckets> shares{};  ///< Of the samples, by time.
  // For metrics, since the class was added.
  std::uint64_t answers = 0;  ///< All answers, including those not learned from.
  double expected_ms_sum = 0;
  double actual_ms_sum = 0;
};

/// The expected time that a leaf at usual speed needs for a request alone.
struct work_estimate {
  base::duration mean{0};
  base::duration spread{0};  ///< Standard deviation.
};

/// @return The size bucket of a request; each holds four times the size of the
/// previous.
std::uint8_t size_bucket_of(std::size_t bytes);

/// @return The classes of a request.
request_class classify(const std::string& route, std::size_t bytes,
                       const std::string& account);

/// Mean squares of logarithmic prediction errors.
struct prediction_errors {
  double by_class = 0;    ///< Predicting a sample by its class's mean.
  double by_typical = 0;  ///< Predicting it by the mean over all classes.
  double samples = 0;     ///< Number of samples, up to a limit.
};

/// Holds a bounded number of classes. The one that was updated least recently makes
/// room for a new one.
///
///     cost_table table;
///     table.add({"search", size_bucket_of(200), ""}, milliseconds(20), now);
///     const auto estimate = table.find(classify("search", 200, ""), now);
class cost_table {
 public:
  cost_table() = default;
  explicit cost_table(const table_settings& settings) : settings_(settings) {}

  /// Learns the time that a leaf at usual speed took for a request alone. With an
  /// account, the classes with and without it learn.
  void add(const class_key& key, base::duration taken, base::time_point now);
  /// Counts an answer for the metrics. Does nothing if the class is unknown.
  void count_answer(const request_class& id, base::duration expected,
                    base::duration actual);

  /// @return What a request is expected to need, or nothing if its class is unknown.
  [[nodiscard]] std::optional<work_estimate> find(const request_class& id,
                                                  base::time_point now) const;
  /// @return What a request is still expected to need after a leaf has worked on it for
  /// some time, or nothing if its class is unknown.
  [[nodiscard]] std::optional<base::duration> residual(const request_class& id,
                                                       base::duration age,
                                                       base::time_point now) const;
  /// Whether almost no request of its class took as long: the leaf may be paused.
  [[nodiscard]] bool is_overdue(const request_class& id, base::duration age,
                                base::time_point now) const;
  /// @return The mean over all classes, by their shares of the samples; 0 if there is
  /// none.
  [[nodiscard]] base::duration typical() const;
  /// @return From 0 to 1: whether the classes predict recent times better than the mean
  /// over all classes does.
  [[nodiscard]] double trust() const;

  [[nodiscard]] const std::unordered_map<class_id, cost_class>& classes() const {
    return classes_;
  }

 private:
  cost_class& get_class(const class_key& key, base::time_point now);
  void make_room(base::time_point now);
  void learn(cost_class& known, double taken_ms, base::time_point now) const;
  void compare_predictions(const class_key& key, double taken_ms, base::time_point now);
  [[nodiscard]] const cost_class* find_class(class_id id, base::time_point now) const;
  [[nodiscard]] const cost_class* choose_class(const request_class& id,
                                               base::time_point now) const;

  table_settings settings_;
  std::unordered_map<class_id, cost_class> classes_;
  double typical_ms_ = 0;
  double typical_samples_ = 0;
  /// Over many samples, since noise hides what the classes are worth.
  prediction_errors recent_errors_;
  /// Over few samples, since a table that has become wrong must lose its influence
  /// soon.
  prediction_errors latest_errors_;
};

}  // namespace ibis::cost
