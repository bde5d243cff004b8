/// Counts requests by account, for metrics.
#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <string>   // for string

namespace ibis::access {

/// The number of requests of each account. Accounts come and go with configurations, so
/// that the number of names is bounded: further accounts count together.
class request_counts {
 public:
  static constexpr std::size_t max_names = 1000;

  void add(const std::string& account);
  [[nodiscard]] const std::map<std::string, std::uint64_t>& by_name() const {
    return by_name_;
  }
  /// Requests of accounts beyond the bound.
  [[nodiscard]] std::uint64_t others() const { return others_; }

 private:
  std::map<std::string, std::uint64_t> by_name_;
  std::uint64_t others_ = 0;
};

}  // namespace ibis::access
