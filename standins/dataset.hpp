/// A generated data set of plausible records, and the answers that queries of it should
/// get.
#pragma once

#include <cstdint>  // for uint64_t
#include <string>   // for string
#include <vector>   // for vector

#include "ibis/wire/messages.hpp"  // for hit, shard_index

namespace ibis::standins {

/// The subject of the records.
enum class dataset_kind : std::uint8_t {
  registry,  ///< Case histories of degassed fridges.
  catalog,   ///< Supplies for shop counters.
};

/// A searchable record of one shard.
struct record {
  std::string id;
  wire::shard_index shard = 0;
  std::uint64_t since_version = 1;  ///< The first index version that contains it.
  std::vector<std::string> words;   ///< In lower case and sorted; queries match them.
  std::string body;                 ///< JSON text.
};

/// All records, grouped by shard.
struct dataset {
  std::vector<std::vector<record>> by_shard;
};

/// What determines the content of a data set.
struct dataset_settings {
  dataset_kind kind = dataset_kind::registry;
  std::uint64_t seed = 1;
  std::size_t shards = 8;
  std::size_t records = 4000;
};

/// Generates a data set; equal settings give equal records.
dataset make_dataset(const dataset_settings& settings);

/// Finds the records in some shards that contain all words of a query, best score
/// first.
/// @param version The index version; records of later versions are left out.
std::vector<wire::hit> search(const dataset& data,
                              const std::vector<wire::shard_index>& shards,
                              const std::string& query, std::uint64_t version,
                              std::size_t limit);

/// Generates queries that match records of the data set; equal seeds give equal
/// queries.
std::vector<std::string> sample_queries(const dataset& data, std::size_t count,
                                        std::uint64_t seed);

}  // namespace ibis::standins
