/// An experiment: what is asked, how often, for how long. From a YAML file.
#pragma once

#include <cstdint>  // for uint64_t
#include <string>   // for string
#include <vector>   // for vector

#include "ibis/config/reader.hpp"  // for document

namespace ibis::load {

enum class arrival_process : std::uint8_t { constant, poisson, bursts };
enum class request_kind : std::uint8_t { query, submit };

/// The data set that the asked leafs hold, to check answers against.
struct dataset_reference {
  std::string kind = "registry";  ///< registry or catalog.
  std::uint64_t seed = 1;
  std::uint32_t shards = 8;
  std::uint32_t records = 4000;
};

/// One kind of requests in the mix.
struct mix_item {
  std::string service;
  std::string tenant = "anonymous";
  std::string priority = "normal";
  request_kind kind = request_kind::query;
  double weight = 1;
  std::uint32_t limit = 10;
  base::milliseconds timeout{1000};
  std::uint32_t leaf_requests = 1;  ///< Replica groups that a request needs.
  dataset_reference data;
};

struct experiment {
  std::string name;
  std::uint64_t seed = 1;
  base::milliseconds warm_up{1000};
  base::milliseconds duration{10000};
  arrival_process arrivals = arrival_process::poisson;
  double rate = 100;  ///< Requests a second.
  std::uint32_t burst_size = 10;
  std::uint32_t workers = 64;  ///< Requests in flight at the most.
  std::vector<mix_item> mix;
};

struct parsed_experiment {
  experiment value;
  std::vector<config::document_error> errors;
};

parsed_experiment parse_experiment(const config::document& source);

/// One request to be made.
struct arrival {
  base::duration at{0};  ///< From the start, warm-up included.
  std::size_t item = 0;  ///< In the mix.
  std::uint64_t number = 0;
};

/// @return All requests of an experiment, the same for the same seed, in order.
std::vector<arrival> make_schedule(const experiment& value);

}  // namespace ibis::load
