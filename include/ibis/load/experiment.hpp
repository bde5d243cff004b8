/// Load experiments: the request mix, the arrival rate and the duration, parsed from a
/// YAML file.
#pragma once

#include <cstdint>  // for uint64_t
#include <string>   // for string
#include <vector>   // for vector

#include "ibis/config/reader.hpp"  // for document

namespace ibis::load {

/// How the start times of requests are spread: at equal intervals, with exponentially
/// distributed intervals, or in bursts of `burst_size` at once.
enum class arrival_process : std::uint8_t { constant, poisson, bursts };
/// The operation of a request: searching an index or submitting a document.
enum class request_kind : std::uint8_t { query, submit };

/// Parameters of the generated data set that the queried stand-in leafs hold. The same
/// parameters produce the same data, so `ibis_load` can check answers against it.
struct dataset_reference {
  std::string kind = "registry";  ///< "registry" or "catalog".
  std::uint64_t seed = 1;
  std::uint32_t shards = 8;
  std::uint32_t records = 4000;
};

/// One type of request in an experiment's mix.
struct mix_item {
  std::string service;
  std::string tenant = "anonymous";
  std::string priority = "normal";
  request_kind kind = request_kind::query;
  double weight = 1;         ///< Share of the requests, relative to the other weights.
  std::uint32_t limit = 10;  ///< Maximum number of hits of a query.
  base::milliseconds timeout{1000};
  std::uint32_t leaf_requests = 1;  ///< Replica groups that one request must reach.
  dataset_reference dataset;
};

/// What to send to a tier, at what rate and for how long.
struct experiment {
  std::string name;
  std::uint64_t seed = 1;
  base::milliseconds warm_up{1000};    ///< Left out of latencies and outcomes.
  base::milliseconds duration{10000};  ///< After the warm-up.
  arrival_process arrivals = arrival_process::poisson;
  double rate = 100;              ///< Mean arrival rate, in requests per second.
  std::uint32_t burst_size = 10;  ///< Requests per burst, for `bursts` only.
  std::uint32_t workers = 64;     ///< Maximum number of requests in flight.
  std::vector<mix_item> mix;
};

/// The result of parsing an experiment. The value is usable only if there are no
/// errors.
struct parsed_experiment {
  experiment value;
  std::vector<config::document_error> errors;
};

/// Parses and validates an experiment. All errors of the document are reported
/// together.
parsed_experiment parse_experiment(const config::document& source);

/// One scheduled request.
struct arrival {
  base::duration start_offset{0};     ///< From the start of the warm-up.
  std::size_t mix_index = 0;          ///< Index into `experiment::mix`.
  std::uint64_t sequence_number = 0;  ///< Position in the schedule, from 0.
};

/// Generates the schedule of an experiment.
/// @return All requests, ordered by start time; the same for the same seed.
std::vector<arrival> make_schedule(const experiment& spec);

}  // namespace ibis::load
