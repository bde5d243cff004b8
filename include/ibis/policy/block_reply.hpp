/// What a relay answers to a block request, and the state that a request starts with.
#pragma once

#include <memory>  // for shared_ptr
#include <string>  // for string

#include "ibis/policy/block.hpp"  // for block_part, block_state

namespace ibis::policy {

/// @return The key of a task's replica group.
std::string key_of(const block_state& block, const group_task& task);

/// The state of a block whose request just came.
block_state make_block(const std::string& peer, const wire::block_request& request,
                       std::shared_ptr<const config::service> service,
                       base::time_point now);

/// The reply as it stands; shards without an answer are named with their reasons.
wire::block_reply current_reply(const block_part& part, const block_state& block,
                                bool final);

/// The versions that the block's groups hold; a group without any is lost.
wire::block_reply describe(const block_part& part, const block_state& block);

/// The reply to a request that this relay cannot serve; the entry tries another one.
/// @param service Null if the service is not known here.
wire::block_reply refusal(const wire::block_request& request,
                          const config::service* service, wire::missing_reason reason);

/// @return Whether a request names groups, and only those that the service has.
bool groups_exist(const wire::block_request& request, const config::service& service);

}  // namespace ibis::policy
