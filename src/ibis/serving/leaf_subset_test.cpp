#include "ibis/serving/leaf_subset.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

namespace ibis::serving {
namespace {

leaf_ptr make_leaf(const std::string& id) {
  auto leaf = std::make_shared<leaf_state>();
  leaf->record.id = id;
  return leaf;
}

}  // namespace

// Guards against a leaf that leaves and is named to holders as one that may get
// requests.
TEST_CASE("A leaf that takes no new work is not among those allowed for a request") {
  constexpr base::time_point now{std::chrono::hours(1)};
  const leaf_ptr draining = make_leaf("draining");
  draining->record.draining = true;
  const leaf_ptr leaving = make_leaf("leaving");
  leaving->leaving = true;
  const leaf_ptr ready = make_leaf("ready");
  const std::vector<leaf_ptr> allowed =
      choose_allowed_leafs({draining, leaving, ready}, "r1", "zone", 2, now);
  CHECK(allowed == std::vector<leaf_ptr>{ready});
}

}  // namespace ibis::serving
