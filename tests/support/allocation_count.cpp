#include "allocation_count.hpp"

#include <atomic>   // for atomic
#include <cstdlib>  // for free, malloc
#include <new>      // for bad_alloc

namespace {

std::atomic<std::size_t> allocations{0};

}  // namespace

void* operator new(std::size_t size) {
  ++allocations;
  if (void* memory = std::malloc(size == 0 ? 1 : size)) {
    return memory;
  }
  throw std::bad_alloc();
}

void operator delete(void* memory) noexcept {
  std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace ibis::tests {

std::size_t allocation_count() {
  return allocations;
}

}  // namespace ibis::tests
