#include "leaf_model.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

namespace ibis::standins {
namespace {

TEST_CASE("Leafs with the same data set have different random seeds") {
  leaf_model_settings first;
  first.name = "leaf-1";
  leaf_model_settings second = first;
  second.name = "leaf-2";
  CHECK(derive_random_seed(first) == derive_random_seed(leaf_model_settings(first)));
  CHECK(derive_random_seed(first) != derive_random_seed(second));
  second = first;
  second.seed = first.seed + 1;
  CHECK(derive_random_seed(first) != derive_random_seed(second));
}

}  // namespace
}  // namespace ibis::standins
