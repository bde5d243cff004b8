#include "ibis/base/quantile.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

namespace ibis::base {

TEST_CASE("A quantile is a value, and 0 without values") {
  CHECK(quantile_of({1, 2, 3, 4, 5}, 0) == 1);
  CHECK(quantile_of({1, 2, 3, 4, 5}, 0.5) == 3);
  CHECK(quantile_of({1, 2, 3, 4, 5}, 1) == 5);
  CHECK(quantile_of({7}, 0.99) == 7);
  CHECK(quantile_of({}, 0.5) == 0);
}

}  // namespace ibis::base
