#include "ibis/admission/account_use.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

#include "ibis/admission/account_counts.hpp"  // for account_counts
#include "ibis/admission/kind_shares.hpp"     // for kind_shares

namespace ibis::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::time_point start{std::chrono::hours(1)};

}  // namespace

TEST_CASE("Use decays, so that a peak is forgotten") {
  // Load: an account that was hot for a while and is quiet again.
  account_use use;
  use.charge("a", milliseconds(100), start);
  use.charge("a", milliseconds(100), start);
  CHECK(use.use_of("a", start) == milliseconds(200));
  CHECK(use.use_of("a", start + seconds(5)) == milliseconds(100));
  CHECK(use.use_of("a", start + std::chrono::hours(10)) == milliseconds(0));
  CHECK(use.use_of("unknown", start) == milliseconds(0));
}

TEST_CASE("A time before the last charge does not raise an account's use") {
  account_use use;
  use.charge("a", milliseconds(100), start);
  CHECK(use.use_of("a", start - seconds(5)) == milliseconds(100));
}

TEST_CASE("A negative cost charges nothing") {
  account_use use;
  use.charge("a", milliseconds(-100), start);
  CHECK(use.use_of("a", start) == milliseconds(0));
}

TEST_CASE("The median is that of the accounts that are in use") {
  account_use use;
  CHECK(use.median_use({}, start) == milliseconds(0));
  use.charge("hot", milliseconds(500), start);
  CHECK(use.median_use({}, start) == milliseconds(0));
  use.charge("quiet", milliseconds(50), start);
  CHECK(use.median_use({}, start) == milliseconds(50));
  use.charge("idle", milliseconds(1), start);
  use.charge("idle too", milliseconds(1), start);
  CHECK(use.median_use({}, start) == milliseconds(1));
  CHECK(use.median_use(milliseconds(5), start) == milliseconds(50));
}

TEST_CASE("A full table forgets the account that has used the least") {
  // Load: more accounts than the table holds. The hot account must not get a new start
  // because many others come.
  account_use use(use_settings{seconds(5), 10});
  use.charge("hot", seconds(1), start);
  for (int i = 0; i < 1000; ++i) {
    use.charge("account-" + std::to_string(i), milliseconds(10), start);
  }
  CHECK(use.size() == 10);
  CHECK(use.use_of("hot", start) == seconds(1));
  CHECK(use.use_of("account-999", start) == milliseconds(10));
}

TEST_CASE("The share that a kind lost decays as its tasks are sent") {
  kind_shares kinds;
  CHECK(kinds.lost_share("a") == 0);
  kinds.count_lost("a", start);
  CHECK(kinds.lost_share("a") < 0.2);  // One loss says little.
  for (int i = 0; i < 100; ++i) {
    kinds.count_lost("a", start);
  }
  CHECK(kinds.lost_share("a") > 0.9);
  for (int i = 0; i < 100; ++i) {
    kinds.count_started("a", start + seconds(20));
  }
  CHECK(kinds.lost_share("a") < 0.1);
}

TEST_CASE("The table of kinds is bounded") {
  // Load: a holder gets the names of routes from other nodes.
  kind_shares kinds;
  for (int i = 0; i < 1000; ++i) {
    kinds.count_lost("route-" + std::to_string(i), start + milliseconds(i));
  }
  CHECK(kinds.size() == kind_shares::max_kinds);
  CHECK(kinds.lost_share("route-999") > 0);
  CHECK(kinds.lost_share("route-0") == 0);
}

TEST_CASE("Counts of more accounts than the bound are counted together") {
  // Load: a holder gets the names of accounts from other nodes, and every name is a
  // line of the metrics.
  account_counts counts;
  for (int i = 0; i < 1000; ++i) {
    counts.add("account-" + std::to_string(i));
  }
  CHECK(counts.values().size() == account_counts::max_accounts + 1);
  CHECK(counts.values().find(account_counts::others)->second ==
        1000 - account_counts::max_accounts);
  counts.add("account-0", 2);
  CHECK(counts.values().find("account-0")->second == 3);
}

}  // namespace ibis::admission
