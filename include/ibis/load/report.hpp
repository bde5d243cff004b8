/// A self-contained HTML page with plots of one or two results.
#pragma once

#include <string>  // for string
#include <vector>  // for vector

#include "ibis/load/result.hpp"  // for experiment_result

namespace ibis::load {

/// @param results One result, or two that are compared.
std::string write_report(const std::vector<experiment_result>& results);

}  // namespace ibis::load
