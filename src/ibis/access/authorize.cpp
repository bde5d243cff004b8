#include "ibis/access/authorize.hpp"

namespace ibis::access {
namespace {

bool is_too_old(const access_query& query, const access_settings& settings,
                bool known) {
  const bool revocable =
      settings.strict_revocation && query.view_age > settings.revocation_limit;
  return revocable || (!known && query.view_age > settings.view_limit);
}

}  // namespace

access_decision authorize(const account_table& table, const access_query& query,
                          const access_settings& settings) {
  const bool stated = query.key && !query.key->empty();
  const account* found = stated ? find_account(table, *query.key) : nullptr;
  if (query.allow_anonymous) {
    return found == nullptr ? access_decision{access_result::anonymous, nullptr}
                            : access_decision{access_result::account, found};
  }
  if (!stated) {
    return {access_result::unknown_key, nullptr};
  }
  if (is_too_old(query, settings, found != nullptr)) {
    return {access_result::view_too_old, nullptr};
  }
  return found == nullptr ? access_decision{access_result::unknown_key, nullptr}
                          : access_decision{access_result::account, found};
}

}  // namespace ibis::access
