#include "ibis/reactor/node_metrics.hpp"

#include <sys/resource.h>  // for getrusage

#include <algorithm>  // for count_if, max, min, sort
#include <array>      // for array
#include <cmath>      // for sqrt
#include <iterator>   // for next
#include <map>        // for map
#include <sstream>    // for ostringstream
#include <tuple>      // for tie
#include <utility>    // for pair
#include <vector>     // for vector

#include "ibis/admission/account_counts.hpp"  // for account_counts
#include "ibis/serving/leaf_backoff.hpp"      // for backs_off
#include "ibis/serving/topic_calls.hpp"       // for followed_topics, name_of

namespace ibis::reactor {
namespace {

void write_counter(std::ostringstream& out, const char* name, std::uint64_t value) {
  out << "# TYPE ibis_" << name << "_total counter\nibis_" << name << "_total " << value
      << '\n';
}

void write_gauge(std::ostringstream& out, const char* name, double value) {
  out << "# TYPE ibis_" << name << " gauge\nibis_" << name << ' ' << value << '\n';
}

/// Escapes a label's value as the text format requires.
std::string escape_label(const std::string& value) {
  std::string escaped;
  for (const char character : value) {
    if (character == '\\' || character == '"') {
      escaped += '\\';
    }
    if (character == '\n') {
      escaped += "\\n";
    } else {
      escaped += character;
    }
  }
  return escaped;
}

void write_view_ages(std::ostringstream& out, const serving::node_state& node,
                     base::time_point now) {
  out << "# TYPE ibis_store_view_age_ms gauge\n";
  for (const serving::store_topic topic : serving::followed_topics(node.settings)) {
    const serving::topic_state& state = node.topics[static_cast<std::size_t>(topic)];
    out << "ibis_store_view_age_ms{topic=\"" << serving::name_of(topic) << "\"} "
        << base::to_ms(now - state.verified_at) << '\n';
  }
}

/// @return For how many blocks of shards this node holds the connections.
std::size_t count_held_blocks(const serving::node_state& node) {
  const auto& blocks = node.holders.blocks;
  return static_cast<std::size_t>(
      std::count_if(blocks.begin(), blocks.end(),
                    [](const serving::shard_block& block) { return block.held_here; }));
}

/// @param label As "name=\"value\""; empty for none.
void write_histogram(std::ostringstream& out, const std::string& name,
                     const std::string& label,
                     const runtime::latency_histogram& histogram) {
  const std::string labels = label.empty() ? "" : '{' + label + '}';
  const std::string before_bound = label.empty() ? "" : label + ',';
  for (std::size_t i = 0; i < runtime::bucket_bounds_ms.size(); ++i) {
    out << name << "_bucket{" << before_bound << "le=\"" << runtime::bucket_bounds_ms[i]
        << "\"} " << histogram.cumulative_count(i) << '\n';
  }
  out << name << "_bucket{" << before_bound << "le=\"+Inf\"} " << histogram.count()
      << '\n';
  out << name << "_sum" << labels << ' ' << histogram.sum_ms() << '\n';
  out << name << "_count" << labels << ' ' << histogram.count() << '\n';
}

void write_latencies(std::ostringstream& out, const node_metrics& metrics) {
  out << "# TYPE ibis_request_latency_ms histogram\n";
  for (const auto& [route, histogram] : metrics.latencies) {
    write_histogram(out, "ibis_request_latency_ms",
                    "route=\"" + escape_label(route) + '"', histogram);
  }
}

void write_turns(std::ostringstream& out, const turn_meter& turns) {
  out << "# TYPE ibis_turn_processor_ms histogram\n";
  write_histogram(out, "ibis_turn_processor_ms", "", turns.lengths());
  write_gauge(out, "longest_turn_processor_ms", turns.lengths().max_ms());
}

using account_values = std::map<std::string, std::uint64_t, std::less<>>;

void write_by_account(std::ostringstream& out, const std::string& name,
                      const char* type, const account_values& values) {
  out << "# TYPE ibis_" << name << ' ' << type << '\n';
  for (const auto& [account, value] : values) {
    out << "ibis_" << name << "{account=\"" << escape_label(account) << "\"} " << value
        << '\n';
  }
}

/// Writes the tasks that wait for a leaf, and for how long the first of them waits.
void write_waiting(std::ostringstream& out, const serving::node_state& node,
                   base::time_point now) {
  admission::account_counts waiting;
  base::duration longest{0};
  for (const auto& [name, service] : node.services) {
    for (const serving::waiting_task& task : service.waiting) {
      const auto found = node.pending_requests.find(task.caller);
      if (found == node.pending_requests.end() ||
          !found->second.tasks[task.shard].waiting) {
        continue;
      }
      waiting.add(found->second.account);
      longest = std::max(longest, now - task.since);
    }
  }
  write_by_account(out, "waiting_tasks", "gauge", waiting.values());
  write_gauge(out, "longest_wait_ms", base::to_ms(longest));
}

/// Writes how many leafs have said that they leave, back off, or are evacuated.
void write_leaf_states(std::ostringstream& out, const serving::node_state& node,
                       base::time_point now) {
  double leaving = 0;
  double backing_off = 0;
  double evacuated = 0;
  for (const auto& [id, leaf] : node.leafs) {
    leaving += leaf->leaving ? 1 : 0;
    backing_off += serving::backs_off(*leaf, now) ? 1 : 0;
    evacuated += leaf->evacuated ? 1 : 0;
  }
  write_gauge(out, "leafs_leaving", leaving);
  write_gauge(out, "leafs_backing_off", backing_off);
  write_gauge(out, "leafs_evacuated", evacuated);
  write_gauge(out, "zones_evacuated", static_cast<double>(node.evacuated_zones.size()));
}

/// Writes what requests were expected to need and what they took, for the classes with
/// the most answers. Classes of accounts are left out.
void write_costs(std::ostringstream& out, const cost::cost_table& costs) {
  constexpr std::size_t max_classes = 64;
  std::vector<const cost::cost_class*> classes;
  for (const auto& [id, known] : costs.classes()) {
    if (known.key.account.empty() && known.weight > 0) {
      classes.push_back(&known);
    }
  }
  std::sort(
      classes.begin(), classes.end(),
      [](const cost::cost_class* first, const cost::cost_class* second) {
        return std::tie(second->answers, first->key.route, first->key.size_bucket) <
               std::tie(first->answers, second->key.route, second->key.size_bucket);
      });
  classes.resize(std::min(classes.size(), max_classes));
  const auto write = [&](const char* name, const char* type, const auto& value_of) {
    if (!classes.empty()) {
      out << "# TYPE ibis_request_cost_" << name << ' ' << type << '\n';
    }
    for (const cost::cost_class* known : classes) {
      out << "ibis_request_cost_" << name << "{route=\""
          << escape_label(known->key.route) << "\",size=\""
          << static_cast<unsigned>(known->key.size_bucket) << "\"} " << value_of(*known)
          << '\n';
    }
  };
  write("mean_ms", "gauge", [](const auto& known) { return known.mean_ms; });
  write("spread_ms", "gauge",
        [](const auto& known) { return std::sqrt(known.variance); });
  write("expected_ms_total", "counter",
        [](const auto& known) { return known.expected_ms_sum; });
  write("actual_ms_total", "counter",
        [](const auto& known) { return known.actual_ms_sum; });
  write("answers_total", "counter", [](const auto& known) { return known.answers; });
}

void write_counters(std::ostringstream& out, const serving::node_counters& count) {
  write_counter(out, "requests", count.requests);
  write_counter(out, "leaf_sends", count.sends);
  write_counter(out, "leaf_hedges", count.hedges);
  write_counter(out, "leaf_retries", count.retries);
  write_counter(out, "extra_requests_denied", count.budget_refusals);
  write_counter(out, "leaf_refusals", count.leaf_refusals);
  write_counter(out, "leaf_failures", count.leaf_failures);
  write_counter(out, "leaf_backoffs", count.leaf_backoffs);
  write_counter(out, "leaf_retry_after_bounded", count.leaf_retry_after_bounded);
  write_counter(out, "leaf_retry_after_ignored", count.leaf_retry_after_ignored);
  write_counter(out, "leaf_loads_ignored", count.leaf_loads_ignored);
  write_counter(out, "leaf_hedges_postponed", count.hedges_postponed);
  write_counter(out, "request_costs_exceeded", count.costs_exceeded);
  write_counter(out, "leaf_address_reuses", count.instance_mismatches);
  write_counter(out, "leaf_connections_opened", count.connections_opened);
  write_counter(out, "leaf_connections_failed", count.connections_failed);
  write_counter(out, "leaf_connections_lost", count.connections_lost);
  write_counter(out, "store_calls", count.store_calls);
  write_counter(out, "store_failures", count.store_failures);
  write_counter(out, "store_watch_checks", count.watch_checks);
  write_counter(out, "peer_questions", count.peer_questions);
  write_counter(out, "peer_failures", count.peer_failures);
  write_counter(out, "configurations_applied", count.catalogs);
  write_counter(out, "holder_requests", count.shard_calls);
  write_counter(out, "holder_requests_repeated", count.shard_calls_repeated);
  write_counter(out, "holders_silent", count.holders_silent);
  write_counter(out, "holder_requests_served", count.shards_served);
  write_counter(out, "requests_unknown_key", count.unknown_keys);
  write_counter(out, "requests_outdated_view", count.outdated_views);
  write_counter(out, "waiting_tasks_given_up", count.waits_given_up);
  write_by_account(out, "requests_refused_for_time_total", "counter",
                   count.refused_for_time.values());
}

/// Writes the number of requests of each account. Nothing without accounts.
void write_accounts(std::ostringstream& out, const access::request_counts& accounts) {
  if (accounts.by_name().empty()) {
    return;
  }
  out << "# TYPE ibis_account_requests_total counter\n";
  for (const auto& [name, count] : accounts.by_name()) {
    out << "ibis_account_requests_total{account=\"" << escape_label(name) << "\"} "
        << count << '\n';
  }
  write_counter(out, "account_requests_others", accounts.others());
}

/// Writes the counters of limited accounts. Accounts beyond a number are left out, so
/// that the page stays small.
void write_quotas(std::ostringstream& out, const serving::node_state& node) {
  using counter = std::uint64_t quota::account_counters::*;
  constexpr std::size_t max_accounts = 200;
  constexpr std::array<std::pair<const char*, counter>, 4> counters{{
      {"quota_admitted", &quota::account_counters::admitted},
      {"quota_admitted_locally", &quota::account_counters::admitted_locally},
      {"quota_refused", &quota::account_counters::refused},
      {"quota_undecided", &quota::account_counters::undecided},
  }};
  if (node.quota.accounts.empty()) {
    return;
  }
  std::map<std::string, const quota::account_state*> accounts;
  double owned = 0;
  for (const auto& [name, state] : node.quota.accounts) {
    accounts.emplace(name, &state);
    owned += state.owner.is_first ? 1 : 0;
  }
  if (accounts.size() > max_accounts) {
    accounts.erase(std::next(accounts.begin(), max_accounts), accounts.end());
  }
  write_gauge(out, "quota_accounts_owned", owned);
  for (const auto& [counter_name, member] : counters) {
    out << "# TYPE ibis_" << counter_name << "_total counter\n";
    for (const auto& [name, state] : accounts) {
      out << "ibis_" << counter_name << "_total{account=\"" << escape_label(name)
          << "\"} " << state->count.*member << '\n';
    }
  }
}

void write_process(std::ostringstream& out) {
  rusage usage{};
  if (::getrusage(RUSAGE_SELF, &usage) != 0) {
    return;  // The two gauges are omitted; nothing depends on them.
  }
  constexpr double microseconds_per_second = 1e6;
  const double cpu_s =
      static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
      static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) /
          microseconds_per_second;
  write_gauge(out, "process_cpu_seconds", cpu_s);
  // The C library declares the field within a union.
  const long peak = usage.ru_maxrss;  // NOLINT(cppcoreguidelines-pro-type-union-access)
  write_gauge(out, "process_peak_memory_kilobytes", static_cast<double>(peak));
}

}  // namespace

