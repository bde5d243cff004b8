#include "ibis/admission/waiting_order.hpp"

#include <algorithm>  // for max, min
#include <tuple>      // for tie

namespace ibis::admission {
namespace {

/// What an account may have used before its turns count: this multiple of the median
/// use of all accounts, and some turns more. Accounts with the same rate differ by
/// chance; with no allowance, these differences order them, and the p99 of 41 such
/// accounts at 80% load is 252 ms rather than 105 ms.
constexpr double allowed_multiple = 1.25;
constexpr int allowed_turns = 4;
/// Accounts that have used less than this share of a turn do not count for the median.
constexpr int idle_divisor = 10;

/// Where an entry stands; the lowest goes first.
struct rank {
  bool deferrable = false;
  std::uint32_t level = 0;
  std::int64_t turns = 0;  ///< That its account has used beyond its allowance.
  bool fresh = true;       ///< It has not aged.
  /// Both are 0 unless the entry has aged.
  double negated_loss = 0;
  double negated_age = 0;

  bool operator<(const rank& other) const {
    return std::tie(deferrable, level, turns, fresh, negated_loss, negated_age) <
           std::tie(other.deferrable, other.level, other.turns, other.fresh,
                    other.negated_loss, other.negated_age);
  }
};

/// @return How long the entry has waited, as a share of how long it can wait.
/// 0 for one that does not age.
double share_waited(const waiting_entry& entry, base::time_point now) {
  if (!entry.ages) {
    return 0;
  }
  constexpr base::duration shortest_wait = base::milliseconds(1);
  return base::to_ms(now - entry.arrived) /
         base::to_ms(std::max(shortest_wait, entry.latest_start - entry.arrived));
}

/// Orders the entries of one service at one time.
class ranking {
 public:
  /// @param further An entry that may not be among those that wait, or nullptr.
  ranking(const std::vector<waiting_entry>& waiting, const waiting_entry* further,
          const queue_history& history, base::time_point now)
      : history_(&history), now_(now) {
    const waiting_entry* first = further;
    for (const waiting_entry& entry : waiting) {
      first = first == nullptr ? &entry : first;
      include(entry, *first);
    }
    if (further != nullptr) {
      include(*further, *first);
    }
    if (several_accounts_) {
      const base::duration median =
          history.accounts.median_use(turn_ / idle_divisor, now);
      allowance_ = std::chrono::duration_cast<base::duration>(
          allowed_multiple * median + allowed_turns * turn_);
    }
  }
  [[nodiscard]] rank rank_of(const waiting_entry& entry) const {
    const double share = share_waited(entry, now_);
    const double levels = std::max(0.0, share / aging_share);
    const auto gained = static_cast<std::uint32_t>(
        std::min(levels, static_cast<double>(entry.priority)));
    rank value;
    value.deferrable = !entry.critical;
    value.level = entry.priority - gained;
    value.turns = several_accounts_ ? turns_of(entry.account) : 0;
    value.fresh = share < aging_share;
    if (!value.fresh) {
      value.negated_loss = -history_->kinds.lost_share(entry.kind);
      value.negated_age = -share;
    }
    return value;
  }

 private:
  void include(const waiting_entry& entry, const waiting_entry& first) {
    turn_ = std::max(turn_, entry.request_cost);
    several_accounts_ = several_accounts_ || entry.account != first.account;
  }
  [[nodiscard]] std::int64_t turns_of(std::string_view account) const {
    const base::duration beyond = history_->accounts.use_of(account, now_) - allowance_;
    return std::max(base::duration(0), beyond) / turn_;
  }

  const queue_history* history_;
  base::time_point now_;
  base::duration turn_ = base::milliseconds(1);
  base::duration allowance_{0};
  bool several_accounts_ = false;
};

}  // namespace

base::time_point latest_useful_start(bool critical, base::duration expected_cost,
                                     base::time_point objective_deadline,
                                     base::time_point deadline) {
  return (critical ? deadline : objective_deadline) - expected_cost;
}

bool can_end_in_time(const waiting_entry& entry, base::time_point now) {
  return now < entry.latest_start;
}

std::optional<std::size_t> next_entry(const std::vector<waiting_entry>& waiting,
                                      const queue_history& history,
                                      base::time_point now) {
  const ranking order(waiting, nullptr, history, now);
  std::optional<std::size_t> first;
  rank lowest;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    const rank value = order.rank_of(waiting[i]);
    if (!first || value < lowest) {
      first = i;
      lowest = value;
    }
  }
  return first;
}

base::duration expected_wait(const std::vector<waiting_entry>& waiting,
                             const waiting_entry& entry, double slots,
                             const queue_history& history, base::time_point now) {
  const ranking order(waiting, &entry, history, now);
  const rank own = order.rank_of(entry);
  base::duration work{0};
  for (const waiting_entry& other : waiting) {
    // What can no longer end in time is given up when its turn comes.
    const bool ahead = can_end_in_time(other, now) && !(own < order.rank_of(other));
    work += ahead ? other.expected_cost : base::duration(0);
  }
  const std::chrono::duration<double, base::duration::period> wait = work / slots;
  return std::chrono::duration_cast<base::duration>(wait);
}

bool must_be_refused(const std::vector<waiting_entry>& waiting,
                     const waiting_entry& entry, const service_capacity& capacity,
                     const queue_history& history, base::time_point now) {
  const bool known = capacity.slots > 0 && entry.expected_cost > base::duration(0);
  return known && !capacity.has_room &&
         expected_wait(waiting, entry, capacity.slots, history, now) >
             entry.deadline - now;
}

}  // namespace ibis::admission
