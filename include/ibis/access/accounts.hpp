/// The client accounts of a configuration, and which access key belongs to which.
#pragma once

#include <cstddef>        // for size_t
#include <cstdint>        // for uint32_t
#include <functional>     // for function
#include <optional>       // for optional
#include <string>         // for string
#include <string_view>    // for string_view
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

namespace ibis::access {

/// A client account.
struct account {
  std::string name;
  /// 0 is the most urgent. Replaces the route's priority if it is set.
  std::optional<std::uint32_t> priority;
  double rate_per_s = 0;  ///< Requests per second over all nodes; 0 for no limit.
  double burst = 0;       ///< Requests beyond the rate that may come at once.
};

/// All accounts of a configuration.
struct account_table {
  std::vector<account> accounts;
  std::unordered_map<std::string, std::size_t> by_key;  ///< Indices into `accounts`.
};

/// An account as a configuration states it, before it was checked.
struct account_entry {
  account value;
  std::vector<std::string> keys;
};

/// Is called with the name of an account and what is wrong with it.
using account_warning = std::function<void(const std::string&, const char*)>;

/// Builds the table of a configuration's accounts. An entry whose name cannot stand in
/// a header field defines no account. Of entries with the same name the first counts,
/// and the keys of all are its keys. A key that two accounts state identifies neither,
/// and an empty key never matches. A rate or burst that is negative or not finite is 0.
account_table make_account_table(const std::vector<account_entry>& entries,
                                 const account_warning& warn);

/// @return The account that an access key belongs to, or nullptr.
const account* find_account(const account_table& table, std::string_view key);

/// @return The account with a name, or nullptr.
const account* find_account_by_name(const account_table& table, std::string_view name);

}  // namespace ibis::access
