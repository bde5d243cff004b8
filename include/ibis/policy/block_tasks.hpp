/// The course of a block's tasks: each is sent to a leaf, waits for a free one, is
/// retried, and is completed or fails. When the last one ends, the block's reply is
/// sent.
#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <string>   // for string

#include "ibis/policy/block.hpp"    // for block_table, block_state, group_task
#include "ibis/policy/context.hpp"  // for context

namespace ibis::policy {

/// @return A block that has not had its final reply yet, or nullptr.
block_state* find_block(block_table& table, std::uint64_t id);

/// Removes a block without a reply, and cancels its attempts.
void drop_block(block_table& table, std::uint64_t id, context& ctx);

/// Sends a block's final reply and removes it.
void finish_block(block_table& table, std::uint64_t id, context& ctx);

/// Sends a task's pending shards to a leaf that has a free connection.
void send_attempt(block_table& table, std::uint64_t block_id, std::size_t index,
                  const std::string& leaf_name, context& ctx);

/// Sends a task to the best replica, queues it if all are busy, or else fails it.
void dispatch(block_table& table, std::uint64_t block_id, std::size_t index,
              context& ctx);

/// Dispatches a group's waiting tasks while one of its leafs can take a request.
void dispatch_waiting(block_table& table, const std::string& key, context& ctx);

/// Forgets an attempt that has ended.
void remove_attempt(group_task& task, base::attempt_id id);

/// Retries or fails a task after its last attempt in flight ended with shards pending.
/// @param may_have_run Whether the ended attempt may have run.
/// @param never_sent Whether the ended attempt never reached a leaf. Its retry costs no
/// budget, as it put no load on the leafs.
void after_attempt(block_table& table, std::uint64_t block_id, std::size_t index,
                   bool may_have_run, bool never_sent, context& ctx);

/// Ends a task whose shards have all been answered, and cancels its other attempts.
void complete_task(block_table& table, std::uint64_t block_id, std::size_t index,
                   context& ctx);

}  // namespace ibis::policy
