#include "ibis/control/apply.hpp"

#include <nlohmann/json.hpp>  // for json
#include <utility>            // for move

#include "ibis/base/hash.hpp"     // for content_hash
#include "ibis/config/parse.hpp"  // for format_timestamp

namespace ibis::control {
namespace {

using nlohmann::json;
using policy::platform_outcome;
using policy::platform_verb;

constexpr base::milliseconds call_timeout{2000};

policy::call_platform make_call(platform_verb verb, const std::string& key,
                                const std::string& value, std::uint64_t version) {
  policy::call_platform call;
  call.verb = verb;
  call.key = key;
  call.value = value;
  call.expected_version = version;
  call.timeout = call_timeout;
  return call;
}

base::error no_answer_error(std::string step) {
  return {base::error_code::unavailable, std::move(step), "platform",
          "no answer; the call may or may not have taken effect"};
}

/// Makes a call and repeats it until it is answered or the attempts are used up. The
/// call must be safe to repeat.
base::result<policy::platform_replied> call_with_retries(
    const platform_transport& platform, const pause_function& pause,
    const retry_policy& retries, const policy::call_platform& call,
    const std::string& step) {
  for (int attempt = 0; attempt < retries.max_attempts; ++attempt) {
    policy::platform_replied reply = platform(call);
    const bool answered = reply.outcome != platform_outcome::unavailable &&
                          reply.outcome != platform_outcome::rejected;
    if (answered) {
      return reply;
    }
    pause(retries.delay);
  }
  return no_answer_error(step);
}

base::error conflict_error(const config::manifest& current) {
  return {base::error_code::conflict, "update manifest", "platform",
          "generation " + std::to_string(current.generation) + " was applied by " +
              current.author + " at " +
              config::format_timestamp(base::milliseconds(current.applied_at_ms)) +
              " (" + current.note +
              "); nothing was changed; run 'ibisctl diff' to review it"};
}

config::manifest make_manifest(const plan& planned, const apply_request& request) {
  config::manifest next;
  const config::manifest& before = planned.before.names;
  next.generation = std::max(before.generation, request.fleet_generation) + 1;
  next.token = request.token;
  next.author = request.author;
  next.note = request.note;
  next.applied_at_ms = request.applied_at_ms;
  for (const auto& [name, text] : planned.after) {
    next.parts[name] = base::content_hash(text);
  }
  next.history = before.history;
  if (planned.before.exists) {
    next.history.insert(next.history.begin(),
                        {before.generation, before.token, before.author, before.note,
                         before.applied_at_ms});
  }
  if (next.history.size() > config::history_length) {
    next.history.resize(config::history_length);
  }
  return next;
}

base::result<bool> write_parts(const plan& planned, const platform_transport& platform,
                               const pause_function& pause,
                               const retry_policy& retries) {
  for (const auto& [name, text] : planned.after) {
    const auto old = planned.before.parts.find(name);
    if (old != planned.before.parts.end() && old->second == text) {
      continue;
    }
    if (text.size() > config::max_object_size) {
      return base::error{base::error_code::too_large, "write part", "platform",
                         name + " has " + std::to_string(text.size()) +
                             " bytes; the limit is " +
                             std::to_string(config::max_object_size) + " bytes"};
    }
    // A conflict means that the platform has the part already, because its key is the
    // hash of its content.
    const auto written = call_with_retries(
        platform, pause, retries,
        make_call(platform_verb::create, config::part_key(base::content_hash(text)),
                  text, 0),
        "write part " + name);
    if (!written) {
      return written.error();
    }
  }
  return true;
}

/// What the current manifest reveals about a manifest write that was not confirmed.
enum class write_resolution : std::uint8_t { took_effect, not_applied, superseded };

write_resolution resolve_write(const config::manifest& current,
                               const config::manifest& written,
                               std::uint64_t current_version,
                               std::uint64_t version_before) {
  if (current.token == written.token) {
    return write_resolution::took_effect;
  }
  for (const config::change& earlier : current.history) {
    if (earlier.token == written.token) {
      return write_resolution::took_effect;
    }
  }
  return current_version == version_before ? write_resolution::not_applied
                                           : write_resolution::superseded;
}

/// Writes the manifest unless it has changed since the plan was made.
base::result<std::uint64_t> write_manifest_object(const plan& planned,
                                                  const config::manifest& next,
                                                  const platform_transport& platform,
                                                  const pause_function& pause,
                                                  const retry_policy& retries) {
  const bool exists = planned.before.exists;
  const auto call = make_call(exists ? platform_verb::update : platform_verb::create,
                              config::manifest_key, config::write_manifest(next),
                              planned.before.version);
  for (int attempt = 0; attempt < retries.max_attempts; ++attempt) {
    const policy::platform_replied reply = platform(call);
    if (reply.outcome == platform_outcome::ok) {
      return next.generation;
    }
    if (reply.outcome == platform_outcome::unavailable ||
        reply.outcome == platform_outcome::rejected) {
      pause(retries.delay);
      continue;
    }
    const auto current =
        reply.objects.empty()
            ? base::result<config::manifest>(no_answer_error("read manifest"))
            : config::read_manifest(reply.objects.front().value);
    if (!current) {
      return current.error();
    }
    const std::uint64_t version = reply.objects.front().version;
    switch (resolve_write(current.value(), next, version, planned.before.version)) {
      case write_resolution::took_effect:
        return next.generation;
      case write_resolution::superseded:
        return conflict_error(current.value());
      case write_resolution::not_applied:
        break;
    }
  }
  return base::error{base::error_code::unavailable, "update manifest", "platform",
                     "no answer; run 'ibisctl history' to see whether generation " +
                         std::to_string(next.generation) + " with token " + next.token +
                         " was applied"};
}

}  // namespace

base::result<platform_snapshot> read_platform(const platform_transport& platform,
                                              const pause_function& pause,
                                              const retry_policy& retries) {
  platform_snapshot state;
  const auto manifest = call_with_retries(
      platform, pause, retries,
      make_call(platform_verb::get, config::manifest_key, "", 0), "read manifest");
  if (!manifest) {
    return manifest.error();
  }
  if (manifest.value().objects.empty() ||
      manifest.value().outcome == platform_outcome::not_found) {
    return state;
  }
  const auto names = config::read_manifest(manifest.value().objects.front().value);
  if (!names) {
    return names.error();
  }
  state.exists = true;
  state.version = manifest.value().objects.front().version;
  state.names = names.value();
  for (const auto& [name, hash] : state.names.parts) {
    const auto part =
        call_with_retries(platform, pause, retries,
                          make_call(platform_verb::get, config::part_key(hash), "", 0),
                          "read part " + name);
    if (!part) {
      return part.error();
    }
    if (part.value().objects.empty()) {
      return base::error{base::error_code::not_found, "read part " + name, "platform",
                         "the manifest refers to this part, but it does not exist"};
    }
    state.parts[name] = part.value().objects.front().value;
  }
  return state;
}

base::result<plan> make_plan(const platform_snapshot& before,
                             const config::configuration& desired) {
  config::configuration merged = desired;
  if (before.exists) {
    config::part_store store;
    for (const auto& [name, text] : before.parts) {
      store[before.names.parts.at(name)] = text;
    }
    const auto current = config::join_parts(before.names, store, {}, {});
    if (!current) {
      return current.error();
    }
    for (const auto& [name, leave_time] : current.value().leaving) {
      merged.leaving.emplace(name, leave_time);
    }
  }
  plan planned;
  planned.before = before;
  planned.after = config::split_parts(merged);
  planned.differences = compare_parts(before.parts, planned.after);
  return planned;
}

base::result<std::uint64_t> apply_plan(const plan& planned,
                                       const apply_request& request,
                                       const platform_transport& platform,
                                       const pause_function& pause,
                                       const retry_policy& retries) {
  const auto parts = write_parts(planned, platform, pause, retries);
  if (!parts) {
    return parts.error();
  }
  return write_manifest_object(planned, make_manifest(planned, request), platform,
                               pause, retries);
}

std::vector<zone_report> read_zones(const platform_transport& platform,
                                    const std::vector<std::string>& zones,
                                    std::uint64_t generation) {
  std::vector<zone_report> reports;
  for (const std::string& zone : zones) {
    zone_report report;
    report.zone = zone;
    const auto reply =
        platform(make_call(platform_verb::get, "status/config/" + zone, "", 0));
    if (!reply.objects.empty()) {
      const json status = json::parse(reply.objects.front().value, nullptr, false);
      if (status.is_object()) {
        report.generation = status.value("generation", std::uint64_t{0});
        report.live = status.value("live", std::size_t{0});
        report.reached = status.value("reached", std::size_t{0});
      }
    }
    report.in_force = report.generation >= generation && report.live > 0 &&
                      report.reached == report.live;
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace ibis::control
