/// Load reports of leafs, and what remains of them with time.
#pragma once

#include <cstddef>   // for size_t
#include <cstdint>   // for uint32_t
#include <optional>  // for optional

#include "ibis/base/time.hpp"  // for duration, time_point

namespace ibis::cost {

/// A leaf's report of its load. Each value may be missing.
struct load_report {
  std::optional<std::uint32_t> running;
  std::optional<std::uint32_t> waiting;
  std::optional<std::uint32_t> slots;
  std::optional<double> pace;  ///< How long work takes there; 1 is usual.
};

/// The latest report of a leaf.
struct received_report {
  load_report report;
  base::time_point at{};  ///< When it arrived.
  double others = 0;      ///< Requests in it that are not of this node.
};

/// @return The report with the number of requests of other nodes.
/// @param own How many requests of this node the leaf has. They count in the report.
received_report receive_report(const load_report& report, std::size_t own,
                               base::time_point now);

/// @return The weight of a report, which falls from 1 to 0. The pace changes many times
/// a second, so that a report says little after a few hundred milliseconds.
double report_weight(const received_report& received, base::time_point now);

/// @return The pace that a report states, within bounds; 1 if it states none.
double told_pace(const load_report& report);

/// @return The pace to expect now.
/// @param usual The pace to expect without a report.
double current_pace(const received_report& received, double usual,
                    base::time_point now);

/// @return The number of other nodes' requests to expect at the leaf now.
double current_others(const received_report& received, std::uint32_t slots,
                      base::time_point now);

/// Whether a leaf's work on a request can be taken for what the request needs alone:
/// no request waited when the leaf sent the report with its answer.
bool says_idle(const load_report& report);

}  // namespace ibis::cost
