// The budget of extra requests of all nodes together, while nodes start, stop and are
// not seen by others. The nodes' reducers count each other by their records in a store
// whose listings are up to two seconds old.
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <cstdlib>           // for getenv
#include <deque>             // for deque
#include <map>               // for map
#include <random>            // for mt19937_64

#include "ibis/serving/connection_quota.hpp"  // for service_budget
#include "ibis/serving/node.hpp"              // for make_node, reduce, start

namespace ibis::tests {
namespace {

using base::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* service = "one";
constexpr milliseconds step{100};
constexpr milliseconds max_listing_age{2000};
/// How long a node still works after its record was removed.
constexpr milliseconds work_after_removal{2400};

serving::node_settings make_settings(bool first_start) {
  serving::node_settings settings;
  settings.budget.slack = 52;
  settings.first_start = first_start;
  return settings;
}

/// When a node's record was written and removed.
struct record_times {
  time_point written_at{};
  std::optional<time_point> removed_at;
};

struct fleet_node {
  serving::node_state state;
  serving::extra_budget budget;
  std::optional<time_point> ends_at;
};

/// Requests and extra requests at the service.
struct service_load {
  time_point at{};
  std::uint32_t requests = 0;
  std::uint32_t extras = 0;
};

class budget_fleet {
 public:
  explicit budget_fleet(std::uint64_t seed) : random_(seed) {}

  void start_node(const std::string& name, bool first_start = false) {
    fleet_node& node = nodes_[name];
    node = {};
    node.state = serving::make_node(make_settings(first_start),
                                    static_cast<std::uint32_t>(random_()));
    carry_out(name, serving::start(node.state, now_));
  }
  /// Ends a node without notice; its record stays.
  void kill(const std::string& name) { nodes_.erase(name); }
  /// Removes a node's record; the node ends a little later.
  void stop(const std::string& name) {
    nodes_.at(name).ends_at = now_ + work_after_removal;
    records_[name].removed_at = now_;
  }
  [[nodiscard]] bool is_running(const std::string& name) const {
    const auto found = nodes_.find(name);
    return found != nodes_.end() && !found->second.ends_at;
  }
  [[nodiscard]] bool exists(const std::string& name) const {
    return nodes_.contains(name);
  }

  void run_for(base::duration time) {
    const time_point end = now_ + time;
    for (; now_ < end; now_ += step) {
      run_timers();
      add_load();
      check();
    }
  }

  bool refuses_writes = false;
  double highest_slack = 0;        ///< Of all nodes together.
  double highest_overrun = -1000;  ///< Extra requests beyond what the window allows.

 private:
  void run_timers() {
    std::erase_if(nodes_, [this](const auto& entry) {
      return entry.second.ends_at && *entry.second.ends_at <= now_;
    });
    for (auto& [name, node] : nodes_) {
      const auto due = serving::next_tick(node.state);
      if (due && *due <= now_) {
        carry_out(name, serving::reduce(node.state, serving::tick{}, now_));
      }
    }
  }

  void carry_out(const std::string& name, const serving::effects& out) {
    serving::node_state& state = nodes_.at(name).state;
    for (const serving::effect& effect : out) {
      if (std::holds_alternative<serving::register_node>(effect)) {
        write_record(name);
        carry_out(name,
                  serving::reduce(state, serving::node_record_written{!refuses_writes},
                                  now_));
      } else if (std::holds_alternative<serving::count_nodes>(effect)) {
        carry_out(name, serving::reduce(state, count_for(name), now_));
      }
    }
  }

  void write_record(const std::string& name) {
    record_times& record = records_[name];
    const bool exists = record.written_at != time_point{} && !record.removed_at;
    if (!refuses_writes && !exists) {
      record = {now_, std::nullopt};
    }
  }

  serving::nodes_counted count_for(const std::string& name) {
    const time_point seen_at =
        now_ - milliseconds(random_() %
                            static_cast<std::uint64_t>(max_listing_age.count() + 1));
    serving::nodes_counted counted;
    for (const auto& [other, record] : records_) {
      const bool seen = record.written_at != time_point{} &&
                        record.written_at <= seen_at &&
                        (!record.removed_at || *record.removed_at > seen_at);
      counted.count += seen ? 1 : 0;
      counted.self = counted.self || (seen && other == name);
    }
    return counted;
  }

