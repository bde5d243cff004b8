#include "ibis/policy/configuration_sync.hpp"

#include <algorithm>          // for find, max
#include <nlohmann/json.hpp>  // for json
#include <utility>            // for move

#include "ibis/base/hash.hpp"        // for content_hash
#include "ibis/base/rendezvous.hpp"  // for rendezvous_owners

namespace ibis::policy {
namespace {

using nlohmann::json;

bool is_watcher(const configuration_state& configuration,
                const membership_state& membership) {
  const auto watchers = zone_watchers(configuration, membership, membership.self.zone);
  return std::find(watchers.begin(), watchers.end(), membership.self.node) !=
         watchers.end();
}

std::string member_address(const membership_state& membership,
                           const std::string& node) {
  const auto found = membership.members.find(node);
  return found == membership.members.end() ? std::string()
                                           : found->second.record.address;
}

void send_generation_ack(const configuration_state& configuration,
                         const membership_state& membership, context& ctx) {
  for (const std::string& node :
       zone_watchers(configuration, membership, membership.self.zone)) {
    if (node != membership.self.node) {
      ctx.send_control(node, member_address(membership, node),
                       wire::generation_ack{membership.self.node, membership.self.zone,
                                            ctx.shared.nodes.generation});
    }
  }
}

/// Returns the parts that a manifest refers to, from the new or else the old ones.
config::part_store parts_in_use(const config::manifest& manifest,
                                const config::part_store& old_parts,
                                const config::part_store& new_parts) {
  config::part_store kept;
  for (const auto& [name, hash] : manifest.parts) {
    const auto new_part = new_parts.find(hash);
    const auto old_part = old_parts.find(hash);
    if (new_part != new_parts.end()) {
      kept[hash] = new_part->second;
    } else if (old_part != old_parts.end()) {
      kept[hash] = old_part->second;
    }
  }
  return kept;
}

/// Makes the pending configuration the active one, or logs why it cannot be used, and
/// announces the new generation.
void activate_pending(configuration_state& configuration, membership_state& membership,
                      context& ctx) {
  pending_configuration pending = std::move(*configuration.pending);
  configuration.pending.reset();
  config::part_store parts =
      parts_in_use(pending.manifest, configuration.parts, pending.parts);
  auto joined =
      config::join_parts(pending.manifest, parts, *ctx.shared.nodes.configuration,
                         configuration.manifest.parts);
  if (!joined) {
    configuration.last_error = base::describe(joined.error());
    ctx.out.emplace_back(
        log_line{log_level::warning,
                 "configuration cannot be applied",
                 {{"generation", std::to_string(pending.manifest.generation)},
                  {"error", configuration.last_error}}});
    return;
  }
  configuration.manifest = std::move(pending.manifest);
  configuration.manifest_bytes = std::move(pending.manifest_bytes);
  configuration.parts = std::move(parts);
  configuration.last_error.clear();
  configuration.changed = true;
  set_configuration(
      ctx.shared.nodes,
      std::make_shared<const config::configuration>(std::move(joined.value())),
      configuration.manifest.generation);
  ++ctx.shared.count.generations_applied;
  ctx.out.emplace_back(configuration_applied{configuration.manifest.generation});
  gossip_generation(membership, ctx);
  send_generation_ack(configuration, membership, ctx);
}

void fetch_from_platform(const pending_configuration& pending,
                         platform_call_table& platform, context& ctx) {
  for (const std::string& hash : pending.missing_parts) {
    platform_request request;
    request.purpose = platform_purpose::part_read;
    request.key = config::part_key(hash);
    if (!try_call_platform(platform, std::move(request), ctx)) {
      return;  // The remaining parts are fetched once the rate limit allows it.
    }
  }
}

void fetch_from_peer(const configuration_state& configuration,
                     const membership_state& membership,
                     const pending_configuration& pending, context& ctx) {
  wire::part_request message;
  for (const std::string& hash : pending.missing_parts) {
    if (message.names.size() >= configuration.tuning.parts_per_message) {
      break;
    }
    message.names.push_back(hash);
  }
  ctx.send_control(pending.source, member_address(membership, pending.source),
                   std::move(message));
}

void fetch_missing_parts(configuration_state& configuration,
                         platform_call_table& platform,
                         const membership_state& membership, context& ctx) {
  pending_configuration& pending = *configuration.pending;
  pending.requested_at = ctx.now;
  if (pending.source.empty()) {
    fetch_from_platform(pending, platform, ctx);
  } else {
    fetch_from_peer(configuration, membership, pending, ctx);
  }
}

void add_part(pending_configuration& pending, const std::string& bytes) {
  const std::string hash = base::content_hash(bytes);
  if (pending.missing_parts.erase(hash) > 0) {
    pending.parts[hash] = bytes;
  }
}

/// Returns the members that are alive and last reported at least the given generation.
std::vector<std::string> peers_with_generation(const membership_state& membership,
                                               std::uint64_t generation) {
  std::vector<std::string> peers;
  for (const auto& [node, state] : membership.members) {
    if (state.generation >= generation &&
        state.record.status == wire::member_status::alive) {
      peers.push_back(node);
    }
  }
  return peers;
}

/// Picks the source to fetch from after the present one did not answer: the platform or
/// a random peer that has the generation.
void pick_new_source(configuration_state& configuration,
                     const membership_state& membership, context& ctx) {
  std::vector<std::string> sources =
      peers_with_generation(membership, configuration.pending->manifest.generation);
  sources.emplace_back();  // An empty name stands for the platform.
  std::uniform_int_distribution<std::size_t> random_index(0, sources.size() - 1);
  configuration.pending->source = sources[random_index(ctx.shared.random)];
}

void request_manifest(const membership_state& membership, const std::string& node,
                      context& ctx) {
  ctx.send_control(node, member_address(membership, node),
                   wire::part_request{{config::manifest_key}});
}

/// Requests the manifest of a random peer that has a newer generation, if there is one.
void request_newer_manifest(configuration_state& configuration,
                            const membership_state& membership, context& ctx) {
  const std::uint64_t highest = highest_generation(membership);
  configuration.highest_generation_seen =
      std::max(configuration.highest_generation_seen, highest);
  if (highest <= ctx.shared.nodes.generation) {
    return;
  }
  const auto peers = peers_with_generation(membership, ctx.shared.nodes.generation + 1);
  if (peers.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> random_index(0, peers.size() - 1);
  request_manifest(membership, peers[random_index(ctx.shared.random)], ctx);
}

void poll_manifest(configuration_state& configuration, platform_call_table& platform,
                   context& ctx) {
  if (ctx.now < configuration.next_manifest_read) {
    return;
  }
  configuration.next_manifest_read =
      ctx.now + configuration.tuning.manifest_read_interval;
  platform_request request;
  request.purpose = platform_purpose::manifest_read;
  request.key = config::manifest_key;
  try_call_platform(platform, std::move(request), ctx);
}

void watch_manifest(configuration_state& configuration, platform_call_table& platform,
                    context& ctx) {
  if (configuration.watching) {
    return;
  }
  platform_request request;
  request.purpose = platform_purpose::manifest_watch;
  request.verb = platform_verb::watch;
  request.key = config::manifest_key;
  request.version = configuration.manifest_version;
  request.timeout = configuration.tuning.watch_timeout;
  configuration.watching = try_call_platform(platform, std::move(request), ctx);
}

void read_vm_list(configuration_state& configuration, platform_call_table& platform,
                  context& ctx) {
  if (ctx.now < configuration.next_vm_list_read) {
    return;
  }
  configuration.next_vm_list_read =
      ctx.now + configuration.tuning.vm_list_read_interval;
  platform_request request;
  request.purpose = platform_purpose::vm_list_read;
  request.key = "vms";
  try_call_platform(platform, std::move(request), ctx);
}

void write_status(configuration_state& configuration, platform_call_table& platform,
                  const membership_state& membership, context& ctx) {
  const auto watchers = zone_watchers(configuration, membership, membership.self.zone);
  const bool is_status_writer =
      !watchers.empty() && watchers.front() == membership.self.node;
  if (!is_status_writer || ctx.now < configuration.next_status ||
      ctx.shared.nodes.generation == 0) {
    return;
  }
  const zone_status status = zone_progress(membership, ctx.shared.nodes.generation);
  if (configuration.last_written_status == status) {
    return;
  }
  const json value = {{"zone", membership.self.zone},
                      {"generation", status.generation},
                      {"live", status.live},
                      {"reached", status.reached},
                      {"by", membership.self.node}};
  platform_request request;
  request.purpose = platform_purpose::status_write;
  request.verb = platform_verb::put;
  request.key = "status/config/" + membership.self.zone;
  request.value = value.dump();
  if (try_call_platform(platform, std::move(request), ctx)) {
    configuration.last_written_status = status;
    configuration.next_status = ctx.now + configuration.tuning.min_status_interval;
  }
}

void retry_fetch(configuration_state& configuration, platform_call_table& platform,
                 const membership_state& membership, context& ctx) {
  if (!configuration.pending || ctx.now < configuration.pending->requested_at +
                                              configuration.tuning.fetch_timeout) {
    return;
  }
  pick_new_source(configuration, membership, ctx);
  fetch_missing_parts(configuration, platform, membership, ctx);
}

/// Marks the VMs as leaving that the platform's VM list reports as such.
void apply_vm_list(membership_state& membership, const std::string& bytes,
                   context& ctx) {
  const json list = json::parse(bytes, nullptr, false);
  if (!list.is_array()) {
    return;
  }
  for (const json& item : list) {
    const bool valid = item.is_object() && item.contains("vm") &&
                       item["vm"].is_string() && item.contains("state") &&
                       item["state"].is_string();
    if (valid && item["state"] == "leaving") {
      mark_vm_leaving(membership, item["vm"].get<std::string>(), ctx);
    }
  }
}

}  // namespace

void start_configuration_sync(configuration_state& configuration, context& ctx) {
  configuration.started_at = ctx.now;
  ctx.add_timer(base::duration::zero(), timer_kind::configuration_poll);
}

void on_manifest(configuration_state& configuration, platform_call_table& platform,
                 membership_state& membership, const std::string& bytes,
                 const std::string& source, context& ctx) {
  const auto parsed = config::read_manifest(bytes);
  if (!parsed) {
    configuration.last_error = base::describe(parsed.error());
    return;
  }
  const config::manifest& manifest = parsed.value();
  configuration.highest_generation_seen =
      std::max(configuration.highest_generation_seen, manifest.generation);
  if (manifest.generation <= ctx.shared.nodes.generation) {
    ctx.shared.count.stale_generations_ignored +=
        manifest.generation < ctx.shared.nodes.generation ? 1 : 0;
    return;
  }
  if (configuration.pending &&
      configuration.pending->manifest.generation >= manifest.generation) {
    return;
  }
  pending_configuration pending{manifest, bytes, {}, {}, source, ctx.now};
  for (const auto& [name, hash] : manifest.parts) {
    if (configuration.parts.count(hash) == 0) {
      pending.missing_parts.insert(hash);
    }
  }
  configuration.pending = std::move(pending);
  if (configuration.pending->missing_parts.empty()) {
    activate_pending(configuration, membership, ctx);
    return;
  }
  fetch_missing_parts(configuration, platform, membership, ctx);
}

void on_peer_generation(configuration_state& configuration,
                        const membership_state& membership, const std::string& node,
                        std::uint64_t generation, context& ctx) {
  configuration.highest_generation_seen =
      std::max(configuration.highest_generation_seen, generation);
  const bool fetching =
      configuration.pending && configuration.pending->manifest.generation >= generation;
  if (generation > ctx.shared.nodes.generation && !fetching) {
    request_manifest(membership, node, ctx);
  }
}

void on_part_request(configuration_state& configuration,
                     const membership_state& membership, const std::string& node,
                     const wire::part_request& message, context& ctx) {
  wire::part_reply reply;
  for (const std::string& name : message.names) {
    const auto found = configuration.parts.find(name);
    if (name == config::manifest_key && !configuration.manifest_bytes.empty()) {
      reply.parts.push_back({name, configuration.manifest_bytes});
    } else if (found != configuration.parts.end()) {
      reply.parts.push_back({name, found->second});
    }
  }
  if (!reply.parts.empty()) {
    ctx.send_control(node, member_address(membership, node), std::move(reply));
  }
}

void on_part_reply(configuration_state& configuration, platform_call_table& platform,
                   membership_state& membership, const std::string& node,
                   const wire::part_reply& message, context& ctx) {
  for (const wire::part& item : message.parts) {
    if (item.name == config::manifest_key) {
      on_manifest(configuration, platform, membership, item.bytes, node, ctx);
    } else if (configuration.pending) {
      add_part(*configuration.pending, item.bytes);
    }
  }
  if (!configuration.pending) {
    return;
  }
  if (configuration.pending->missing_parts.empty()) {
    activate_pending(configuration, membership, ctx);
    return;
  }
  const bool progressed =
      !message.parts.empty() && message.parts.front().name != config::manifest_key;
  if (progressed && configuration.pending->source == node) {
    fetch_missing_parts(configuration, platform, membership, ctx);
  }
}

void on_configuration_platform_reply(configuration_state& configuration,
                                     platform_call_table& platform,
                                     membership_state& membership,
                                     const platform_call& call,
                                     const platform_replied& reply, context& ctx) {
  if (call.purpose == platform_purpose::manifest_watch) {
    configuration.watching = false;
  }
  const bool has_object =
      reply.outcome == platform_outcome::ok && !reply.objects.empty();
  if (!has_object) {
    if (ctx.shared.nodes.generation == 0) {
      configuration.last_error =
          reply.outcome == platform_outcome::not_found
              ? "the platform holds no configuration"
              : "the platform does not answer and no peer has a configuration";
    }
    return;
  }
  const platform_object& object = reply.objects.front();
  switch (call.purpose) {
    case platform_purpose::manifest_read:
    case platform_purpose::manifest_watch:
      configuration.manifest_version =
          std::max(configuration.manifest_version, object.version);
      on_manifest(configuration, platform, membership, object.value, "", ctx);
      return;
    case platform_purpose::part_read:
      if (configuration.pending) {
        add_part(*configuration.pending, object.value);
        if (configuration.pending->missing_parts.empty()) {
          activate_pending(configuration, membership, ctx);
        }
      }
      return;
    case platform_purpose::vm_list_read:
      apply_vm_list(membership, object.value, ctx);
      return;
    default:
      return;
  }
}

void on_configuration_timer(configuration_state& configuration,
                            platform_call_table& platform, membership_state& membership,
                            context& ctx) {
  ctx.add_timer(configuration.tuning.poll_interval, timer_kind::configuration_poll);
  request_newer_manifest(configuration, membership, ctx);
  retry_fetch(configuration, platform, membership, ctx);
  const bool watches = is_watcher(configuration, membership);
  if (watches) {
    watch_manifest(configuration, platform, ctx);
    read_vm_list(configuration, platform, ctx);
    write_status(configuration, platform, membership, ctx);
  }
  // Nodes that are not watchers wait first, so that a fleet that starts all at once
  // does not make one platform read per node.
  const bool use_fallback =
      ctx.shared.nodes.generation == 0 &&
      ctx.now > configuration.started_at + configuration.tuning.platform_fallback_delay;
  if (watches || use_fallback) {
    poll_manifest(configuration, platform, ctx);
  }
}

std::vector<std::string> zone_watchers(const configuration_state& configuration,
                                       const membership_state& membership,
                                       const std::string& zone) {
  return base::rendezvous_owners("watcher/" + zone,
                                 live_members(membership, zone, "entry"),
                                 configuration.tuning.watchers_per_zone);
}

zone_status zone_progress(const membership_state& membership,
                          std::uint64_t generation) {
  zone_status status{generation, 1, 1};
  for (const auto& [node, state] : membership.members) {
    if (state.record.zone != membership.self.zone ||
        state.record.status == wire::member_status::dead) {
      continue;
    }
    ++status.live;
    status.reached += state.generation >= generation ? 1 : 0;
  }
  return status;
}

}  // namespace ibis::policy
