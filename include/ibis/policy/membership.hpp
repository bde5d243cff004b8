/// Membership and failure detection after SWIM (Das, Gupta, Motivala, 2002): in each
/// interval a member probes one other member and, if that one does not answer, asks
/// others to probe it too. A member is suspected, and may refute, before it is declared
/// dead. Changes spread by gossip carried in the probes. The load of a member does not
/// grow with the number of members.
#pragma once

#include <cstdint>        // for uint64_t
#include <map>            // for map
#include <optional>       // for optional
#include <set>            // for set
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "ibis/policy/context.hpp"      // for context
#include "ibis/policy/probe_order.hpp"  // for probe_order
#include "ibis/wire/messages.hpp"       // for member

namespace ibis::policy {

/// Intervals, timeouts and fan-outs of membership.
struct membership_tuning {
  base::milliseconds probe_interval{400};
  base::milliseconds direct_timeout{200};  ///< Before other members are asked to probe.
  base::milliseconds indirect_timeout{250};   ///< After that, before suspicion.
  base::milliseconds suspicion_timeout{700};  ///< Time that a suspect has to refute.
  base::milliseconds dead_retention{std::chrono::minutes(70)};  ///< Of dead members.
  std::size_t indirect_probes = 3;      ///< Members asked to probe for this one.
  std::size_t updates_per_message = 6;  ///< Maximum member records in one message.
  /// An update is gossiped this many times the logarithm (base 2) of the member count.
  double retransmit_multiplier = 3.0;
  /// Members told at once of a new generation, a suspicion or a refutation.
  std::size_t gossip_fanout = 3;
  /// Members told at once by each member that learns of a failure.
  std::size_t urgent_gossip_fanout = 5;
  base::milliseconds gossip_delay{10};  ///< Collects failures that occur together.
};

/// What is known of another member.
struct member_state {
  wire::member record;
  base::time_point changed_at{};
  std::uint32_t transmissions = 0;  ///< Times gossiped since the record changed.
  std::uint64_t generation = 0;     ///< Its configuration generation, as last heard.
};

/// A probe that awaits its acknowledgement.
struct pending_probe {
  std::string target;
  bool indirect = false;  ///< Whether other members were asked to probe as well.
  std::string requester;  ///< Member that asked for it; empty if it is this node.
  std::uint64_t requester_sequence = 0;  ///< Sequence number of the requester's probe.
  bool final_check = false;  ///< If unanswered, the suspected target is declared dead.
};

/// A node's view of the members.
struct membership_state {
  membership_tuning tuning;
  wire::member self;
  std::map<std::string, member_state> members;  ///< All others, by node name.
  probe_order probes;                           ///< Of all members.
  std::unordered_map<std::uint64_t, pending_probe> pending_probes;  ///< By sequence.
  std::set<std::string> pending_gossip;  ///< Members whose record is still gossiped.
  bool gossip_scheduled = false;         ///< Whether the gossip timer is running.
  bool changed = false;                  ///< Routing is out of date; reset by the node.
};

/// Starts periodic probing.
void start_membership(context& ctx);

/// Adds a member, such as a seed, unless it is known already. Probes then decide
/// whether it is alive.
void add_member(membership_state& membership, const wire::member& proposed,
                context& ctx);

/// Marks all members on a VM as leaving and gossips it.
void mark_vm_leaving(membership_state& membership, const std::string& vm, context& ctx);

/// Records the configuration generation that a member has active.
void record_generation(membership_state& membership, const std::string& node,
                       std::uint64_t generation);

/// Merges the updates in a probe and acknowledges it.
void on_probe(membership_state& membership, const wire::probe& message, context& ctx);

/// Merges the updates in an acknowledgement and completes the probe that it answers. If
/// another member asked for that probe, the acknowledgement is passed on to it.
void on_probe_ack(membership_state& membership, const wire::probe_ack& message,
                  context& ctx);

/// Probes a member on behalf of another one.
void on_probe_request(membership_state& membership, const wire::probe_request& message,
                      context& ctx);

/// Probes a member at once, because the connection to it was lost.
void probe_disconnected_peer(membership_state& membership, const std::string& node,
                             context& ctx);

/// Handles the timers of probing, suspicion and gossip.
void on_membership_timer(membership_state& membership, const timer& due, context& ctx);

/// Announces a new configuration generation to some members of this node's availability
/// zone and to one random member of any zone.
void gossip_generation(membership_state& membership, context& ctx);

/// Announces that this node is leaving, to all live members of its zone and a few
/// random members of any zone. From then on it gets no new blocks.
void announce_leaving(membership_state& membership, context& ctx);

/// Returns the relays that are alive or suspected, by zone, without those on VMs in
/// `leaving_vms`.
std::map<std::string, std::vector<std::string>> live_relays(
    const membership_state& membership, const std::set<std::string>& leaving_vms);

/// Returns the addresses of all members that are not dead, by node name.
std::unordered_map<std::string, std::string> member_addresses(
    const membership_state& membership);

/// Returns the members of a zone and role that are alive or suspected; this node counts
/// as a member.
std::vector<std::string> live_members(const membership_state& membership,
                                      const std::string& zone, const std::string& role);

/// Returns the highest configuration generation that any other member has reported.
std::uint64_t highest_generation(const membership_state& membership);

}  // namespace ibis::policy
