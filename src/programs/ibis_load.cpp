/// Puts an open-loop load on a tier, checks every answer, and reports with plots.
#include <CLI/CLI.hpp>  // for App

#include <fstream>   // for ofstream
#include <iostream>  // for cout
#include <sstream>   // for stringstream

#include "ibis/config/parse.hpp"  // for load_documents
#include "ibis/load/report.hpp"   // for write_report
#include "load_run.hpp"           // for run_experiment

namespace {

using namespace ibis;  // NOLINT(google-build-using-namespace)

struct options {
  std::vector<std::string> files;
  programs::load_targets targets;
  std::string name;
  std::string result_file;
  std::string report_file;
  std::vector<std::string> compared;
  double rate = 0;
  std::int64_t duration_ms = 0;
  bool quiet = false;
};

int fail(const std::string& text) {
  std::cerr << text << '\n';
  return 2;
}

bool write_file(const std::string& path, const std::string& text) {
  std::ofstream out(path);
  out << text;
  return static_cast<bool>(out);
}

int run(options& given) {
  const auto source = config::load_documents(given.files);
  if (!source) {
    return fail(base::describe(source.error()));
  }
  auto parsed = load::parse_experiment(source.value());
  for (const auto& wrong : parsed.errors) {
    std::cerr << config::describe(wrong) << '\n';
  }
  if (!parsed.errors.empty()) {
    return 2;
  }
  load::experiment& experiment = parsed.value;
  experiment.name = given.name.empty() ? experiment.name : given.name;
  experiment.rate = given.rate > 0 ? given.rate : experiment.rate;
  if (given.duration_ms > 0) {
    experiment.duration = base::milliseconds(given.duration_ms);
  }
  given.targets.progress = !given.quiet;
  const auto result = programs::run_experiment(experiment, given.targets);
  std::cout << load::write_table(result);
  if (!given.result_file.empty() &&
      !write_file(given.result_file, load::write_result(result))) {
    return fail("cannot write " + given.result_file);
  }
  if (!given.report_file.empty() &&
      !write_file(given.report_file, load::write_report({result}))) {
    return fail("cannot write " + given.report_file);
  }
  const bool bad = result.series.count("all") == 0 ||
                   result.series.at("all").wrong > 0 || result.repeated > 0 ||
                   result.ran_not_run > 0;
  return bad ? 1 : 0;
}

int compare(const options& given) {
  std::vector<load::experiment_result> results;
  for (const std::string& path : given.compared) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    const auto read = load::read_result(text.str());
    if (!read) {
      return fail(path + ": " + base::describe(read.error()));
    }
    results.push_back(read.value());
    std::cout << load::write_table(results.back());
  }
  if (!given.report_file.empty() &&
      !write_file(given.report_file, load::write_report(results))) {
    return fail("cannot write " + given.report_file);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Puts an open-loop load on a tier and checks every answer.");
  options given;
  int exit_code = 0;
  app.require_subcommand(1);
  CLI::App* runs = app.add_subcommand("run", "Runs an experiment");
  runs->add_option("experiment", given.files, "The experiment, then overlays")
      ->required()
      ->check(CLI::ExistingFile);
  runs->add_option("--entry", given.targets.entries, "Entries, ip:port")->required();
  runs->add_option("--leaf", given.targets.leafs, "Stand-in leafs, for their counters");
  runs->add_option("--name", given.name, "Replaces the experiment's name");
  runs->add_option("--rate", given.rate, "Replaces the rate, requests a second");
  runs->add_option("--duration-ms", given.duration_ms, "Replaces the duration");
  runs->add_option("--result", given.result_file, "Writes the result, JSON");
  runs->add_option("--report", given.report_file, "Writes a page with plots, HTML");
  runs->add_flag("--retry-elsewhere", given.targets.retry_elsewhere,
                 "Asks another entry if one gives no answer, as a balancer does");
  runs->add_flag("--balance", given.targets.balance,
                 "Leaves out entries that are not ready, as a balancer does");
  runs->add_flag("--quiet", given.quiet, "No progress");
  runs->callback([&] { exit_code = run(given); });
  CLI::App* compares = app.add_subcommand("compare", "Sets results side by side");
  compares->add_option("results", given.compared, "Result files")
      ->required()
      ->check(CLI::ExistingFile);
  compares->add_option("--report", given.report_file, "Writes a page with plots, HTML");
  compares->callback([&] { exit_code = compare(given); });
  CLI11_PARSE(app, argc, argv);
  return exit_code;
}
