/// Builds a block's initial state and the replies to a block request.
#pragma once

#include <memory>  // for shared_ptr
#include <string>  // for string

#include "ibis/policy/block.hpp"  // for block_table, block_state

namespace ibis::policy {

/// @return The key of a task's replica group.
std::string group_key_of(const block_state& block, const group_task& task);

/// Makes the initial state of a block for a new request.
block_state make_block(const std::string& peer, const wire::block_request& request,
                       std::shared_ptr<const config::service> service,
                       base::time_point now);

/// Makes the reply from the answers so far. Shards without an answer are listed as
/// missing, with the reason.
///
/// @param final Whether this is the last reply to the request.
wire::block_reply current_reply(const block_table& table, const block_state& block,
                                bool final);

/// Makes the reply to a `list_versions` request: the index versions that the block's
/// groups hold. The shards of a group without a known version are missing as `lost`.
wire::block_reply make_versions_reply(const block_table& table,
                                      const block_state& block);

/// Makes the reply to a request that this relay cannot serve. All its shards are listed
/// as missing, and the entry asks another relay.
///
/// @param service Null if this node does not know the service; then no shard is listed.
wire::block_reply make_refusal(const wire::block_request& request,
                               const config::service* service,
                               wire::missing_reason reason);

/// @return Whether the request names at least one group, and only groups of the
/// service.
bool groups_exist(const wire::block_request& request, const config::service& service);

}  // namespace ibis::policy