  /// Each node gets some requests and sends as many extra ones as it may.
  void add_load() {
    service_load load{now_, 0, 0};
    for (auto& [name, node] : nodes_) {
      const auto settings = serving::service_budget(node.state, service, now_);
      for (std::uint64_t i = random_() % 3; i > 0; --i) {
        node.budget.count_request(now_, settings);
        ++load.requests;
      }
      while (node.budget.try_spend(now_, settings)) {
        ++load.extras;
      }
    }
    loads_.push_back(load);
    while (now_ - loads_.front().at >= make_settings(false).budget.window) {
      loads_.pop_front();
    }
  }

  void check() {
    double slack = 0;
    for (const auto& [name, node] : nodes_) {
      slack += serving::service_budget(node.state, service, now_).slack;
    }
    highest_slack = std::max(highest_slack, slack);
    const serving::extra_budget_settings whole = make_settings(false).budget;
    double allowed = whole.slack;
    double extras = 0;
    for (const service_load& load : loads_) {
      allowed += whole.ratio * load.requests;
      extras += load.extras;
    }
    highest_overrun = std::max(highest_overrun, extras - allowed);
  }

  time_point now_{std::chrono::hours(1)};
  std::mt19937_64 random_;
  std::map<std::string, fleet_node> nodes_;
  std::map<std::string, record_times> records_;
  std::deque<service_load> loads_;
};

std::string node_name(std::uint64_t number) {
  return "n" + std::to_string(number);
}

std::uint64_t seed_count() {
  const char* text = std::getenv("IBIS_SEEDS");  // NOLINT(concurrency-mt-unsafe)
  return text == nullptr ? 40 : std::stoull(text);
}

/// Starts a fleet for the first time, within two seconds.
void start_fleet(budget_fleet& fleet, std::uint64_t size, std::mt19937_64& random) {
  for (std::uint64_t i = 0; i < size; ++i) {
    fleet.start_node(node_name(i), true);
    fleet.run_for(milliseconds(random() % (2000 / size + 1)));
  }
}

}  // namespace

// Guards against nodes that start, and that others do not count yet, whose shares of
// the budget come on top of all others'.
TEST_CASE("The slack of all nodes together stays within the service's") {
  const double slack = make_settings(false).budget.slack;
  for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    budget_fleet fleet(seed);
    const std::uint64_t size = 2 + random() % 11;
    start_fleet(fleet, size, random);
    std::uint64_t added = size;
    for (int event = 0; event < 12; ++event) {
      const std::string name = node_name(random() % added);
      fleet.refuses_writes = random() % 4 == 0;
      if (!fleet.exists(name)) {
        fleet.start_node(name);
      } else if (fleet.is_running(name) && random() % 2 == 0) {
        fleet.stop(name);
      } else if (fleet.is_running(name) && random() % 2 == 0) {
        fleet.kill(name);
      } else {
        for (std::uint64_t i = random() % 4; i > 0; --i) {
          fleet.start_node(node_name(added++));
        }
      }
      fleet.run_for(milliseconds(random() % 12000));
    }
    CHECK(fleet.highest_slack <= slack);
  }
}

// Guards against extra requests beyond the budget while nodes join a fleet and others
// leave it.
TEST_CASE("Nodes that join and leave keep the extra requests within the budget") {
  for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    budget_fleet fleet(seed);
    const std::uint64_t size = 5 + random() % 8;
    start_fleet(fleet, size, random);
    fleet.run_for(seconds(25));
    std::uint64_t added = size;
    for (int event = 0; event < 6; ++event) {
      for (std::uint64_t i = random() % 3; i > 0; --i) {
        fleet.start_node(node_name(added++));
      }
      const std::string leaving = node_name(random() % added);
      if (fleet.is_running(leaving)) {
        fleet.stop(leaving);
      }
      fleet.run_for(seconds(5) + milliseconds(random() % 20000));
    }
    CHECK(fleet.highest_overrun <= 0);
  }
}

}  // namespace ibis::tests
