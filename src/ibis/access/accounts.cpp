#include "ibis/access/accounts.hpp"

#include <algorithm>  // for find_if

namespace ibis::access {

const account* find_account(const account_table& table, std::string_view key) {
  const auto found = table.by_key.find(std::string(key));
  return found == table.by_key.end() ? nullptr : &table.accounts[found->second];
}

const account* find_account_by_name(const account_table& table, std::string_view name) {
  const auto found =
      std::find_if(table.accounts.begin(), table.accounts.end(),
                   [name](const account& candidate) { return candidate.name == name; });
  return found == table.accounts.end() ? nullptr : &*found;
}

}  // namespace ibis::access
