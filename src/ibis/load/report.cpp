#include "ibis/load/report.hpp"

#include <algorithm>   // for max
#include <cmath>       // for log10
#include <functional>  // for function
#include <iomanip>     // for setprecision
#include <sstream>     // for ostringstream

namespace ibis::load {
namespace {

// Sizes in SVG user units.
constexpr double plot_width = 860;
constexpr double plot_height = 240;
constexpr double margin_left = 64;
constexpr double margin_bottom = 34;
constexpr double margin_top = 14;
// Low end of the latency axes.
constexpr double min_plotted_ms = 0.1;
const std::vector<std::string> colours{"#1f5fa8", "#c2571a", "#2b8a55", "#8a3f9e"};

struct point {
  double x = 0;
  double y = 0;
};

/// One curve of a plot.
struct line {
  std::string label;
  std::string colour;
  std::vector<point> points;
};

struct axis {
  double low = 0;
  double high = 1;
  bool logarithmic = false;
  std::string label;
};

std::string escape_html(const std::string& text) {
  std::string escaped_text;
  for (const char character : text) {
    if (character == '<') {
      escaped_text += "&lt;";
    } else if (character == '&') {
      escaped_text += "&amp;";
    } else {
      escaped_text.push_back(character);
    }
  }
  return escaped_text;
}

/// @return The relative position of a value on an axis, from 0 at the low end to 1 at
/// the high end.
double relative_position(const axis& scale, double value) {
  if (!scale.logarithmic) {
    return (value - scale.low) / (scale.high - scale.low);
  }
  const double low = std::log10(scale.low);
  const double high = std::log10(scale.high);
  return (std::log10(std::max(value, scale.low)) - low) / (high - low);
}

double x_coordinate(const axis& scale, double value) {
  return margin_left +
         relative_position(scale, value) * (plot_width - margin_left - 10);
}

double y_coordinate(const axis& scale, double value) {
  const double usable_height = plot_height - margin_bottom - margin_top;
  return margin_top + (1.0 - relative_position(scale, value)) * usable_height;
}

std::vector<double> tick_values(const axis& scale) {
  std::vector<double> ticks;
  if (scale.logarithmic) {
    for (double tick = scale.low; tick <= scale.high * 1.001; tick *= 10) {
      ticks.push_back(tick);
    }
    return ticks;
  }
  constexpr int intervals = 5;
  for (int i = 0; i <= intervals; ++i) {
    ticks.push_back(scale.low + (scale.high - scale.low) * i / intervals);
  }
  return ticks;
}

void write_grid(std::ostringstream& out, const axis& horizontal, const axis& vertical) {
  for (const double tick : tick_values(vertical)) {
    const double y = y_coordinate(vertical, tick);
    out << "<line class='grid' x1='" << margin_left << "' x2='" << plot_width - 10
        << "' y1='" << y << "' y2='" << y << "'/><text x='" << margin_left - 8
        << "' y='" << y + 4 << "' text-anchor='end'>" << tick << "</text>";
  }
  for (const double tick : tick_values(horizontal)) {
    const double x = x_coordinate(horizontal, tick);
    out << "<text x='" << x << "' y='" << plot_height - 16 << "' text-anchor='middle'>"
        << tick << "</text>";
  }
  out << "<text x='" << plot_width / 2 << "' y='" << plot_height - 2
      << "' text-anchor='middle'>" << horizontal.label << "</text>";
  out << "<text x='4' y='10'>" << vertical.label << "</text>";
}

void write_line(std::ostringstream& out, const line& plotted_line,
                const axis& horizontal, const axis& vertical) {
  out << "<polyline fill='none' stroke-width='2' stroke='" << plotted_line.colour
      << "' points='";
  for (const point& vertex : plotted_line.points) {
    out << x_coordinate(horizontal, vertex.x) << ',' << y_coordinate(vertical, vertex.y)
        << ' ';
  }
  out << "'/>";
}

void write_plot(std::ostringstream& out, const std::string& title,
                const std::vector<line>& lines, const axis& horizontal,
                const axis& vertical) {
  out << "<h2>" << title << "</h2><p class='legend'>";
  for (const line& plotted_line : lines) {
    out << "<span style='color:" << plotted_line.colour << "'>&#9632; "
        << escape_html(plotted_line.label) << "</span> ";
  }
  out << "</p><svg viewBox='0 0 " << plot_width << ' ' << plot_height << "'>";
  write_grid(out, horizontal, vertical);
  for (const line& plotted_line : lines) {
    write_line(out, plotted_line, horizontal, vertical);
  }
  out << "</svg>";
}

double next_power_of_ten(double value) {
  return std::pow(10.0, std::ceil(std::log10(std::max(value, 1.0))));
}

double latency_axis_end(const std::vector<experiment_result>& results) {
  double slowest_ms = 1;
  for (const experiment_result& result : results) {
    slowest_ms = std::max(slowest_ms, overall(result).latency.max_ms);
  }
  return next_power_of_ten(slowest_ms);
}

double last_slice_start(const std::vector<experiment_result>& results) {
  double last_start_s = 1;
  for (const experiment_result& result : results) {
    if (!result.slices.empty()) {
      last_start_s = std::max(last_start_s, result.slices.back().start_s);
    }
  }
  return last_start_s;
}

using slice_metric = std::function<double(const time_slice&)>;

line make_time_series(const experiment_result& result, const std::string& label,
                      std::size_t colour, const slice_metric& metric) {
  line plotted_line{result.name + ", " + label, colours[colour % colours.size()], {}};
  for (const time_slice& item : result.slices) {
    plotted_line.points.push_back({item.start_s, metric(item)});
  }
  return plotted_line;
}

void write_percentile_plot(std::ostringstream& out,
                           const std::vector<experiment_result>& results) {
  std::vector<line> lines;
  for (std::size_t i = 0; i < results.size(); ++i) {
    line plotted_line{results[i].name, colours[i % colours.size()], {}};
    const auto& percentiles = overall(results[i]).latency_percentiles_ms;
    for (std::size_t percent = 0; percent < percentiles.size(); ++percent) {
      plotted_line.points.push_back(
          {static_cast<double>(percent), percentiles[percent]});
    }
    lines.push_back(std::move(plotted_line));
  }
  write_plot(out, "Latency by percentile", lines,
             {0, 100, false, "percent of requests"},
             {min_plotted_ms, latency_axis_end(results), true, "ms"});
}

void write_latency_plot(std::ostringstream& out,
                        const std::vector<experiment_result>& results) {
  std::vector<line> lines;
  for (std::size_t i = 0; i < results.size(); ++i) {
    lines.push_back(make_time_series(
        results[i], "p99", 2 * i, [](const time_slice& item) { return item.p99_ms; }));
    lines.push_back(
        make_time_series(results[i], "p50", 2 * i + 1,
                         [](const time_slice& item) { return item.p50_ms; }));
  }
  write_plot(out, "Latency over time", lines,
             {0, last_slice_start(results), false, "s"},
             {min_plotted_ms, latency_axis_end(results), true, "ms"});
}

void write_coverage_plot(std::ostringstream& out,
                         const std::vector<experiment_result>& results) {
  std::vector<line> lines;
  for (std::size_t i = 0; i < results.size(); ++i) {
    lines.push_back(
        make_time_series(results[i], "coverage", 2 * i,
                         [](const time_slice& item) { return item.coverage * 100.0; }));
    lines.push_back(
        make_time_series(results[i], "failed", 2 * i + 1, [](const time_slice& item) {
          const auto requests =
              static_cast<double>(std::max<std::uint64_t>(item.requests, 1));
          return 100.0 * static_cast<double>(item.failed) / requests;
        }));
  }
  write_plot(out, "Coverage and failed requests", lines,
             {0, last_slice_start(results), false, "s"}, {0, 100, false, "%"});
}

void write_row(std::ostringstream& out, const std::string& name,
               const series_summary& series) {
  out << "<tr><td>" << escape_html(name) << "</td><td>" << series.requests
      << "</td><td>" << series.latency.p50_ms << "</td><td>" << series.latency.p90_ms
      << "</td><td>" << series.latency.p99_ms << "</td><td>" << series.latency.p999_ms
      << "</td><td>" << series.coverage * 100.0 << "%</td><td>" << series.wrong_answers
      << "</td><td>";
  for (const auto& [outcome, count] : series.outcomes) {
    out << escape_html(outcome) << ' ' << count << ' ';
  }
  out << "</td></tr>";
}

void write_tables(std::ostringstream& out, const experiment_result& result) {
  out << "<h2>" << escape_html(result.name) << "</h2><p>extra load on leafs "
      << result.extra_load * 100.0 << "%, submits executed more than once "
      << result.repeated_submits << ", submits executed but answered not_run "
      << result.misreported_submits
      << "</p><table><tr><th>service/tenant/class</th><th>requests</th><th>p50 ms</th>"
         "<th>p90</th><th>p99</th><th>p99.9</th><th>coverage</th><th>wrong</th>"
         "<th>outcomes</th></tr>";
  for (const auto& [name, series] : result.series) {
    write_row(out, name, series);
  }
  out << "</table>";
}

constexpr const char* stylesheet =
    "body{font:15px/1.45 system-ui,sans-serif;max-width:920px;margin:2em auto;"
    "color:#1c2430}h1{font-size:22px}h2{font-size:16px;margin:1.6em 0 .2em}"
    "svg{width:100%;background:#f8fafc;border:1px solid #dbe2ea}"
    "svg text{font-size:11px;fill:#55606e}.grid{stroke:#e1e7ee}"
    "table{border-collapse:collapse;width:100%;font-size:13px}"
    "td,th{border-bottom:1px solid #dbe2ea;padding:4px 7px;text-align:right}"
    "td:first-child,th:first-child{text-align:left}.legend{margin:.2em 0}";

}  // namespace

std::string render_html_report(const std::vector<experiment_result>& results) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1);
  out << "<!doctype html><meta charset='utf-8'><title>ibis_load</title><style>"
      << stylesheet << "</style><h1>";
  for (std::size_t i = 0; i < results.size(); ++i) {
    out << (i == 0 ? "" : " vs. ") << escape_html(results[i].name);
  }
  out << "</h1>";
  write_percentile_plot(out, results);
  write_latency_plot(out, results);
  write_coverage_plot(out, results);
  out << std::setprecision(2);
  for (const experiment_result& result : results) {
    write_tables(out, result);
  }
  return out.str();
}

}  // namespace ibis::load