void record(node_metrics& metrics, const serving::record_request_end& request) {
  ++metrics.outcomes[static_cast<std::size_t>(request.outcome)];
  if (!request.route.empty()) {
    metrics.latencies[request.route].record(request.latency);
  }
}

std::string format_metrics(const node_metrics& metrics, const turn_meter& turns,
                           const serving::node_state& node, base::time_point now) {
  std::ostringstream out;
  out << "# TYPE ibis_requests_ended_total counter\n";
  for (std::size_t i = 0; i < metrics.outcomes.size(); ++i) {
    out << "ibis_requests_ended_total{outcome=\""
        << serving::to_string(static_cast<serving::outcome>(i)) << "\"} "
        << metrics.outcomes[i] << '\n';
  }
  write_counters(out, node.count);
  write_accounts(out, node.count.accounts);
  write_gauge(out, "requests_in_flight",
              static_cast<double>(node.pending_requests.size()));
  write_gauge(out, "leafs", static_cast<double>(node.leafs.size()));
  write_leaf_states(out, node, now);
  write_waiting(out, node, now);
  write_gauge(out, "leaf_connections", static_cast<double>(node.connections.size()));
  write_gauge(out, "nodes", static_cast<double>(node.nodes));
  const double version =
      node.configuration ? static_cast<double>(node.configuration->version) : 0;
  write_gauge(out, "configuration_version", version);
  write_gauge(out, "store_reachable", node.store_unavailable ? 0 : 1);
  write_view_ages(out, node, now);
  write_gauge(out, "shard_blocks", static_cast<double>(node.holders.blocks.size()));
  write_gauge(out, "shard_blocks_held", static_cast<double>(count_held_blocks(node)));
  write_gauge(out, "request_cost_trust", node.costs.trust());
  write_costs(out, node.costs);
  write_quotas(out, node);
  write_process(out);
  write_turns(out, turns);
  write_latencies(out, metrics);
  return out.str();
}

}  // namespace ibis::reactor
