#include "dataset.hpp"

#include <algorithm>          // for sort, find
#include <array>              // for array
#include <cctype>             // for tolower
#include <nlohmann/json.hpp>  // for json
#include <random>             // for mt19937_64
#include <sstream>            // for istringstream

#include "ibis/base/hash.hpp"  // for hash64

namespace ibis::standins {
namespace {

using nlohmann::json;
using word_list = std::vector<std::string>;

/// One in this many records, on average, first appears in a random index version of up
/// to `max_late_version`.
constexpr std::uint64_t late_record_period = 4;
constexpr std::uint64_t max_late_version = 50;

const word_list& companies() {
  static const word_list names{"Moravský Recykl", "Chladservis Brno", "Ostrava Kov",
                               "Praha Eko",       "Vysočina Metal",   "Labe Sběr"};
  return names;
}

const word_list& refrigerants() {
  static const word_list names{"R12", "R134a", "R600a", "R22", "R404A"};
  return names;
}

const word_list& foams() {
  static const word_list names{"cyclopentane", "R11", "R141b", "R245fa"};
  return names;
}

const word_list& products() {
  static const word_list names{"thermal roll", "receipt paper", "label sheet",
                               "pill bottle",  "price gun",     "pharmacy bag"};
  return names;
}

const word_list& makers() {
  static const word_list names{"Oconee", "Ocmulgee", "Dixie", "PeeDee", "Savannah"};
  return names;
}

class random_picker {
 public:
  explicit random_picker(std::uint64_t seed) : random_(seed) {}
  std::uint64_t below(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random_);
  }
  const std::string& one_of(const word_list& words) {
    return words[below(words.size())];
  }

 private:
  std::mt19937_64 random_;
};

word_list split_words(const std::string& text) {
  word_list words;
  std::string word;
  for (const char character : text + ' ') {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || byte >= 0x80 || character == '-') {
      word.push_back(static_cast<char>(std::tolower(byte)));
    } else if (!word.empty()) {
      words.push_back(word);
      word.clear();
    }
  }
  return words;
}

json make_case(random_picker& random, const std::string& serial) {
  return {{"serial", serial},
          {"firm", random.one_of(companies())},
          {"refrigerant", random.one_of(refrigerants())},
          {"recovered_grams", 20 + random.below(180)},
          {"foam_agent", random.one_of(foams())},
          {"foam_grams", 100 + random.below(400)},
          {"cylinder", "CYL-" + std::to_string(random.below(400))},
          {"degassed_on", "2026-" + std::to_string(1 + random.below(9)) + "-" +
                              std::to_string(10 + random.below(18))}};
}

json make_product(random_picker& random, const std::string& sku) {
  constexpr std::array<std::uint64_t, 5> widths{44, 57, 58, 76, 80};
  return {{"sku", sku},
          {"product", random.one_of(products())},
          {"maker", random.one_of(makers())},
          {"width_mm", widths[random.below(widths.size())]},
          {"pack", 5 * (1 + random.below(20))},
          {"price_cents", 199 + random.below(9000)},
          {"stock", random.below(500)}};
}

record make_record(random_picker& random, const dataset_settings& settings,
                   std::size_t number) {
  const bool registry = settings.kind == dataset_kind::registry;
  const std::string id = (registry ? "CZ-" : "PD-") + std::to_string(100000 + number);
  const json body = registry ? make_case(random, id) : make_product(random, id);
  record result;
  result.id = id;
  result.shard = static_cast<wire::shard_index>(base::hash64(id) % settings.shards);
  result.since_version = 1;
  if (random.below(late_record_period) == 0) {
    result.since_version = 1 + random.below(max_late_version);
  }
  result.body = body.dump();
  result.words = split_words(result.body);
  std::sort(result.words.begin(), result.words.end());
  return result;
}

bool contains_all(const record& candidate, const word_list& query_words) {
  for (const std::string& word : query_words) {
    if (!std::binary_search(candidate.words.begin(), candidate.words.end(), word)) {
      return false;
    }
  }
  return !query_words.empty();
}

/// A pseudorandom score that depends only on the record and the query.
double make_score(const record& candidate, const std::string& query) {
  constexpr std::uint64_t steps = 10000;
  return static_cast<double>(base::hash64(candidate.id, base::hash64(query)) % steps) /
         static_cast<double>(steps);
}

}  // namespace

dataset make_dataset(const dataset_settings& settings) {
  random_picker random(settings.seed);
  dataset data;
  data.by_shard.resize(settings.shards);
  for (std::size_t number = 0; number < settings.records; ++number) {
    record result = make_record(random, settings, number);
    data.by_shard[result.shard].push_back(std::move(result));
  }
  return data;
}

std::vector<wire::hit> search(const dataset& data,
                              const std::vector<wire::shard_index>& shards,
                              const std::string& query, std::uint64_t version,
                              std::size_t limit) {
  const word_list query_words = split_words(query);
  std::vector<wire::hit> hits;
  for (const wire::shard_index shard : shards) {
    if (shard >= data.by_shard.size()) {
      continue;
    }
    for (const record& candidate : data.by_shard[shard]) {
      if (candidate.since_version <= version && contains_all(candidate, query_words)) {
        hits.push_back(
            {candidate.id, make_score(candidate, query), shard, candidate.body});
      }
    }
  }
  const auto better = [](const wire::hit& left, const wire::hit& right) {
    return left.score != right.score ? left.score > right.score : left.id < right.id;
  };
  std::sort(hits.begin(), hits.end(), better);
  hits.resize(std::min(hits.size(), limit));
  return hits;
}

std::vector<std::string> sample_queries(const dataset& data, std::size_t count,
                                        std::uint64_t seed) {
  random_picker random(seed);
  std::vector<std::string> queries;
  while (queries.size() < count) {
    const auto& shard = data.by_shard[random.below(data.by_shard.size())];
    if (shard.empty()) {
      continue;
    }
    const json body = json::parse(shard[random.below(shard.size())].body);
    const bool registry = body.contains("serial");
    const bool exact = random.below(4) == 0;
    if (exact) {
      queries.push_back(body[registry ? "serial" : "sku"]);
    } else if (registry) {
      queries.push_back(body["refrigerant"].get<std::string>() + ' ' +
                        body["foam_agent"].get<std::string>());
    } else {
      queries.push_back(body["product"].get<std::string>() + ' ' +
                        std::to_string(body["width_mm"].get<int>()));
    }
  }
  return queries;
}

}  // namespace ibis::standins
