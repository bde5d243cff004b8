#include <catch2/catch.hpp>  // for TEST_CASE, CHECK
#include <functional>        // for function
#include <set>               // for set

#include "holder_fleet.hpp"        // for holder_fleet
#include "ibis/wire/codec.hpp"     // for encode
#include "ibis/wire/messages.hpp"  // for message

namespace ibis::tests {
namespace {

using standins::holder_fleet;
using std::chrono::seconds;

constexpr std::size_t node_count = 30;
constexpr std::size_t shard_count = 12;
constexpr const char* key = "secret-of-a";
constexpr const char* access_lines = "Key: secret-of-a\r\nAccount: forged\r\n";

/// What nodes passed on for a request.
struct passed_on {
  std::vector<std::string> frames;  ///< To other nodes, encoded.
  std::vector<serving::send_to_leaf> sends;
  std::vector<wire::shards_request> requests;
  std::vector<std::string> logs;  ///< All values of all log lines.
};

void note_effect(passed_on& noted, const serving::effect& effect) {
  if (const auto* request = std::get_if<serving::request_shards>(&effect)) {
    noted.frames.push_back(wire::encode(request->request));
    noted.requests.push_back(request->request);
  } else if (const auto* sent = std::get_if<serving::send_to_leaf>(&effect)) {
    noted.sends.push_back(*sent);
  } else if (const auto* line = std::get_if<serving::log_line>(&effect)) {
    for (const serving::log_field& field : line->fields) {
      noted.logs.push_back(field.value);
    }
  }
}

serving::catalog make_access_catalog(bool with_accounts) {
  std::vector<std::string> shards;
  for (std::size_t shard = 0; shard < shard_count; ++shard) {
    shards.push_back("s" + std::to_string(shard));
  }
  serving::catalog catalog = standins::make_catalog(1, shards, "one");
  if (with_accounts) {
    catalog.accounts =
        access::make_account_table({{{"a", 7, 0, 0}, {key}}, {{"b", {}, 0, 0}, {"kb"}}},
                                   [](const std::string&, const char*) {});
  }
  return catalog;
}

/// Thirty nodes in two availability zones, which ask holders for shards.
void populate(holder_fleet& fleet, const serving::catalog& catalog) {
  for (std::size_t node = 0; node < node_count; ++node) {
    fleet.add_node("node-" + std::to_string(node), "zone-" + std::to_string(node % 2));
  }
  for (std::size_t shard = 0; shard < shard_count; ++shard) {
    const std::string service = "s" + std::to_string(shard);
    fleet.add_leaf(service + "-a", service, "zone-0");
    fleet.add_leaf(service + "-b", service, "zone-1");
  }
  fleet.add_leaf("one-a", "one", "zone-0");
  fleet.configure(catalog);
  fleet.start();
}

/// Sends the same request through each node.
/// @return The statuses of the answers.
std::set<unsigned> send_to_all(holder_fleet& fleet, const char* target) {
  std::vector<base::caller_id> callers;
  for (std::size_t node = 0; node < node_count; ++node) {
    const std::string name = "node-" + std::to_string(node);
    callers.push_back(fleet.send_request(name, "r-" + name, target));
    fleet.run_for(std::chrono::milliseconds(100));
  }
  fleet.run_for(seconds(2));
  std::set<unsigned> statuses;
  for (const base::caller_id caller : callers) {
    const auto* answer = fleet.find_answer(caller);
    statuses.insert(answer == nullptr ? 0 : answer->answer.status);
  }
  return statuses;
}

passed_on run(bool with_accounts, const char* target, std::set<unsigned>& statuses,
              const std::function<void(serving::inbound_request&)>& prepare) {
  passed_on noted;
  holder_fleet fleet(3, 40);
  populate(fleet, make_access_catalog(with_accounts));
  fleet.prepare_request = prepare;
  fleet.observe_effect = [&noted](const std::string&, const serving::effect& effect) {
    note_effect(noted, effect);
  };
  statuses = send_to_all(fleet, target);
  return noted;
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

// Guards against keys that reach other nodes, or leafs through them, with the header of
// a request, and against requests that lose their account or priority on the way.
TEST_CASE("A holder gets the account's name and priority and no key") {
  std::set<unsigned> statuses;
  const passed_on noted =
      run(true, "/q/", statuses, [](serving::inbound_request& request) {
        request.head = "GET /q/ HTTP/1.1\r\n";
        request.access_key = key;
        request.access_fields = access_lines;
      });
  CHECK(statuses == std::set<unsigned>{200});
  CHECK(noted.frames.size() > node_count / 2);
  for (const std::string& frame : noted.frames) {
    CHECK_FALSE(contains(frame, "secret"));
    CHECK_FALSE(contains(frame, "forged"));
  }
  for (const wire::shards_request& request : noted.requests) {
    CHECK(request.account == "a");
    CHECK(request.priority == 7);
    CHECK(request.head == "GET /q/ HTTP/1.1\r\n");
  }
  CHECK(noted.sends.size() >= node_count * shard_count);
  for (const serving::send_to_leaf& sent : noted.sends) {
    CHECK(sent.account == "a");
    CHECK(sent.request->head == "GET /q/ HTTP/1.1\r\n");
  }
  for (const std::string& value : noted.logs) {
    CHECK_FALSE(contains(value, "secret"));
  }
}

// Guards against fields that are lost on the way through another node where they have
// no meaning to the nodes.
TEST_CASE("Without accounts the access fields reach leafs through holders too") {
  std::set<unsigned> statuses;
  const std::string head = "GET /q/ HTTP/1.1\r\n";
  const passed_on noted =
      run(false, "/q/", statuses, [&head](serving::inbound_request& request) {
        request.head = head;
        request.access_key = key;
        request.access_fields = access_lines;
      });
  CHECK(statuses == std::set<unsigned>{200});
  CHECK_FALSE(noted.requests.empty());
  for (const wire::shards_request& request : noted.requests) {
    CHECK(request.account.empty());
    CHECK(request.head == head + access_lines);
  }
  CHECK(noted.sends.size() >= node_count * shard_count);
  for (const serving::send_to_leaf& sent : noted.sends) {
    CHECK(sent.account.empty());
    CHECK(sent.request->head == head + access_lines);
  }
}

// Guards against refused requests that cause work, and against keys in the log lines
// which report them.
TEST_CASE(
    "A request with an unknown key is refused by every node and passed on to none") {
  std::set<unsigned> statuses;
  const passed_on noted =
      run(true, "/q/", statuses, [](serving::inbound_request& request) {
        request.access_key = "secret-of-nobody";
        request.access_fields = "Key: secret-of-nobody\r\n";
      });
  CHECK(statuses == std::set<unsigned>{401});
  CHECK(noted.frames.empty());
  CHECK(noted.sends.empty());
  CHECK_FALSE(noted.logs.empty());
  for (const std::string& value : noted.logs) {
    CHECK_FALSE(contains(value, "secret"));
  }
}

TEST_CASE("An account without a priority has that of the route") {
  std::set<unsigned> statuses;
  const passed_on noted =
      run(true, "/q/", statuses,
          [](serving::inbound_request& request) { request.access_key = "kb"; });
  CHECK(statuses == std::set<unsigned>{200});
  REQUIRE_FALSE(noted.requests.empty());
  CHECK(noted.requests.front().priority == 0);
  CHECK(noted.requests.front().account == "b");
}

}  // namespace ibis::tests
