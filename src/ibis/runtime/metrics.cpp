#include "ibis/runtime/metrics.hpp"

#include <sys/resource.h>  // for getrusage

#include <nlohmann/json.hpp>  // for json
#include <sstream>            // for ostringstream

namespace ibis::runtime {
namespace {

using nlohmann::json;

void write_counter(std::ostringstream& out, const char* name, std::uint64_t value) {
  out << "# TYPE ibis_" << name << "_total counter\nibis_" << name << "_total " << value
      << '\n';
}

void write_gauge(std::ostringstream& out, const char* name, double value) {
  out << "# TYPE ibis_" << name << " gauge\nibis_" << name << ' ' << value << '\n';
}

/// Replaces quotes, backslashes and line breaks, which must not occur in label values.
std::string sanitize_label(const std::string& value) {
  std::string text;
  for (const char character : value) {
    const bool is_special = character == '"' || character == '\\' || character == '\n';
    text.push_back(is_special ? '_' : character);
  }
  return text;
}

void write_histogram(std::ostringstream& out, const std::string& labels,
                     const latency_histogram& histogram) {
  const std::string name = "ibis_answer_latency_ms";
  for (std::size_t i = 0; i < bucket_bounds_ms.size(); ++i) {
    out << name << "_bucket{" << labels << ",le=\"" << bucket_bounds_ms[i] << "\"} "
        << histogram.cumulative_count(i) << '\n';
  }
  out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << histogram.count() << '\n';
  out << name << "_sum{" << labels << "} " << histogram.sum_ms() << '\n';
  out << name << "_count{" << labels << "} " << histogram.count() << '\n';
}

void write_answers(std::ostringstream& out, const answer_metrics& answers) {
  out << "# TYPE ibis_answer_latency_ms histogram\n";
  for (const auto& [series, histogram] : answers.latencies) {
    const std::string labels = "tenant=\"" + sanitize_label(series.first) +
                               "\",class=\"" + sanitize_label(series.second) + '"';
    write_histogram(out, labels, histogram);
  }
  out << "# TYPE ibis_answers_total counter\n";
  for (const auto& [outcome, count] : answers.outcomes) {
    out << "ibis_answers_total{outcome=\"" << outcome << "\"} " << count << '\n';
  }
  write_counter(out, "shards_covered", answers.shards_covered);
  write_counter(out, "shards_asked", answers.shards_total);
}

void write_counters(std::ostringstream& out, const policy::counters& count) {
  write_counter(out, "queries", count.queries);
  write_counter(out, "submits", count.submits);
  write_counter(out, "query_restarts", count.restarts);
  write_counter(out, "block_calls", count.block_calls);
  write_counter(out, "block_hedges", count.block_hedges);
  write_counter(out, "block_retries", count.block_retries);
  write_counter(out, "late_block_replies", count.late_block_replies);
  write_counter(out, "version_mismatches", count.version_mismatches);
  write_counter(out, "leaf_first_attempts", count.first_attempts);
  write_counter(out, "leaf_hedges", count.leaf_hedges);
  write_counter(out, "leaf_retries", count.leaf_retries);
  write_counter(out, "late_leaf_replies", count.late_leaf_replies);
  write_counter(out, "leaf_sheds", count.leaf_sheds);
  write_counter(out, "queue_refusals", count.queue_refusals);
  write_counter(out, "leaf_cancels", count.cancels);
  write_counter(out, "leaf_connections_opened", count.connections_opened);
  write_counter(out, "leaf_connections_failed", count.connections_failed);
  write_counter(out, "leaf_connections_retired", count.connections_retired);
  write_counter(out, "leaf_ejections", count.ejections);
  write_counter(out, "messages_sent", count.messages_sent);
  write_counter(out, "control_messages_sent", count.control_messages_sent);
  write_counter(out, "platform_calls", count.platform_calls);
  write_counter(out, "probes_sent", count.probes_sent);
  write_counter(out, "suspicions", count.suspicions);
  write_counter(out, "deaths", count.deaths);
  write_counter(out, "refutations", count.refutations);
  write_counter(out, "generations_applied", count.generations_applied);
  write_counter(out, "stale_generations_ignored", count.stale_generations_ignored);
  write_counter(out, "claims_created", count.claims_created);
  write_counter(out, "claims_replayed", count.claims_replayed);
}

double cpu_seconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double us_per_s = 1e6;
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) /
             us_per_s;
}

