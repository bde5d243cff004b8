/// One version of the configuration in the form that a node uses: routes, services and
/// limits. A catalog is immutable; each request keeps using the version that was in
/// force when it arrived.
#pragma once

#include <cstddef>        // for size_t
#include <cstdint>        // for uint64_t
#include <memory>         // for shared_ptr
#include <optional>       // for optional
#include <string>         // for string
#include <string_view>    // for string_view
#include <unordered_map>  // for unordered_map
#include <unordered_set>  // for unordered_set
#include <vector>         // for vector

#include "ibis/access/accounts.hpp"  // for account_table
#include "ibis/base/time.hpp"        // for milliseconds

namespace ibis::serving {

/// How a route distributes a request over services.
enum class route_shape : std::uint8_t {
  single,   ///< To one leaf of one service.
  split,    ///< To one leaf of a service that is chosen by weight.
  fan_out,  ///< To one leaf of each service, which are shards; the answers are merged.
};

/// A target of a split route.
struct weighted_service {
  std::string service;
  double weight = 0;  ///< Relative to the weights of the route's other targets.
};

/// Where requests for a host and path prefix go, and how they are handled.
struct route {
  std::string name;
  std::string host;
  std::string prefix;  ///< Path prefix; begins and ends with a slash.
  route_shape shape = route_shape::single;
  bool idempotent = false;          ///< Whether a request may safely be executed twice.
  base::milliseconds timeout{0};    ///< Longest time until a request is answered.
  base::milliseconds objective{0};  ///< Target latency as seen by the client.
  std::uint32_t priority = 0;       ///< 0 is the most urgent.
  bool allow_anonymous = false;     ///< Requests need no access key.
  std::uint32_t max_leafs = 1;  ///< Different leafs that may get a task of a request.
  std::vector<weighted_service> targets;  ///< For `single` and `split`.
  std::vector<std::string> shards;        ///< For `fan_out`: one service per shard.
  std::size_t top = 0;         ///< For `fan_out`: number of records in a merged answer.
  double min_shard_share = 0;  ///< For `fan_out`: share of shards required for success.
};

/// A group of leafs that serve the same requests.
struct service {
  std::string name;
  std::uint32_t max_connections = 0;  ///< To one leaf, from all its callers together.
};

/// Limits on what a client may send and how long it may take.
struct client_limits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = 1 << 20;
  base::milliseconds header_timeout{5000};
  base::milliseconds idle_timeout{15000};
};

/// A version of the configuration.
struct catalog {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::unordered_map<std::string, service> services;  ///< By name.
  client_limits limits;
  /// The client accounts; nothing if requests need no access key.
  std::optional<access::account_table> accounts;
  /// Indices into `routes` by host, longest prefix first. Filled by `index_routes`.
  std::unordered_map<std::string, std::vector<std::size_t>> by_host;
  /// Names of the services that some route uses. Filled by `index_routes`.
  std::unordered_set<std::string> routed;
};

/// A catalog shared by the node and the requests that use it.
using catalog_ptr = std::shared_ptr<const catalog>;

/// Fills `by_host` and `routed`. Must be called before `find_route`.
void index_routes(catalog& config);

/// Finds the route for a request.
/// @param host Value of the Host header field; its port and case are ignored.
/// @param target Path and query.
/// @return The route of that host with the longest matching prefix, or nullptr.
const route* find_route(const catalog& config, std::string_view host,
                        std::string_view target);

/// Chooses a target of a split route in proportion to the weights. Successive positions
/// of a low-discrepancy sequence keep the proportions accurate over short runs too.
/// @param position Any number in [0, 1).
const std::string& choose_target(const route& split, double position);

/// @return How many shards must answer for a fan-out request to succeed; at least 1.
std::size_t required_shards(const route& fan_out);

}  // namespace ibis::serving
