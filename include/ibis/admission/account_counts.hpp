/// Counts by account for the metrics.
#pragma once

#include <cstddef>      // for size_t
#include <cstdint>      // for uint64_t
#include <functional>   // for less
#include <map>          // for map
#include <string>       // for string
#include <string_view>  // for string_view

namespace ibis::admission {

/// Counts for a bounded number of accounts. Those beyond it are counted together.
class account_counts {
 public:
  static constexpr std::size_t max_accounts = 100;
  /// The name under which further accounts are counted.
  static constexpr std::string_view others = "others";

  /// Adds to the count of an account.
  void add(std::string_view account, std::uint64_t count = 1);
  /// @return The counts by account.
  [[nodiscard]] const std::map<std::string, std::uint64_t, std::less<>>& values()
      const {
    return values_;
  }

 private:
  std::map<std::string, std::uint64_t, std::less<>> values_;
};

}  // namespace ibis::admission
