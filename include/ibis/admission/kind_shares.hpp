/// Which share of the tasks of each kind of request was lost in a queue recently.
#pragma once

#include <cstddef>      // for size_t
#include <functional>   // for less
#include <map>          // for map
#include <string>       // for string
#include <string_view>  // for string_view

#include "ibis/base/time.hpp"  // for time_point

namespace ibis::admission {

/// Recent outcomes of waiting tasks by kind of request, which decay exponentially. By
/// age alone, the kind that may wait longest is served more often than others in a
/// queue that is too long for all of them.
class kind_shares {
 public:
  /// Largest number of kinds in the table. Of more, the one that was counted longest
  /// ago is forgotten.
  static constexpr std::size_t max_kinds = 64;

  /// Counts a task that was sent to a leaf.
  void count_started(std::string_view kind, base::time_point now);
  /// Counts a task that was given up while it waited.
  void count_lost(std::string_view kind, base::time_point now);
  /// @return The share of the kind's tasks that were lost, from 0 to 1. Kinds of which
  /// little is known count as having lost few.
  [[nodiscard]] double lost_share(std::string_view kind) const;
  /// @return The number of kinds in the table.
  [[nodiscard]] std::size_t size() const { return records_.size(); }

 private:
  struct record {
    double started = 0;
    double lost = 0;
    base::time_point updated_at{};
  };
  record& updated_record(std::string_view kind, base::time_point now);

  std::map<std::string, record, std::less<>> records_;
};

}  // namespace ibis::admission
