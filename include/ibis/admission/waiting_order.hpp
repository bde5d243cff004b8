/// The order of the tasks that wait for a leaf of one service, and which of them can no
/// longer end in time.
#pragma once

#include <cstddef>      // for size_t
#include <cstdint>      // for uint32_t
#include <optional>     // for optional
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "ibis/admission/account_use.hpp"  // for account_use
#include "ibis/admission/kind_shares.hpp"  // for kind_shares
#include "ibis/base/time.hpp"              // for duration, time_point

namespace ibis::admission {

/// An entry moves up one priority level each time it has waited for this share of the
/// time that it can wait, up to the most urgent level.
inline constexpr double aging_share = 0.25;

/// A task that waits for a leaf.
struct waiting_entry {
  bool critical = false;       ///< Its request fails without it.
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  std::string_view account;    ///< Empty if there is none.
  std::string_view kind;       ///< The request's route.
  /// Expected time of a leaf for the task; 0 if it is not known.
  base::duration expected_cost{0};
  /// Expected time of leafs for all tasks of its request at this node.
  base::duration request_cost{0};
  base::time_point arrived{};   ///< When its request arrived.
  base::time_point deadline{};  ///< When its request ends without it.
  /// A start after this time is of no use. See `latest_useful_start`.
  base::time_point latest_start{};
  bool ages = true;  ///< It moves up while it waits.
};

/// @return The latest start of a task whose answer is used.
/// @param objective_deadline When a request that has enough shards is answered.
/// @param deadline When a request ends that lacks the task, if it is critical.
base::time_point latest_useful_start(bool critical, base::duration expected_cost,
                                     base::time_point objective_deadline,
                                     base::time_point deadline);

/// Whether an entry that starts now can still end in time.
bool can_end_in_time(const waiting_entry& entry, base::time_point now);

/// What the order depends on beside the entries.
struct queue_history {
  const account_use& accounts;  // NOLINT(*-avoid-const-or-ref-data-members)
  const kind_shares& kinds;     // NOLINT(*-avoid-const-or-ref-data-members)
};

/// @return The index of the entry to start next, or nothing if there is none. The
/// order:
/// - critical entries;
/// - the most urgent ones;
/// - those of the account that has used the fewest turns beyond its allowance. Accounts
///   take turns as in deficit round robin, where a turn is worth the most expensive
///   request that waits. The allowance is a little more than the accounts' median use;
/// - those that have aged, that is, waited for `aging_share` of the time that they can
///   wait: first the kind of which the largest share was lost recently, then those that
///   have waited for the largest share;
/// - the position.
/// Without accounts and before any entry has aged, this is the order by criticality,
/// priority and position.
std::optional<std::size_t> next_entry(const std::vector<waiting_entry>& waiting,
                                      const queue_history& history,
                                      base::time_point now);

/// The leafs of a service, as far as they limit how fast its queue moves.
struct service_capacity {
  double slots = 0;  ///< How many requests this node may have at the leafs at once.
  bool has_room = false;  ///< A leaf can take a request now.
};

/// @return How long an entry waits at least for those that are ahead of it. Entries of
/// unknown cost count as nothing, and so does what the leafs are working on.
base::duration expected_wait(const std::vector<waiting_entry>& waiting,
                             const waiting_entry& entry, double slots,
                             const queue_history& history, base::time_point now);

/// Whether an entry that would have to wait cannot start before its deadline. False if
/// that is not known for certain: a leaf has room, or costs or slots are unknown.
bool must_be_refused(const std::vector<waiting_entry>& waiting,
                     const waiting_entry& entry, const service_capacity& capacity,
                     const queue_history& history, base::time_point now);

}  // namespace ibis::admission
