/// Decides whether a client's request may be served, and for which account.
#pragma once

#include <cstdint>      // for uint8_t
#include <optional>     // for optional
#include <string_view>  // for string_view

#include "ibis/access/accounts.hpp"  // for account, account_table
#include "ibis/base/time.hpp"        // for milliseconds

namespace ibis::access {

/// Settings of access control.
struct access_settings {
  /// An unknown key is only refused for good if the configuration was known to match
  /// the store's at most this long ago. Another node may know the key otherwise.
  base::milliseconds view_limit{3000};
  /// Whether known keys too need a configuration that is recent enough.
  bool strict_revocation = false;
  base::milliseconds revocation_limit{5000};  ///< Its greatest age if so.
};

/// What a request states and what its route asks for.
struct access_query {
  bool allow_anonymous = false;  ///< The route needs no key.
  /// The request's only key; nothing if it has none, or several.
  std::optional<std::string_view> key;
  base::milliseconds view_age{0};  ///< Of the configuration.
};

/// What to do with a request.
enum class access_result : std::uint8_t {
  account,       ///< Serve it for the account of its key.
  anonymous,     ///< Serve it without an account.
  unknown_key,   ///< Refuse it: no account has the key, or there is none.
  view_too_old,  ///< Refuse it for now: another node may know better.
};

/// The decision on a request.
struct access_decision {
  access_result result = access_result::unknown_key;
  /// Points into the table. Set for `access_result::account` only.
  const access::account* account = nullptr;
};

/// Decides on a request. A request without a usable key is refused whatever the view's
/// age, since no version of the configuration can know it.
access_decision authorize(const account_table& table, const access_query& query,
                          const access_settings& settings);

}  // namespace ibis::access
