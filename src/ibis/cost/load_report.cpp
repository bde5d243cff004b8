#include "ibis/cost/load_report.hpp"

#include <algorithm>  // for clamp, max, min
#include <cmath>      // for exp2

namespace ibis::cost {
namespace {

constexpr base::milliseconds report_half_life{100};
constexpr base::milliseconds max_report_age{500};
// Bounds of the influence of a leaf's own statement. Speeds vary by a factor of 2.5.
constexpr double min_pace = 0.25;
constexpr double max_pace = 5.0;
constexpr double max_others_per_slot = 8.0;

}  // namespace

received_report receive_report(const load_report& report, std::size_t own,
                               base::time_point now) {
  const double total = static_cast<double>(report.running.value_or(0)) +
                       static_cast<double>(report.waiting.value_or(0));
  return {report, now, std::max(0.0, total - static_cast<double>(own))};
}

double report_weight(const received_report& received, base::time_point now) {
  const base::duration age = std::max(base::duration{0}, now - received.at);
  if (age >= max_report_age) {
    return 0;
  }
  return std::exp2(-base::to_ms(age) / base::to_ms(report_half_life));
}

double told_pace(const load_report& report) {
  return std::clamp(report.pace.value_or(1.0), min_pace, max_pace);
}

double current_pace(const received_report& received, double usual,
                    base::time_point now) {
  if (!received.report.pace) {
    return usual;
  }
  const double weight = report_weight(received, now);
  return usual + weight * (told_pace(received.report) - usual);
}

double current_others(const received_report& received, std::uint32_t slots,
                      base::time_point now) {
  return report_weight(received, now) *
         std::min(received.others, max_others_per_slot * std::max(1U, slots));
}

bool says_idle(const load_report& report) {
  return report.waiting.value_or(0) == 0;
}

}  // namespace ibis::cost
