#include "ibis/reactor/process_settings.hpp"

#include <algorithm>  // for min

#include "ibis/serving/view_age.hpp"  // for fit_propagation

namespace ibis::reactor {
namespace {

using base::milliseconds;

constexpr milliseconds max_margin = std::chrono::minutes(10);
constexpr double max_slack = 1e6;
constexpr double max_lines_per_s = 1e6;

void read_listen(config::reader& root, process_settings& value) {
  config::reader listen = root.child("listen");
  listen.read("clients", value.client_address, true);
  listen.read("readiness", value.readiness_address, true);
  listen.read("metrics", value.metrics_address);
  listen.read("peers", value.peer_address);
  listen.report_unknown_keys();
}

void read_budget(config::reader& root, serving::node_settings& value) {
  config::reader budget = root.child("extra_requests");
  double window_s = base::to_ms(value.budget.window) / 1000.0;
  budget.read("ratio", value.budget.ratio, 0.0, 10.0);
  budget.read("slack", value.budget.slack, 0.0, max_slack);
  budget.read("window_s", window_s, 0.1, 3600.0);
  value.budget.window = milliseconds(static_cast<milliseconds::rep>(window_s * 1000));
  budget.report_unknown_keys();
}

/// Reads the bound of requests beyond the accounts' limits. Without the section, no
/// limits are enforced.
void read_quota(config::reader& root, serving::node_settings& value) {
  if (!root.has("quota")) {
    return;
  }
  quota::bound_settings bound;
  double window_s = base::to_ms(bound.window) / 1000.0;
  config::reader section = root.child("quota");
  section.read("window_s", window_s, 0.1, 3600.0);
  section.read("overage", bound.overage, 0.0, 10.0);
  section.read("slack", bound.slack, 0.0, max_slack);
  section.report_unknown_keys();
  bound.window = milliseconds(static_cast<milliseconds::rep>(window_s * 1000));
  value.quota = bound;
}

/// Derives the timing of a shutdown from the platform's grace period. It ends before
/// the period does, since the process must exit before the platform kills it.
void read_stop(config::reader& root, serving::node_settings& value) {
  constexpr double abort_share = 0.85;
  constexpr double accept_share = 0.5;
  config::reader stop = root.child("stop");
  double grace_s = 6;
  stop.read("grace_s", grace_s, 0.1, 3600.0);
  stop.report_unknown_keys();
  const double grace_ms = grace_s * 1000;
  value.stop.limit =
      milliseconds(static_cast<milliseconds::rep>(grace_ms * abort_share));
  value.stop.accept_for =
      milliseconds(static_cast<milliseconds::rep>(grace_ms * accept_share));
}

void read_peers(config::reader& root, serving::node_settings& value) {
  constexpr std::uint32_t max_watchers = 100;
  auto watchers = static_cast<std::uint32_t>(value.peers.watchers);
  config::reader peers = root.child("peers");
  peers.read("watchers", watchers, std::uint32_t{0}, max_watchers);
  peers.report_unknown_keys();
  value.peers.watchers = watchers;
}

/// Reads how soon changes in the store must be applied. Evacuations are followed only
/// if their limit is stated.
void read_propagation(config::reader& root, serving::node_settings& value) {
  constexpr milliseconds default_limit{3000};
  const milliseconds shortest = serving::shortest_propagation_limit(value);
  milliseconds configuration = default_limit;
  milliseconds leafs = default_limit;
  config::reader propagation = root.child("propagation");
  propagation.read("configuration_ms", configuration, shortest, max_margin);
  propagation.read("leafs_ms", leafs, shortest, max_margin);
  milliseconds evacuations = std::min(configuration, leafs);
  value.store.follow_evacuations = propagation.has("evacuations_ms");
  propagation.read("evacuations_ms", evacuations, shortest, max_margin);
  propagation.report_unknown_keys();
  serving::fit_propagation(value, std::min({configuration, leafs, evacuations}));
  value.access.view_limit = configuration;
}

/// Reads whether and how soon removed access keys must be refused without the store.
void read_access(config::reader& root, serving::node_settings& value) {
  config::reader access = root.child("access");
  access.read("strict_revocation", value.access.strict_revocation);
  access.read("revocation_ms", value.access.revocation_limit, milliseconds(1),
              max_margin);
  access.report_unknown_keys();
}

void read_holders(config::reader& root, serving::node_settings& value) {
  constexpr std::uint32_t max_connections = 10000;
  constexpr std::uint32_t max_block_shards = 1000;
  constexpr std::uint32_t max_per_zone = 100;
  serving::holder_settings& holders = value.holders;
  auto min_own = static_cast<std::uint32_t>(holders.min_own_connections);
  auto block_shards = static_cast<std::uint32_t>(holders.block_shards);
  auto per_zone = static_cast<std::uint32_t>(holders.per_zone);
  config::reader settings = root.child("holders");
  settings.read("min_own_connections", min_own, std::uint32_t{0}, max_connections);
  settings.read("block_shards", block_shards, std::uint32_t{1}, max_block_shards);
  settings.read("per_zone", per_zone, std::uint32_t{1}, max_per_zone);
  settings.report_unknown_keys();
  holders.min_own_connections = min_own;
  holders.block_shards = block_shards;
  holders.per_zone = per_zone;
}

void read_hedging(config::reader& root, serving::node_settings& value) {
  config::reader hedge = root.child("hedging");
  hedge.read("quantile", value.hedge.quantile, 0.5, 0.999);
  hedge.read("earliest_share", value.hedge.earliest_share, 0.0, 1.0);
  hedge.read("latest_share", value.hedge.latest_share, 0.0, 1.0);
  hedge.report_unknown_keys();
}

void read_leaf_choice(config::reader& root, serving::node_settings& value) {
  config::reader choice = root.child("leaf_choice");
  choice.read("by_cost", value.leafs.by_cost);
  choice.report_unknown_keys();
}

void read_log(config::reader& root, process_settings& value) {
  config::reader log = root.child("log");
  log.read("requests", value.log.log_requests);
  log.read("lines_per_s", value.log.limits.lines_per_s, 1.0, max_lines_per_s);
  log.report_unknown_keys();
  value.log.node = value.node;
}

}  // namespace

parsed_process_settings parse_process_settings(const config::document& source) {
  parsed_process_settings parsed;
  process_settings& value = parsed.value;
  config::reader root(source, parsed.errors);
  root.read("node", value.node, true);
  value.serving.node = value.node;
  root.read("availability_zone", value.serving.availability_zone, true);
  root.read("store", value.store_address, true);
  root.read("first_start", value.serving.first_start);
  read_listen(root, value);
  read_budget(root, value.serving);
  read_quota(root, value.serving);
  read_stop(root, value.serving);
  read_hedging(root, value.serving);
  read_leaf_choice(root, value.serving);
  read_peers(root, value.serving);
  read_propagation(root, value.serving);
  read_access(root, value.serving);
  read_holders(root, value.serving);
  root.read("travel_margin_ms", value.serving.travel_margin, milliseconds(0),
            max_margin);
  root.read("connect_margin_ms", value.serving.connect_margin, milliseconds(0),
            max_margin);
  read_log(root, value);
  root.report_unknown_keys();
  return parsed;
}

}  // namespace ibis::reactor
