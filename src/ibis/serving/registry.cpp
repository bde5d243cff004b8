#include "ibis/serving/registry.hpp"

#include <algorithm>      // for count_if, reverse
#include <string>         // for string
#include <unordered_set>  // for unordered_set

#include "ibis/serving/connections.hpp"    // for close_idle
#include "ibis/serving/evacuations.hpp"    // for is_evacuated
#include "ibis/serving/waiting_tasks.hpp"  // for dispatch_waiting_tasks

namespace ibis::serving {
namespace {

/// More removals than this in one batch of changes look like records that expired
/// together, except those of leafs that were draining.
constexpr std::size_t max_unrelated_removals = 3;

/// Removes a leaf from its service, so that it gets no new work.
void detach(const leaf_ptr& leaf, context& ctx) {
  ctx.node.holders_outdated = true;
  std::erase(ctx.node.services[leaf->record.service].leafs, leaf);
  leaf->registration = leaf_registration::removed;
  close_idle(*leaf, ctx);
}

void log_leaf(const char* name, const leaf_state& leaf, context& ctx) {
  ctx.log(name, {{"leaf", leaf.record.id},
                 {"service", leaf.record.service},
                 {"address", leaf.record.address},
                 {"availability_zone", leaf.record.availability_zone},
                 {"started_at", std::to_string(leaf.record.started_at.count())}});
}

void remove_leaf(const std::string& id, context& ctx) {
  const auto found = ctx.node.leafs.find(id);
  if (found == ctx.node.leafs.end()) {
    return;
  }
  const leaf_ptr leaf = found->second;
  ctx.node.leafs.erase(found);
  detach(leaf, ctx);
  log_leaf("leaf_gone", *leaf, ctx);
  dispatch_waiting_tasks(leaf->record.service, ctx);
}

/// Remembers a leaf's notice, unless one of a later start is known.
void remember_notice(const std::string& id, base::milliseconds started_at,
                     context& ctx) {
  leaving_notice& notice = ctx.node.leaving_notices[id];
  if (notice.started_at <= started_at) {
    notice = {started_at, ctx.now};
  }
}

/// Whether this start of a leaf has said that it leaves. A later start has not.
bool has_said_leaving(const leaf_record& record, context& ctx) {
  const auto found = ctx.node.leaving_notices.find(record.id);
  return found != ctx.node.leaving_notices.end() &&
         found->second.started_at == record.started_at;
}

void add_leaf(const leaf_record& record, context& ctx) {
  const auto leaf = std::make_shared<leaf_state>();
  leaf->record = record;
  leaf->key = ctx.next_id();
  leaf->joined_at = ctx.now;
  leaf->concurrency_limit = ctx.node.settings.leafs.initial_limit;
  leaf->warming_until = ctx.now + record.warm_up;
  leaf->leaving = has_said_leaving(record, ctx);
  leaf->evacuated = is_evacuated(ctx.node, record.availability_zone);
  ctx.node.leafs[record.id] = leaf;
  ctx.node.holders_outdated = true;
  ctx.node.services[record.service].leafs.push_back(leaf);
  log_leaf("leaf_joined", *leaf, ctx);
  dispatch_waiting_tasks(record.service, ctx);
}

bool is_same_incarnation(const leaf_record& before, const leaf_record& after) {
  return before.started_at == after.started_at && before.service == after.service &&
         before.address == after.address;
}

/// Whether a record was written before the known one: by an earlier incarnation, or
/// before the leaf began to drain, which it never takes back. A store that was restored
/// from a copy has such records.
bool is_outdated(const leaf_record& before, const leaf_record& after) {
  const bool same_start = after.started_at == before.started_at;
  const bool undoes_draining = before.draining && !after.draining;
  return after.started_at < before.started_at ||
         (same_start && undoes_draining && after.sequence < before.sequence);
}

void update_leaf(const leaf_ptr& leaf, const leaf_record& record, context& ctx) {
  const bool starts_draining = record.draining && !leaf->record.draining;
  leaf->record = record;
  leaf->registration = leaf_registration::active;
  leaf->warming_until = ctx.now + record.warm_up;
  const bool was_evacuated = leaf->evacuated;
  leaf->evacuated = is_evacuated(ctx.node, record.availability_zone);
  if (starts_draining) {
    log_leaf("leaf_draining", *leaf, ctx);
  }
  const bool changes_service = leaf->evacuated != was_evacuated;
  ctx.node.holders_outdated = ctx.node.holders_outdated || changes_service;
  if (starts_draining || leaf->evacuated) {
    close_idle(*leaf, ctx);
  }
  if (starts_draining || changes_service) {
    dispatch_waiting_tasks(record.service, ctx);
  }
}

void apply_record(const leaf_record& record, context& ctx) {
  const auto found = ctx.node.leafs.find(record.id);
  if (found == ctx.node.leafs.end()) {
    add_leaf(record, ctx);
    return;
  }
  const leaf_ptr leaf = found->second;
  if (is_outdated(leaf->record, record)) {
    log_leaf("outdated_record_ignored", *leaf, ctx);
    return;
  }
  if (is_same_incarnation(leaf->record, record)) {
    update_leaf(leaf, record, ctx);
    return;
  }
  remove_leaf(record.id, ctx);
  add_leaf(record, ctx);
}

/// Whether the store is unavailable or became available just recently, so that missing
/// records may come back.
bool is_store_unreliable(const node_state& node, base::time_point now) {
  return node.store_unavailable ||
         (node.store_recovered_at != base::time_point{} &&
          now - node.store_recovered_at < node.settings.store.outage_hold);
}

base::time_point choose_removal_time(const node_state& node, base::time_point now) {
  if (!is_store_unreliable(node, now)) {
    return now + node.settings.store.bulk_removal_hold;
  }
  const base::milliseconds hold = node.settings.store.outage_hold;
  const bool recovered_recently = node.store_recovered_at != base::time_point{} &&
                                  now - node.store_recovered_at < hold;
  return (recovered_recently ? node.store_recovered_at : now) + hold;
}

void mark_expired(const leaf_ptr& leaf, context& ctx) {
  if (leaf->registration == leaf_registration::expired) {
    return;
  }
  leaf->registration = leaf_registration::expired;
  leaf->remove_at = choose_removal_time(ctx.node, ctx.now);
  ctx.add_timer(leaf->remove_at, timer_kind::remove_expired);
  log_leaf("leaf_record_expired", *leaf, ctx);
}

/// Handles the removal of a record. The record of a leaf that drains or leaves is
/// certainly removed for good, so that the leaf is removed at once.
/// @param may_be_expiry Whether the record may only have expired and come back.
void apply_removal(const std::string& id, bool may_be_expiry, context& ctx) {
  const auto found = ctx.node.leafs.find(id);
  if (found == ctx.node.leafs.end()) {
    return;
  }
  const leaf_state& leaf = *found->second;
  const bool is_going = leaf.record.draining || leaf.leaving;
  if (may_be_expiry && !is_going) {
    mark_expired(found->second, ctx);
    return;
  }
  if (leaf.record.draining) {
    // A store that is restored from a copy may list it again.
    remember_notice(id, leaf.record.started_at, ctx);
  }
  remove_leaf(id, ctx);
}

/// @return The last change of each leaf. Earlier ones may be repeated and outdated.
std::vector<leaf_change> latest_changes(const std::vector<leaf_change>& received) {
  std::unordered_set<std::string> seen;
  std::vector<leaf_change> latest;
  for (auto change = received.rbegin(); change != received.rend(); ++change) {
    if (seen.insert(change->id).second) {
      latest.push_back(*change);
    }
  }
  std::reverse(latest.begin(), latest.end());
  return latest;
}

}  // namespace

void apply_listing(const std::vector<leaf_change>& listed, context& ctx) {
  std::unordered_set<std::string> listed_ids;
  for (const leaf_change& change : listed) {
    if (change.record) {
      listed_ids.insert(change.id);
      apply_record(*change.record, ctx);
    }
  }
  std::vector<std::string> missing;
  for (const auto& [id, leaf] : ctx.node.leafs) {
    if (!listed_ids.contains(id)) {
      missing.push_back(id);
    }
  }
  const bool may_be_expiry = is_store_unreliable(ctx.node, ctx.now);
  for (const std::string& id : missing) {
    apply_removal(id, may_be_expiry, ctx);
  }
}

void apply_changes(const std::vector<leaf_change>& received, context& ctx) {
  const std::vector<leaf_change> changes = latest_changes(received);
  const auto removals = static_cast<std::size_t>(
      std::count_if(changes.begin(), changes.end(), [&ctx](const leaf_change& change) {
        return !change.record && ctx.node.leafs.contains(change.id);
      }));
  const bool may_be_expiry =
      is_store_unreliable(ctx.node, ctx.now) || removals > max_unrelated_removals;
  for (const leaf_change& change : changes) {
    if (change.record) {
      apply_record(*change.record, ctx);
    } else {
      apply_removal(change.id, may_be_expiry, ctx);
    }
  }
}

void remove_expired_leafs(context& ctx) {
  std::vector<std::string> due;
  for (const auto& [id, leaf] : ctx.node.leafs) {
    if (leaf->registration == leaf_registration::expired &&
        leaf->remove_at <= ctx.now) {
      due.push_back(id);
    }
  }
  for (const std::string& id : due) {
    remove_leaf(id, ctx);
  }
}

void mark_leaving(const leaf_ptr& leaf, context& ctx) {
  if (leaf->leaving) {
    return;
  }
  leaf->leaving = true;
  remember_notice(leaf->record.id, leaf->record.started_at, ctx);
  log_leaf("leaf_leaving", *leaf, ctx);
  close_idle(*leaf, ctx);
}

void on_leaving_reported(const std::string& id, base::milliseconds started_at,
                         context& ctx) {
  remember_notice(id, started_at, ctx);
  const auto found = ctx.node.leafs.find(id);
  if (found == ctx.node.leafs.end()) {
    return;
  }
  const leaf_ptr leaf = found->second;
  if (leaf->record.started_at == started_at && !leaf->leaving) {
    mark_leaving(leaf, ctx);
    dispatch_waiting_tasks(leaf->record.service, ctx);
  }
}

void forget_leaving_notices(context& ctx) {
  constexpr std::chrono::hours kept_for{1};
  std::erase_if(ctx.node.leaving_notices, [&ctx, kept_for](const auto& entry) {
    return !ctx.node.leafs.contains(entry.first) &&
           ctx.now - entry.second.noticed_at >= kept_for;
  });
}

}  // namespace ibis::serving
