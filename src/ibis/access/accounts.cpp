#include "ibis/access/accounts.hpp"

#include <algorithm>      // for all_of, find_if, min
#include <cmath>          // for isfinite
#include <unordered_set>  // for unordered_set
#include <utility>        // for move

namespace ibis::access {
namespace {

/// A name is a part of each request to a leaf, whose header is limited.
constexpr std::size_t max_name_size = 256;

/// Whether a name is received as it was sent in a header field: a line break would add
/// a field, and blanks around the value are removed.
bool is_usable_name(const std::string& name) {
  constexpr unsigned char first_printable = 0x20;
  constexpr unsigned char delete_character = 0x7f;
  if (name.empty() || name.size() > max_name_size || name.front() == ' ' ||
      name.back() == ' ') {
    return false;
  }
  return std::all_of(name.begin(), name.end(), [](char character) {
    const auto byte = static_cast<unsigned char>(character);
    return byte >= first_printable && byte != delete_character;
  });
}

double usable_limit(double value, const std::string& name, const char* problem,
                    const account_warning& warn) {
  // Greater limits are errors of their writer, and cannot be reached.
  constexpr double max_limit = 1e6;
  if (std::isfinite(value) && value >= 0) {
    return std::min(value, max_limit);
  }
  warn(name, problem);
  return 0;
}

account checked(const account& stated, const account_warning& warn) {
  account value = stated;
  value.rate_per_s = usable_limit(stated.rate_per_s, stated.name,
                                  "invalid rate, no limit is applied", warn);
  value.burst =
      usable_limit(stated.burst, stated.name, "invalid burst, none is applied", warn);
  return value;
}

/// Collects the accounts and their keys.
class table_builder {
 public:
  explicit table_builder(const account_warning& warn) : warn_(warn) {}

  void add(const account_entry& entry) {
    const std::string& name = entry.value.name;
    if (!is_usable_name(name)) {
      warn_("", "the name cannot stand in a header field: no account");
      return;
    }
    const auto [found, added] = by_name_.emplace(name, table_.accounts.size());
    if (added) {
      table_.accounts.push_back(checked(entry.value, warn_));
    } else {
      warn_(name, "the name is repeated: only keys are added");
    }
    for (const std::string& key : entry.keys) {
      add_key(key, found->second);
    }
  }

  account_table take() { return std::move(table_); }

 private:
  void add_key(const std::string& key, std::size_t owner) {
    const std::string& name = table_.accounts[owner].name;
    if (key.empty()) {
      warn_(name, "a key is empty: it is left out");
      return;
    }
    if (ambiguous_.contains(key)) {
      warn_(name, "a key belongs to several accounts: it is left out");
      return;
    }
    const auto [found, added] = table_.by_key.emplace(key, owner);
    if (!added && found->second != owner) {
      warn_(name, "a key belongs to several accounts: it is left out");
      table_.by_key.erase(found);
      ambiguous_.insert(key);
    }
  }

  const account_warning& warn_;  // NOLINT(*-avoid-const-or-ref-data-members)
  account_table table_;
  std::unordered_map<std::string, std::size_t> by_name_;
  std::unordered_set<std::string> ambiguous_;  ///< Keys of several accounts.
};

}  // namespace

account_table make_account_table(const std::vector<account_entry>& entries,
                                 const account_warning& warn) {
  table_builder builder(warn);
  for (const account_entry& entry : entries) {
    builder.add(entry);
  }
  return builder.take();
}

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
