#include "ibis/config/parse.hpp"

#include <algorithm>         // for find_if
#include <catch2/catch.hpp>  // for TEST_CASE, CHECK

#include "ibis/config/manifest.hpp"  // for split_parts, join_parts
#include "ibis/config/settings.hpp"  // for parse_settings

namespace ibis::config {
namespace {

const std::string valid = R"(
availability_zones:
  - {name: praha-a, region: bohemia}
  - {name: brno-b}
services:
  registry-search:
    tenant: chladivo
    policy: {mode: latency_first, min_coverage: 0.9, answer_by_ms: 80}
    leaf_defaults: {slots: 3, connections: 30}
    groups:
      - shards: {first: 0, last: 3}
        leafs:
          - {name: a1, address: "10.0.0.1:9000"}
          - {name: a2, address: "10.0.0.2:9000", slots: 4}
      - shards: {first: 4, last: 7}
        leafs: [{name: b1, address: "10.0.0.3:9000"}]
leaving:
  a1: {leave_by: "2026-12-06T23:59:00+01:00"}
)";

document parse_text(const std::string& text, const std::string& file = "base.yaml") {
  return parse_document(text, file).value();
}

std::string with_replacement(const std::string& from, const std::string& to) {
  std::string text = valid;
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

TEST_CASE("A valid document is parsed into the configuration") {
  const auto parsed = parse_configuration(parse_text(valid));
  REQUIRE(parsed.errors.empty());
  const service& found = *parsed.value.services.at("registry-search");
  CHECK(found.tenant == "chladivo");
  CHECK(found.policy.mode == answer_mode::latency_first);
  CHECK(found.policy.answer_by == std::chrono::milliseconds(80));
  CHECK(found.groups[0].leafs[0].slots == 3);
  CHECK(found.groups[0].leafs[1].slots == 4);
  CHECK(found.groups[1].leafs[0].connections == 30);
  CHECK(shard_count(found) == 8);
  CHECK(format_timestamp(parsed.value.leaving.at("a1")) == "2026-12-06T22:59:00Z");
}

struct invalid_document_case {
  std::string from;
  std::string to;
  std::string error;  ///< The complete line.
};

TEST_CASE("Each error names file, line, path, what was found and what was expected") {
  const std::vector<invalid_document_case> table{
      {"slots: 3", "slots: 0",
       "base.yaml:9: services.registry-search.leaf_defaults.slots: found '0'; expected "
       "a number from 1 to 1024, inclusive"},
      {"slots: 3", "slots: many",
       "base.yaml:9: services.registry-search.leaf_defaults.slots: found 'many'; "
       "expected a number from 1 to 1024, inclusive"},
      {"mode: latency_first", "mode: fast",
       "base.yaml:8: services.registry-search.policy.mode: found 'fast'; "
       "expected coverage_first or latency_first"},
      {"min_coverage: 0.9", "min_coverage: 1.5",
       "base.yaml:8: services.registry-search.policy.min_coverage: found '1.5'; "
       "expected a number from 0.000000 to 1.000000, inclusive"},
      {"answer_by_ms", "anwser_by_ms",
       "base.yaml:8: services.registry-search.policy.anwser_by_ms: unknown key; did "
       "you "
       "mean 'answer_by_ms'?"},
      {"tenant: chladivo", "repeatable: true",
       "base.yaml:7: services.registry-search.tenant: missing; a string is required"},
      {"\"10.0.0.1:9000\"", "\"somewhere\"",
       "base.yaml:13: services.registry-search.groups[0].leafs[0].address: found "
       "'somewhere'; expected 'ip:port'"},
      {"first: 4", "first: 5",
       "base.yaml:11: services.registry-search.groups: shard 4 is held by no group"},
      {"first: 4", "first: 3",
       "base.yaml:11: services.registry-search.groups: shard 3 is held by two groups"},
      {"name: brno-b", "name: praha-a",
       "base.yaml:4: availability_zones[1].name: 'praha-a' is declared twice"},
      {"+01:00", "",
       "base.yaml:18: leaving.a1.leave_by: found '2026-12-06T23:59:00'; expected a "
       "timestamp with its UTC offset, such as 2026-12-06T23:59:00+01:00"},
      {"[{name: b1, address: \"10.0.0.3:9000\"}]", "none",
       "base.yaml:16: services.registry-search.groups[1].leafs: found 'none'; "
       "expected a list"},
  };
  for (const invalid_document_case& item : table) {
    const auto parsed =
        parse_configuration(parse_text(with_replacement(item.from, item.to)));
    INFO(item.from << " -> " << item.to);
    REQUIRE_FALSE(parsed.errors.empty());
    CHECK(describe(parsed.errors.front()) == item.error);
  }
}

TEST_CASE("All errors of a document are reported together") {
  std::string text = with_replacement("slots: 3", "slots: 0");
  text.replace(text.find("0.9"), 3, "1.9");
  CHECK(parse_configuration(parse_text(text)).errors.size() == 2);
}

TEST_CASE("An error in one field does not hide errors in later fields") {
  const auto parsed = parse_settings(
      parse_document("{vm: [], availability_zone: {}, http_threads: 1, platform: []}",
                     "f")
          .value());
  CHECK(parsed.errors.size() == 4);
}

TEST_CASE("A leaf must not be in more than one replica group") {
  const auto parsed =
      parse_configuration(parse_text(with_replacement("name: b1", "name: a1")));
  REQUIRE(parsed.errors.size() == 1);
  CHECK(parsed.errors.front().message == "leaf 'a1' is in more than one replica group");
}

TEST_CASE(
    "An overlay merges maps, replaces lists and scalars, and deletes keys by null") {
  const document base = parse_text(valid);
  const document overlay = parse_text(R"(
services:
  registry-search:
    policy: {answer_by_ms: 40}
    leaf_defaults: ~
availability_zones: [{name: only}]
)",
                                      "site.yaml");
  const auto parsed = parse_configuration(merge_overlay(base, overlay));
  REQUIRE(parsed.errors.empty());
  const service& found = *parsed.value.services.at("registry-search");
  CHECK(found.policy.answer_by == std::chrono::milliseconds(40));
  CHECK(found.policy.min_coverage == 0.9);
  CHECK(found.groups[0].leafs[0].slots == 2);
  CHECK(parsed.value.zones.size() == 1);
}

// Guards against an error that is looked for in the wrong file.
TEST_CASE("An error is not in an overlay that adds a sibling with a shorter name") {
  const document base = parse_text(with_replacement("slots: 3", "slots: 0"));
  const document overlay = parse_text("services: {registry: {tenant: u}}", "over.yaml");
  const auto parsed = parse_configuration(merge_overlay(base, overlay));
  const std::string path = "services.registry-search.leaf_defaults.slots";
  const auto error =
      std::find_if(parsed.errors.begin(), parsed.errors.end(),
                   [&path](const document_error& value) { return value.path == path; });
  REQUIRE(error != parsed.errors.end());
  CHECK(error->file == "base.yaml");
}

TEST_CASE("An error in an overlay names the overlay's file") {
  const document overlay = parse_text(
      "services: {registry-search: {policy: {min_coverage: 7}}}", "site.yaml");
  const auto parsed = parse_configuration(merge_overlay(parse_text(valid), overlay));
  REQUIRE(parsed.errors.size() == 1);
  CHECK(parsed.errors.front().file == "site.yaml");
  CHECK(parsed.errors.front().line == 1);
}

// Guards against a settings file that ends a running process when it is read again.
TEST_CASE("A document with odd keys, or one without end, is refused") {
  for (const char* text : {"{}: 1", "[a]: 1", "a: {{b: c}: d}", "a: [{[]: 1}]",
                           "&a {b: *a}", "&a {b: [*a]}"}) {
    INFO(text);
    const auto parsed = parse_document(text, "x");
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().step == "parse yaml");
  }
  std::string doubled = "a0: &a0 [1, 2]\n";
  for (int i = 1; i < 30; ++i) {
    const std::string before = std::to_string(i - 1);
    const std::string self = std::to_string(i);
    doubled += "a" + self + ": &a" + self + " [*a" + before + ", *a" + before + "]\n";
  }
  CHECK_FALSE(parse_document(doubled, "x"));
  CHECK(parse_document("a: &a {b: 1}\nc: *a", "x"));
}

