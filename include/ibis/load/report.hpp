/// HTML reports of load experiments.
#pragma once

#include <string>  // for string
#include <vector>  // for vector

#include "ibis/load/result.hpp"  // for experiment_result

namespace ibis::load {

/// Renders a self-contained HTML page with plots and tables; it loads nothing from the
/// network.
/// @param results One result, or two to compare.
std::string render_html_report(const std::vector<experiment_result>& results);

}  // namespace ibis::load
