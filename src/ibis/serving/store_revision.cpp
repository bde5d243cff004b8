#include "ibis/serving/store_revision.hpp"

namespace ibis::serving {

std::string to_string(const store_revision& revision) {
  return std::to_string(revision.era) + '/' + std::to_string(revision.number);
}

}  // namespace ibis::serving