TEST_CASE(
    "Input that cannot be read, is not YAML or is not a map gets a specific error") {
  CHECK(parse_document("- a\n- b", "x").error().detail == "the document must be a map");
  CHECK(parse_document("a: [", "x").error().code == base::error_code::invalid_input);
  CHECK(load_documents({"/nowhere/x.yaml"}).error().code ==
        base::error_code::not_found);
}

TEST_CASE("Joining the parts of a configuration restores it") {
  const auto parsed = parse_configuration(parse_text(valid));
  const auto parts = split_parts(parsed.value);
  manifest names;
  part_store store;
  for (const auto& [name, text] : parts) {
    names.parts[name] = name;
    store[name] = text;
  }
  const auto joined = join_parts(names, store, {}, {});
  REQUIRE(joined);
  CHECK(*joined.value().services.at("registry-search") ==
        *parsed.value.services.at("registry-search"));
  CHECK(joined.value().zones == parsed.value.zones);
  CHECK(joined.value().leaving == parsed.value.leaving);
  SECTION("an unchanged service is shared, not parsed again") {
    const auto again = join_parts(names, store, joined.value(), names.parts);
    CHECK(again.value().services.at("registry-search") ==
          joined.value().services.at("registry-search"));
  }
  SECTION("a missing part is named") {
    store.erase("service/registry-search");
    CHECK(join_parts(names, store, {}, {}).error().detail ==
          "part 'service/registry-search' is missing");
  }
}

