/// Counts the allocations of a test program, as a measure of work that does not depend
/// on the machine's speed. A program that links `allocation_count.cpp` counts.
#pragma once

#include <cstddef>  // for size_t

namespace ibis::tests {

/// @return How many times memory has been allocated since the program started.
std::size_t allocation_count();

}  // namespace ibis::tests