double resident_mb() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kb_per_mb = 1024;
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-union-access)
  return static_cast<double>(usage.ru_maxrss) / kb_per_mb;
}

json write_members(const policy::node_state& state) {
  json members = json::array();
  const auto add = [&](const wire::member& member, std::uint64_t generation) {
    members.push_back({{"node", member.node},
                       {"vm", member.vm},
                       {"availability_zone", member.zone},
                       {"address", member.address},
                       {"http", member.http},
                       {"status", wire::to_string(member.status)},
                       {"incarnation", member.incarnation},
                       {"generation", generation}});
  };
  add(state.members.self, state.shared.nodes.generation);
  for (const auto& [node, member] : state.members.members) {
    add(member.record, member.generation);
  }
  return members;
}

json write_leafs(const policy::node_state& state) {
  json leafs = json::array();
  for (const auto& [name, leaf] : state.blocks.pools.leafs) {
    leafs.push_back(
        {{"leaf", name},
         {"connections", leaf.open},
         {"in_flight", leaf.in_flight},
         {"limit", leaf.concurrency_limit},
         {"latency_ms", leaf.latency_us / 1000.0},
         {"draining", leaf.draining},
         {"leaving", leaf.leaving},
         {"newest_version", leaf.status ? leaf.status->newest_version : 0}});
  }
  return leafs;
}

json write_leaving(const policy::node_state& state) {
  json leaving = json::object();
  for (const auto& [name, hour] : state.shared.nodes.configuration->leaving) {
    leaving[name] = hour.count();
  }
  return leaving;
}

}  // namespace

void record_answer(answer_metrics& metrics, const policy::answer& value) {
  std::pair<std::string, std::string> series{value.tenant,
                                             wire::to_string(value.priority)};
  const bool known = metrics.latencies.count(series) != 0;
  if (!known && metrics.latencies.size() >= max_tenant_series) {
    series.first = "other";
  }
  metrics.latencies[series].record(value.latency);
  ++metrics.outcomes[std::string(policy::to_string(value.outcome))];
  metrics.shards_covered += value.covered;
  metrics.shards_total += value.total;
}

std::string write_metrics(const answer_metrics& answers,
                          const policy::node_state& state,
                          const peer_traffic& traffic) {
  std::ostringstream out;
  write_answers(out, answers);
  write_counters(out, state.shared.count);
  write_counter(out, "control_bytes_sent", traffic.control_sent);
  write_counter(out, "control_bytes_received", traffic.control_received);
  write_counter(out, "data_bytes_sent", traffic.data_sent);
  write_counter(out, "data_bytes_received", traffic.data_received);
  write_gauge(out, "requests_in_flight",
              static_cast<double>(policy::work_in_flight(state)));
  write_gauge(out, "waiting_tasks",
              static_cast<double>(policy::waiting_count(state.blocks)));
  write_gauge(out, "generation", static_cast<double>(state.shared.nodes.generation));
  write_gauge(out, "members", static_cast<double>(state.members.members.size() + 1));
  write_gauge(out, "cpu_seconds", cpu_seconds());
  write_gauge(out, "max_resident_mb", resident_mb());
  return out.str();
}

std::string write_status(const policy::node_state& state, const peer_traffic& traffic) {
  const policy::readiness ready = policy::check_readiness(state);
  const auto progress =
      policy::zone_progress(state.members, state.shared.nodes.generation);
  const json root = {
      {"node", state.members.self.node},
      {"availability_zone", state.members.self.zone},
      {"ready", ready.ready},
      {"reason", ready.reason},
      {"generation", state.shared.nodes.generation},
      {"highest_generation_seen", std::max(state.configuration.highest_generation_seen,
                                           state.shared.nodes.generation)},
      {"zone", {{"live", progress.live}, {"reached", progress.reached}}},
      {"in_flight", policy::work_in_flight(state)},
      {"members", write_members(state)},
      {"leafs", write_leafs(state)},
      {"leaving", write_leaving(state)},
      {"control_bytes",
       {{"sent", traffic.control_sent}, {"received", traffic.control_received}}}};
  return root.dump();
}

}  // namespace ibis::runtime