TEST_CASE("A manifest round-trips through JSON, and an invalid one is rejected") {
  manifest value;
  value.generation = 7;
  value.token = "t";
  value.author = "anna";
  value.note = "why";
  value.applied_at_ms = 9;
  value.parts = {{"zones", "abc"}};
  value.history = {{6, "s", "ben", "before", 8}};
  CHECK(read_manifest(write_manifest(value)).value() == value);
  for (const char* invalid : {"", "{}", "[]", "{\"generation\": \"x\"}", "null"}) {
    CHECK_FALSE(read_manifest(invalid));
  }
}

TEST_CASE("Settings are validated") {
  const auto parse = [](const std::string& text) {
    return parse_settings(parse_text(text, "vm.yaml"));
  };
  const auto good = parse("{vm: a, availability_zone: z, platform: \"1.2.3.4:80\"}");
  CHECK(good.errors.empty());
  CHECK(good.value.entry_port == 7100);
  const auto bad = parse(
      "{vm: a, availability_zone: z, ports: {entry: 70000}, log: "
      "{form: xml}, seedz: []}");
  REQUIRE(bad.errors.size() == 4);
  CHECK(describe(bad.errors[0]) ==
        "vm.yaml:1: ports.entry: found '70000'; expected a number from 0 to 65535, "
        "inclusive");
}

TEST_CASE("Timestamps need a UTC offset and a date and time that exist") {
  CHECK(parse_timestamp("2026-12-06T23:59:00Z").value() ==
        parse_timestamp("2026-12-07T00:59:00+01:00").value());
  for (const char* invalid :
       {"", "tomorrow", "2026-12-06", "2026-12-06T23:59:00", "2026-13-06T23:59:00Z",
        "2026-12-32T23:59:00Z", "2026-12-06T25:59:00Z"}) {
    INFO(invalid);
    CHECK_FALSE(parse_timestamp(invalid));
  }
}

TEST_CASE("A timestamp is read as UTC or with its offset") {
  CHECK(parse_timestamp("1970-01-01T00:00:01Z").value() == std::chrono::seconds(1));
  CHECK(parse_timestamp("1970-01-01T01:00:01+01:00").value() ==
        std::chrono::seconds(1));
  CHECK(parse_timestamp("1969-12-31T12:30:00-11:30").value() ==
        std::chrono::milliseconds(0));
}

// Guards against a time of leaving that is taken for another one than was written.
TEST_CASE("A timestamp with anything odd in it is refused") {
  for (const char* text :
       {"2026-12-06T23:59:00Zulu", "2026-12-06T23:59:00Z ",
        "2026-12-06T23:59:00+01:00x", "2026-12-06T23:59:60Z", "2026-12-06T23:59:99Z",
        "2026-12-06T23:59:00+15:00", "2026-12-06T23:59:00+01:60",
        "2026-12-06T23:59:00+-1:00", "2026-12-06T24:00:00Z", "2026-02-30T00:00:00Z",
        "2026-12-06T23:59:00", ""}) {
    INFO(text);
    CHECK_FALSE(parse_timestamp(text));
  }
}

}  // namespace
}  // namespace ibis::config
