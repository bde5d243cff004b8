#include "object_store.hpp"

namespace ibis::standins {

std::optional<stored_object> object_store::get(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = objects_.find(key);
  return found == objects_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<stored_object> object_store::get_previous(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = previous_.find(key);
  return found == previous_.end() ? std::nullopt : std::optional(found->second);
}

write_outcome object_store::put(const std::string& key, const std::string& value,
                                const write_condition& condition,
                                stored_object& current) {
  const std::lock_guard lock(mutex_);
  const auto found = objects_.find(key);
  const bool exists = found != objects_.end();
  if (exists && condition.must_be_absent) {
    current = found->second;
    return write_outcome::conflict;
  }
  if (condition.version && (!exists || found->second.version != *condition.version)) {
    current = exists ? found->second : stored_object{key, 0, ""};
    return exists ? write_outcome::conflict : write_outcome::not_found;
  }
  if (exists) {
    previous_[key] = found->second;
  }
  current = {key, ++last_version_, value};
  objects_[key] = current;
  changed_.notify_all();
  return write_outcome::ok;
}

write_outcome object_store::remove(const std::string& key,
                                   const write_condition& condition) {
  const std::lock_guard lock(mutex_);
  const auto found = objects_.find(key);
  if (found == objects_.end()) {
    return write_outcome::not_found;
  }
  if (condition.version && found->second.version != *condition.version) {
    return write_outcome::conflict;
  }
  objects_.erase(found);
  return write_outcome::ok;
}

std::vector<stored_object> object_store::list(const std::string& prefix,
                                              std::size_t limit) {
  const std::lock_guard lock(mutex_);
  std::vector<stored_object> matching;
  for (auto item = objects_.lower_bound(prefix); item != objects_.end(); ++item) {
    if (item->first.compare(0, prefix.size(), prefix) != 0 ||
        matching.size() >= limit) {
      break;
    }
    matching.push_back(item->second);
  }
  return matching;
}

std::optional<stored_object> object_store::watch(const std::string& key,
                                                 std::uint64_t newer_than,
                                                 base::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  const auto newer = [&] {
    const auto found = objects_.find(key);
    return stopped_ || (found != objects_.end() && found->second.version > newer_than);
  };
  changed_.wait_for(lock, timeout, newer);
  const auto found = objects_.find(key);
  if (found == objects_.end() || found->second.version <= newer_than) {
    return std::nullopt;
  }
  return found->second;
}

void object_store::stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  changed_.notify_all();
}

}  // namespace ibis::standins
