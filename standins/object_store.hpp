/// The stand-in platform's storage: versioned objects with conditional writes and
/// watches.
#pragma once

#include <condition_variable>  // for condition_variable
#include <cstdint>             // for uint64_t
#include <map>                 // for map
#include <mutex>               // for mutex
#include <optional>            // for optional
#include <string>              // for string
#include <vector>              // for vector

#include "ibis/base/time.hpp"  // for milliseconds

namespace ibis::standins {

/// An object; each write gives it a higher version, which is unique in the store.
struct stored_object {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
};

/// Whether a write took effect, or why it did not.
enum class write_outcome : std::uint8_t { ok, conflict, not_found };

/// What must hold for a write to take effect; all writes do by default.
struct write_condition {
  bool must_be_absent = false;           ///< No object has the key yet.
  std::optional<std::uint64_t> version;  ///< The object has this version.
};

/// Versioned objects in memory. All functions may be called from any thread.
class object_store {
 public:
  /// @return The object, or nothing.
  std::optional<stored_object> get(const std::string& key);
  /// @return The object before its last write, to simulate stale reads.
  std::optional<stored_object> get_previous(const std::string& key);
  /// Creates or replaces an object.
  /// @param current Set to the object under the key after the call, whether it was
  /// written or not.
  write_outcome put(const std::string& key, const std::string& value,
                    const write_condition& condition, stored_object& current);
  /// Deletes an object; only `version` of the condition counts.
  write_outcome remove(const std::string& key, const write_condition& condition);
  /// @return The first objects, by key, whose keys start with a prefix.
  std::vector<stored_object> list(const std::string& prefix, std::size_t limit);
  /// Waits until an object has a version above `newer_than`.
  /// @return The object, or nothing after the timeout or `stop`.
  std::optional<stored_object> watch(const std::string& key, std::uint64_t newer_than,
                                     base::milliseconds timeout);
  /// Makes all pending and future watches return immediately.
  void stop();

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, stored_object> objects_;
  std::map<std::string, stored_object> previous_;
  std::uint64_t last_version_ = 0;
  bool stopped_ = false;
};

}  // namespace ibis::standins
