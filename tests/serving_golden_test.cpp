#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <cstdlib>           // for getenv
#include <fstream>           // for ifstream
#include <functional>        // for function
#include <iomanip>           // for setprecision
#include <sstream>           // for ostringstream

#include "serving_fleet.hpp"  // for serving_fleet

namespace ibis::tests {
namespace {

using standins::leaf_reaction;
using standins::serving_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> old_shards{"s0", "s1", "s2"};
const std::vector<std::string> new_shards{"t0", "t1"};

/// Records the effects of a session as text, one line each.
class transcript {
 public:
  explicit transcript(serving_fleet& fleet) : fleet_(fleet), start_(fleet.now()) {
    fleet.effect_observer = [this](const serving::effect& observed) {
      std::visit([this](const auto& value) { write(value); }, observed);
    };
  }
  [[nodiscard]] std::string text() const { return out_.str(); }

 private:
  std::ostream& line() {
    out_ << std::fixed << std::setprecision(1) << base::to_ms(fleet_.now() - start_)
         << " ms: ";
    return out_;
  }
  void write(const serving::send_to_leaf& value) {
    line() << "sends " << value.request->id << " to " << value.leaf_id << ", "
           << value.remaining.count() << " ms left\n";
  }
  void write(const serving::answer_caller& value) {
    const serving::caller_answer& answer = value.answer;
    line() << "answers " << answer.status;
    if (answer.missing_shards) {
      out_ << ", " << answer.signatures.size() << " parts, " << *answer.missing_shards
           << " missing";
    }
    if (answer.retry_after) {
      out_ << ", come back after " << answer.retry_after->count() << " ms";
    }
    out_ << (answer.close ? ", closes\n" : "\n");
  }
  void write(const serving::log_line& value) {
    line() << "notes " << value.name;
    for (const serving::log_field& field : value.fields) {
      const std::string name = field.name;
      if (name == "leaf" || name == "version" || name == "reason" || name == "topic") {
        out_ << ' ' << field.value;
      }
    }
    out_ << '\n';
  }
  void write(const serving::list_topic& value) {
    line() << "lists "
           << (value.topic == serving::store_topic::leafs ? "leafs" : "configuration")
           << '\n';
  }
  void write(const serving::watch_topic& value) {
    line() << "watches "
           << (value.topic == serving::store_topic::leafs ? "leafs" : "configuration")
           << '\n';
  }
  void write(const serving::stop_accepting& /*value*/) {
    line() << "stops accepting\n";
  }
  void write(const serving::finish_process& value) {
    line() << "finishes, " << value.aborted_requests << " cut\n";
  }
  template <typename Other>
  void write(const Other& /*value*/) {}

