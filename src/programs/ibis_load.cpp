/// `ibis_load`: sends an open-loop load to a tier, checks every answer, and writes
/// reports with plots.
#include <CLI/CLI.hpp>  // for App

#include <fstream>   // for ofstream
#include <iostream>  // for cout
#include <sstream>   // for stringstream

#include "ibis/config/parse.hpp"  // for load_documents
#include "ibis/load/report.hpp"   // for write_report
#include "load_runner.hpp"        // for run_experiment

namespace {

using namespace ibis;  // NOLINT(google-build-using-namespace)

struct load_options {
  std::vector<std::string> experiment_files;
  programs::load_targets targets;
  std::string name;
  std::string result_file;
  std::string report_file;
  std::vector<std::string> result_files;
  double rate = 0;
  std::int64_t duration_ms = 0;
  bool quiet = false;
};

int report_error(const std::string& text) {
  std::cerr << text << '\n';
  return 2;
}

bool write_file(const std::string& path, const std::string& text) {
  std::ofstream out(path);
  out << text;
  return static_cast<bool>(out);
}

int run_command(load_options& arguments) {
  const auto source = config::load_documents(arguments.experiment_files);
  if (!source) {
    return report_error(base::describe(source.error()));
  }
  auto parsed = load::parse_experiment(source.value());
  for (const auto& issue : parsed.errors) {
    std::cerr << config::describe(issue) << '\n';
  }
  if (!parsed.errors.empty()) {
    return 2;
  }
  load::experiment& experiment = parsed.value;
  experiment.name = arguments.name.empty() ? experiment.name : arguments.name;
  experiment.rate = arguments.rate > 0 ? arguments.rate : experiment.rate;
  if (arguments.duration_ms > 0) {
    experiment.duration = base::milliseconds(arguments.duration_ms);
  }
  arguments.targets.print_progress = !arguments.quiet;
  const auto result = programs::run_experiment(experiment, arguments.targets);
  std::cout << load::format_result_table(result);
  if (!arguments.result_file.empty() &&
      !write_file(arguments.result_file, load::serialize_result(result))) {
    return report_error("cannot write file " + arguments.result_file);
  }
  if (!arguments.report_file.empty() &&
      !write_file(arguments.report_file, load::render_html_report({result}))) {
    return report_error("cannot write file " + arguments.report_file);
  }
  const bool failed = result.series.empty() ||
                      load::overall(result).wrong_answers > 0 ||
                      result.repeated_submits > 0 || result.misreported_submits > 0;
  return failed ? 1 : 0;
}

int compare_command(const load_options& arguments) {
  std::vector<load::experiment_result> results;
  for (const std::string& path : arguments.result_files) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    const auto parsed_result = load::parse_result(text.str());
    if (!parsed_result) {
      return report_error(path + ": " + base::describe(parsed_result.error()));
    }
    results.push_back(parsed_result.value());
    std::cout << load::format_result_table(results.back());
  }
  if (!arguments.report_file.empty() &&
      !write_file(arguments.report_file, load::render_html_report(results))) {
    return report_error("cannot write file " + arguments.report_file);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Sends an open-loop load to a tier and checks every answer.");
  load_options arguments;
  int exit_code = 0;
  app.require_subcommand(1);
  CLI::App* run_subcommand = app.add_subcommand("run", "Runs an experiment");
  run_subcommand
      ->add_option("experiment", arguments.experiment_files,
                   "The experiment file, then its overlays")
      ->required()
      ->check(CLI::ExistingFile);
  run_subcommand
      ->add_option("--entry", arguments.targets.entries,
                   "Addresses of the entries, ip:port")
      ->required();
  run_subcommand->add_option(
      "--leaf", arguments.targets.leafs,
      "Addresses of the stand-in leafs whose counters are read, ip:port");
  run_subcommand->add_option("--name", arguments.name,
                             "Overrides the experiment's name");
  run_subcommand->add_option("--rate", arguments.rate,
                             "Overrides the rate, in requests per second");
  run_subcommand->add_option("--duration-ms", arguments.duration_ms,
                             "Overrides the duration, in milliseconds");
  run_subcommand->add_option("--result", arguments.result_file,
                             "Writes the result to a JSON file");
  run_subcommand->add_option("--report", arguments.report_file,
                             "Writes an HTML report with plots");
  run_subcommand->add_flag(
      "--retry-elsewhere", arguments.targets.retry_other_entry,
      "Retries once at another entry if one gives no answer, as a load balancer does");
  run_subcommand->add_flag("--balance", arguments.targets.skip_unready_entries,
                           "Skips entries that are not ready, as a load balancer does");
  run_subcommand->add_flag("--quiet", arguments.quiet, "Prints no progress");
  run_subcommand->callback([&] { exit_code = run_command(arguments); });
  CLI::App* compare_subcommand =
      app.add_subcommand("compare", "Compares results side by side");
  compare_subcommand->add_option("results", arguments.result_files, "Result files")
      ->required()
      ->check(CLI::ExistingFile);
  compare_subcommand->add_option("--report", arguments.report_file,
                                 "Writes an HTML report with plots");
  compare_subcommand->callback([&] { exit_code = compare_command(arguments); });
  CLI11_PARSE(app, argc, argv);
  return exit_code;
}
