/// A node's view of a leaf, and the state of a connection to it.
#pragma once

#include <cstddef>   // for size_t
#include <cstdint>   // for uint64_t
#include <memory>    // for shared_ptr
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "ibis/base/id.hpp"              // for caller_id, connection_id
#include "ibis/base/time.hpp"            // for time_point
#include "ibis/cost/cost_table.hpp"      // for request_class
#include "ibis/cost/load_report.hpp"     // for received_report
#include "ibis/serving/leaf_record.hpp"  // for leaf_record
#include "ibis/serving/settings.hpp"     // for leaf_settings

namespace ibis::serving {

/// Whether the registry has a leaf's record.
enum class leaf_registration : std::uint8_t {
  active,
  expired,  ///< The record is missing, but may come back within the hold time.
  removed,  ///< The leaf gets no new work.
};

/// A request that a leaf has not answered yet.
struct running_request {
  base::connection_id connection;
  base::time_point sent_at{};
  base::duration late_after{0};  ///< Age of the request that makes the leaf suspect.
  cost::request_class cost_class{};
  base::duration expected{0};  ///< What a leaf needs for it; 0 if unknown.
  /// When it got a slot, as far as this node can tell; nothing while it waits.
  std::optional<base::time_point> started_at{};
  bool found_idle_slot = false;  ///< It did not wait behind requests of this node.
};

/// A node's view of one incarnation of a leaf.
struct leaf_state {
  leaf_record record;
  std::uint64_t key = 0;  ///< Identifies this incarnation within the process.
  leaf_registration registration = leaf_registration::active;
  base::time_point remove_at{};    ///< When a leaf with an expired record is removed.
  base::time_point joined_at{};    ///< When this node learned of it.
  bool instance_mismatch = false;  ///< A different leaf answered at its address.
  /// It has said that it leaves, whatever its record says.
  bool leaving = false;
  bool evacuated = false;              ///< Its availability zone is evacuated.
  base::time_point backs_off_until{};  ///< See `backs_off`.
  /// It has backed off, and has not answered a request since.
  bool returns_from_backoff = false;

  std::vector<base::connection_id> idle;  ///< Sorted by last use, oldest first.
  std::size_t open = 0;                   ///< Number of idle and busy connections.
  std::size_t opening = 0;                ///< Number of connections being established.
  std::vector<running_request> running;

  double concurrency_limit = 3.0;   ///< Maximum number of requests in flight.
  base::time_point decreased_at{};  ///< When `concurrency_limit` was last lowered.
  base::time_point next_send_at{};  ///< Used while `concurrency_limit` is below 1.
  /// Ratio of the leaf's latency to the typical latency of the same routes.
  double slowness = 1.0;
  base::time_point slowness_updated_at{};
  double failure_rate = 0;  ///< Smoothed share of attempts that failed, 0 to 1.
  base::time_point failure_rate_updated_at{};
  std::optional<cost::received_report> load;  ///< The latest load report.
  std::uint32_t connect_failures = 0;         ///< Consecutive failures.
  base::time_point next_connect_at{};         ///< End of the backoff after a failure.
  base::time_point warming_until{};  ///< Until then it is slow after its start.
};

/// A leaf shared by the node, its service and its connections.
using leaf_ptr = std::shared_ptr<leaf_state>;

/// What a connection is being used for.
enum class connection_phase : std::uint8_t { opening, idle, busy };

/// A request that was sent on a connection.
struct carried_request {
  std::uint64_t key = 0;       ///< See `request_key`.
  base::time_point expires{};  ///< When the request cannot be sent again any more.
};

/// One connection from this node to a leaf.
struct connection_state {
  leaf_ptr leaf;
  connection_phase phase = connection_phase::opening;
  /// Increases with each use, so that outdated timers can be recognized.
  std::uint64_t serial = 0;
  /// The request in flight, or the one for which the connection is being opened.
  base::caller_id caller;
  std::size_t shard = 0;         ///< Index of the task within that request.
  base::time_point since{};      ///< When the current phase began.
  base::time_point opened_at{};  ///< When it was established.
  bool has_answered = false;     ///< The leaf has answered on this connection.
  /// Latency that is typical of the request's route.
  base::duration typical_latency{0};
  base::milliseconds idle_timeout{0};  ///< As announced by the leaf; 0 if unknown.
  /// Requests that were sent on it. None of them is sent on it again: a late second
  /// copy of the first answer would be taken for the answer to the second send.
  std::vector<carried_request> carried;
};

/// @return A key by which connections remember a request, made from its id.
std::uint64_t request_key(const std::string& request_id);

/// Whether a request was sent on the connection.
bool has_carried(const connection_state& connection, std::uint64_t key);

/// Whether the leaf may get new requests.
bool takes_new_work(const leaf_state& leaf);

/// Updates the leaf's slowness with the latency of an answer.
/// @param typical_latency Latency that is typical of the request's route.
void update_slowness(leaf_state& leaf, base::duration latency,
                     base::duration typical_latency, base::time_point now,
                     const leaf_settings& settings);

/// Updates the leaf's failure rate with the outcome of an attempt.
void update_failure_rate(leaf_state& leaf, bool failed, base::time_point now,
                         const leaf_settings& settings);

/// @return The expected ratio of the leaf's latency to the typical one. Past
/// observations decay over time, so that a leaf that was slow is tried again.
double current_slowness(const leaf_state& leaf, base::time_point now,
                        const leaf_settings& settings);

/// Whether a request has been unanswered for too long: the leaf may be paused or down.
bool is_suspect(const leaf_state& leaf, base::time_point now);

/// Whether connecting to the leaf failed and the backoff has not ended yet.
bool is_unreachable(const leaf_state& leaf, base::time_point now);

/// @return The expected cost of a request to the leaf, for comparison with other
/// leafs. Lower is better; a healthy, unloaded leaf in the same availability zone has
/// cost 1.
double expected_cost(const leaf_state& leaf, bool same_zone, base::time_point now,
                     const leaf_settings& settings);

/// As above.
/// @param load_cost The part of the cost that depends on the leaf's speed and load; 1
/// for a healthy, unloaded leaf.
double expected_cost(const leaf_state& leaf, double load_cost, bool same_zone,
                     base::time_point now, const leaf_settings& settings);

}  // namespace ibis::serving