  serving_fleet& fleet_;
  base::time_point start_;
  std::ostringstream out_;
};

serving::node_settings settings_with(double slack) {
  serving::node_settings settings;
  settings.budget.slack = slack;
  settings.leafs.maintenance_period = seconds(60);
  settings.store.count_period = seconds(60);
  return settings;
}

void populate(serving_fleet& fleet) {
  for (const auto& services :
       {old_shards, new_shards, std::vector<std::string>{"one"}}) {
    for (const std::string& service : services) {
      fleet.add_leaf(service + "-a", service);
      fleet.add_leaf(service + "-b", service);
    }
  }
  fleet.configure(standins::make_catalog(1, old_shards, "one"));
  fleet.start();
  fleet.run_for(seconds(20));
}

void set_service_reaction(serving_fleet& fleet, const std::string& service,
                          leaf_reaction reaction) {
  for (const char* suffix : {"-a", "-b"}) {
    fleet.leafs.at(service + suffix).reaction = [reaction](std::mt19937_64&) {
      return reaction;
    };
  }
}

void check_golden(const std::string& name, const std::string& text) {
  const std::string file = std::string(IBIS_GOLDEN_DIR) + "/serving_" + name + ".txt";
  if (std::getenv("IBIS_WRITE_GOLDEN") != nullptr) {
    std::ofstream(file) << text;
  }
  std::ifstream in(file);
  std::ostringstream expected;
  expected << in.rdbuf();
  INFO(name);
  CHECK(text == expected.str());
}

void run_session(const std::string& name,
                 const std::function<void(serving_fleet&)>& session,
                 double slack = 1e5) {
  serving_fleet fleet(42, settings_with(slack));
  populate(fleet);
  const transcript recorded(fleet);
  session(fleet);
  check_golden(name, recorded.text());
}

}  // namespace

TEST_CASE("The effects of recorded sessions match the golden files") {
  run_session("calm_query", [](serving_fleet& fleet) {
    fleet.send_request("q", "/q/", milliseconds(500));
    fleet.run_for(milliseconds(100));
  });
  run_session("pause_hedged", [](serving_fleet& fleet) {
    for (auto& [id, leaf] : fleet.leafs) {
      leaf.paused_until =
          id.back() == 'a' ? fleet.now() + milliseconds(150) : leaf.paused_until;
    }
    fleet.send_request("q", "/q/", milliseconds(500));
    fleet.run_for(milliseconds(300));
  });
  run_session("partial_at_the_objective", [](serving_fleet& fleet) {
    set_service_reaction(fleet, "s1", leaf_reaction::ignore);
    serving::catalog value = standins::make_catalog(2, old_shards, "one");
    value.routes[0].min_shard_share = 0.6;
    fleet.configure(value);
    fleet.run_for(milliseconds(200));
    fleet.send_request("q", "/q/", milliseconds(500));
    fleet.run_for(milliseconds(300));
  });
  run_session("reshard_in_mid_query", [](serving_fleet& fleet) {
    fleet.send_request("q1", "/q/", milliseconds(500));
    fleet.run_for(milliseconds(2));
    fleet.configure(standins::make_catalog(2, new_shards, "one"));
    fleet.run_for(milliseconds(100));
    fleet.send_request("q2", "/q/", milliseconds(500));
    fleet.run_for(milliseconds(100));
  });
  run_session("drain", [](serving_fleet& fleet) {
    fleet.set_draining("one-a");
    fleet.run_for(milliseconds(20));
    fleet.send_request("w1", "/write/", milliseconds(500));
    fleet.run_for(milliseconds(400));
    fleet.unregister("one-a");
    fleet.run_for(milliseconds(400));
  });
  run_session("reused_address", [](serving_fleet& fleet) {
    fleet.leafs.at("one-a").instance = "another";
    fleet.leafs.at("one-b").instance = "another";
    fleet.send_request("w1", "/write/", milliseconds(500));
    fleet.run_for(milliseconds(100));
    fleet.send_request("w2", "/write/", milliseconds(500));
    fleet.run_for(milliseconds(100));
  });
  run_session("answer_lost", [](serving_fleet& fleet) {
    set_service_reaction(fleet, "one", leaf_reaction::run_and_disconnect);
    fleet.send_request("r", "/read/", milliseconds(500));
    fleet.run_for(milliseconds(100));
    fleet.send_request("w", "/write/", milliseconds(500));
    fleet.run_for(milliseconds(100));
  });
  run_session("store_silent_through_a_change", [](serving_fleet& fleet) {
    fleet.set_store(standins::store_mode::stalled);
    fleet.drop_history();
    fleet.configure(standins::make_catalog(2, new_shards, "one"));
    fleet.run_for(seconds(2));
    fleet.send_request("q1", "/q/", milliseconds(500));
    fleet.run_for(milliseconds(100));
    fleet.set_store(standins::store_mode::healthy);
    fleet.run_for(seconds(3));
    fleet.send_request("q2", "/q/", milliseconds(500));
    fleet.run_for(milliseconds(100));
  });
  run_session("stop_under_load", [](serving_fleet& fleet) {
    for (const char* id : {"one-a", "one-b"}) {
      fleet.leafs.at(id).service_time = [](std::mt19937_64&) {
        return milliseconds(400);
      };
    }
    fleet.send_request("w1", "/write/", milliseconds(700));
    fleet.stop();
    fleet.run_for(milliseconds(2900));
    fleet.send_request("w2", "/write/", milliseconds(700));
    fleet.run_for(seconds(2));
  });
  run_session(
      "budget_spent",
      [](serving_fleet& fleet) {
        set_service_reaction(fleet, "one", leaf_reaction::refuse);
        for (const char* id : {"r1", "r2", "r3"}) {
          fleet.send_request(id, "/read/", milliseconds(500));
          fleet.run_for(milliseconds(50));
        }
      },
      14);
}

}  // namespace ibis::tests
