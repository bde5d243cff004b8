/// The order of hits in an answer.
#pragma once

#include <cstddef>  // for size_t
#include <vector>   // for vector

#include "ibis/wire/messages.hpp"  // for hit

namespace ibis::policy {

/// Puts the best hits first and drops the others. Equal scores are ordered by id, so
/// that the same hits always give the same answer.
void keep_best(std::vector<wire::hit>& hits, std::size_t limit);

}  // namespace ibis::policy
