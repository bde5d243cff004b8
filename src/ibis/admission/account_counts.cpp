#include "ibis/admission/account_counts.hpp"

namespace ibis::admission {

void account_counts::add(std::string_view account, std::uint64_t count) {
  const bool known = values_.contains(account);
  const std::string_view name =
      known || values_.size() < max_accounts ? account : others;
  values_[std::string(name)] += count;
}

}  // namespace ibis::admission
