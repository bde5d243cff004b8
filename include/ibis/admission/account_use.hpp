/// How much of the leafs' time each client account has used recently.
#pragma once

#include <cstddef>      // for size_t
#include <functional>   // for less
#include <map>          // for map
#include <string>       // for string
#include <string_view>  // for string_view

#include "ibis/base/time.hpp"  // for duration, time_point

namespace ibis::admission {

/// Settings of the table of recent use.
struct use_settings {
  /// Use counts half after this time, so that a peak of some seconds is remembered for
  /// about as long as it lasts.
  base::milliseconds half_life{5000};
  /// Largest number of accounts in the table. Of more, those that have used the least
  /// are forgotten.
  std::size_t max_accounts = 256;
};

/// Recent use by account, in expected time of leafs. Use decays exponentially. Accounts
/// that are not in the table have used nothing.
///
///     account_use use;
///     use.charge("acme", expected_cost, now);
///     if (use.use_of("acme", now) > use.use_of("other", now)) { /* other first */ }
class account_use {
 public:
  account_use() = default;
  explicit account_use(const use_settings& settings) : settings_(settings) {}

  /// Adds the cost of work that is sent for an account. Requests without an account
  /// share the empty name.
  void charge(std::string_view account, base::duration cost, base::time_point now);
  /// @return The recent use of an account.
  [[nodiscard]] base::duration use_of(std::string_view account,
                                      base::time_point now) const;
  /// @return The median of the accounts' recent use; of two, the lower one, and of
  /// one alone nothing: others that come have used nothing.
  /// @param at_least Accounts that have used less do not count.
  [[nodiscard]] base::duration median_use(base::duration at_least,
                                          base::time_point now) const;
  /// @return The number of accounts in the table.
  [[nodiscard]] std::size_t size() const { return records_.size(); }

 private:
  struct record {
    double use_ns = 0;
    base::time_point updated_at{};
  };
  [[nodiscard]] double decayed(const record& value, base::time_point now) const;
  void make_room(base::time_point now);

  use_settings settings_;
  std::map<std::string, record, std::less<>> records_;
};

}  // namespace ibis::admission
