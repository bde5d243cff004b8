/// Ranks the hits of an answer.
#pragma once

#include <cstddef>  // for size_t
#include <vector>   // for vector

#include "ibis/wire/messages.hpp"  // for hit

namespace ibis::policy {

/// Sorts the hits by descending score and keeps the first `limit` of them. Equal scores
/// are ordered by id, so that the same hits always give the same answer.
void keep_top_hits(std::vector<wire::hit>& hits, std::size_t limit);

}  // namespace ibis::policy
