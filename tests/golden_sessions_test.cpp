#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <cstdlib>           // for getenv
#include <fstream>           // for ifstream
#include <functional>        // for function
#include <iomanip>           // for setprecision
#include <sstream>           // for ostringstream

#include "small_tier.hpp"  // for make_tier

namespace ibis::tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Records each effect that concerns requests as a line of text.
class transcript {
 public:
  explicit transcript(virtual_tier& tier) : tier_(tier), start_(tier.now()) {}

  void note(const std::string& node, const policy::effect& effect) {
    std::visit([&](const auto& value) { write(node, value); }, effect);
  }
  [[nodiscard]] std::string text() const { return out_.str(); }

 private:
  std::ostream& line(const std::string& node) {
    out_ << std::fixed << std::setprecision(1) << base::to_ms(tier_.now() - start_)
         << " ms " << node << ": ";
    return out_;
  }
  void write(const std::string& node, const policy::send_message& value) {
    if (value.channel == wire::channel::control) {
      return;
    }
    if (const auto* request = std::get_if<wire::block_request>(&value.body)) {
      line(node) << "asks " << value.node << " block " << request->block
                 << " at version " << request->index_version << '\n';
    } else if (const auto* reply = std::get_if<wire::block_reply>(&value.body)) {
      line(node) << (reply->final ? "replies to " : "replies early to ") << value.node
                 << ": covered " << reply->covered.size() << ", missing "
                 << reply->missing.size() << '\n';
    } else {
      line(node) << "cancels a call to " << value.node << '\n';
    }
  }
  void write(const std::string& node, const policy::send_leaf_request& value) {
    const auto& pools = tier_.nodes.at(node).state.blocks.pools;
    line(node) << "asks " << pools.connections.at(value.connection).leaf << " for "
               << value.shards.size() << " shards at version " << value.index_version
               << '\n';
  }
  void write(const std::string& node, const policy::cancel_leaf_request& value) {
    line(node) << "cancels at " << value.leaf << '\n';
  }
  void write(const std::string& node, const policy::answer_caller& value) {
    line(node) << "answers " << policy::to_string(value.answer.outcome) << ", version "
               << value.answer.index_version << ", covered " << value.answer.covered
               << " of " << value.answer.total;
    for (const wire::missing_shard& shard : value.answer.missing) {
      out_ << ", shard " << shard.shard << ' ' << wire::to_string(shard.reason);
    }
    out_ << '\n';
  }
  template <typename Other>
  void write(const std::string& /*node*/, const Other& /*value*/) {}

  virtual_tier& tier_;  // NOLINT(*-avoid-const-or-ref-data-members)
  base::time_point start_;
  std::ostringstream out_;
};

struct session {
  std::string name;
  std::function<void(virtual_tier&)> before;  ///< Runs before the query.
  std::function<void(virtual_tier&)> during;  ///< Runs 1 ms into the query.
};

std::vector<session> sessions() {
  const auto no_change = [](virtual_tier&) {};
  const auto first_leaf = [](virtual_tier& tier) -> virtual_leaf& {
    return tier.leafs.at(leaf_name(0, 1));  // It receives the first request.
  };
  const auto for_all_leafs = [](virtual_tier& tier,
                                const std::function<void(virtual_leaf&)>& change) {
    for (auto& [name, leaf] : tier.leafs) {
      change(leaf);
    }
  };
  return {
      {"all_well", no_change, no_change},
      {"straggler_hedged",
       [=](virtual_tier& tier) {
         first_leaf(tier).service_time = [](std::mt19937_64&) {
           return base::duration(milliseconds(150));
         };
       },
       no_change},
      {"leaf_lost_mid_query", no_change,
       [=](virtual_tier& tier) { first_leaf(tier).dead = true; }},
      {"version_flips_mid_query",
       [=](virtual_tier& tier) {
         for_all_leafs(tier, [](virtual_leaf& leaf) {
           leaf.oldest_version = 5;
           leaf.newest_version = 6;
         });
       },
       no_change},
      {"shard_moved_mid_query",
       [=](virtual_tier& tier) { first_leaf(tier).moved = {0}; }, no_change},
      {"silent_connection",
       [=](virtual_tier& tier) {
         for_all_leafs(tier, [](virtual_leaf& leaf) {
           for (const auto& [connection, node] : leaf.connections) {
             leaf.silent_connections.insert(connection);
           }
         });
       },
       no_change},
      {"drain", [=](virtual_tier& tier) { first_leaf(tier).draining = true; },
       no_change},
      {"shed",
       [=](virtual_tier& tier) {
         for_all_leafs(tier, [](virtual_leaf& leaf) {
           leaf.slots = 0;
           leaf.queue_limit = 0;
         });
       },
       no_change},
      {"relay_lost_mid_query", no_change,
       [](virtual_tier& tier) {
         const auto holder = policy::holder_candidates(
             tier.nodes.at(entry_name(0, 0)).state.shared.nodes, "search/0");
         tier.kill(holder.front());
       }},
      {"caller_gone", no_change,
       [](virtual_tier& tier) {
         tier.post(entry_name(0, 0), policy::caller_disconnected{{2}});
       }},
  };
}

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST_CASE("The effects of each session match its golden file") {
  for (const session& item : sessions()) {
    SECTION(item.name) {
      tier_shape shape;
      shape.zones = 2;
      shape.vms_per_zone = 1;
      const auto tier = make_tier(shape);
      query_and_wait(*tier, entry_name(0, 0), milliseconds(400));
      tier->run_for(milliseconds(50));
      transcript recorded(*tier);
      tier->effect_observer = [&](const std::string& node,
                                  const policy::effect& effect) {
        recorded.note(node, effect);
      };
      item.before(*tier);
      tier->after(milliseconds(1), [&] { item.during(*tier); });
      tier->query(entry_name(0, 0), service_name, "q", milliseconds(400));
      tier->run_for(milliseconds(500));
      const std::string path = std::string(IBIS_GOLDEN_DIR) + '/' + item.name + ".txt";
      if (std::getenv("IBIS_WRITE_GOLDEN") != nullptr) {
        std::ofstream(path) << recorded.text();
      }
      CHECK(recorded.text() == read_file(path));
      CHECK_FALSE(recorded.text().empty());
    }
  }
}

}  // namespace
}  // namespace ibis::tests
