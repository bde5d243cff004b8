#include "serve.hpp"

#include <CLI/CLI.hpp>  // for App
#include <iostream>     // for cerr
#include <thread>       // for thread

#include "ibis/config/parse.hpp"          // for load_documents
#include "ibis/config/settings.hpp"       // for parse_settings
#include "ibis/runtime/address_file.hpp"  // for write_address_file
#include "ibis/runtime/http_api.hpp"      // for http_api
#include "ibis/runtime/log.hpp"           // for set_up_log
#include "ibis/runtime/node_runner.hpp"   // for node_runner

namespace ibis::programs {
namespace {

constexpr int exit_requests_aborted = 1;
constexpr int exit_invalid_settings = 2;
constexpr int exit_bind_failed = 3;

struct program_options {
  std::string settings_file;
  std::string address_file;
};

/// Loads and checks the settings; prints every error to standard error.
bool load_settings(const std::string& file, config::process_settings& settings) {
  const auto source = config::load_documents({file});
  if (!source) {
    std::cerr << base::describe(source.error()) << '\n';
    return false;
  }
  auto parsed = config::parse_settings(source.value());
  for (const config::document_error& issue : parsed.errors) {
    std::cerr << config::describe(issue) << '\n';
  }
  settings = std::move(parsed.value);
  return parsed.errors.empty();
}

int run_node(const config::process_settings& settings, policy::node_role role,
             const std::string& address_file) {
  runtime::node_runner node(settings, role);
  runtime::http_api api(node, role, settings.http_threads);
  const bool is_entry = role == policy::node_role::entry;
  const std::uint32_t port =
      is_entry ? settings.entry_http_port : settings.relay_http_port;
  const auto http_address = api.bind(settings.ip, static_cast<std::uint16_t>(port));
  if (!http_address) {
    std::cerr << base::describe(http_address.error()) << '\n';
    return exit_bind_failed;
  }
  const auto frame_address = node.listen(http_address.value());
  if (!frame_address) {
    std::cerr << base::describe(frame_address.error()) << '\n';
    return exit_bind_failed;
  }
  const auto written = runtime::write_address_file(
      address_file,
      {{"frames", frame_address.value()}, {"http", http_address.value()}});
  if (!written) {
    std::cerr << base::describe(written.error()) << '\n';
    return exit_bind_failed;
  }
  std::size_t aborted_requests = 0;
  std::thread node_thread([&] { aborted_requests = node.run([&] { api.stop(); }); });
  api.serve();
  node.stop();
  node_thread.join();
  return aborted_requests == 0 ? 0 : exit_requests_aborted;
}

}  // namespace

int serve(int argc, char** argv, policy::node_role role) {
  const bool is_entry = role == policy::node_role::entry;
  CLI::App app(
      is_entry
          ? "Answers callers: plans queries, merges the replies and sets the outcome "
            "of each answer."
          : "Holds the connections to leafs and queries them on behalf of entries.");
  program_options arguments;
  app.add_option("--settings", arguments.settings_file,
                 "Path of the VM's settings, a YAML file")
      ->required();
  app.add_option("--announce", arguments.address_file,
                 "Path of a file to write the bound addresses to");
  CLI11_PARSE(app, argc, argv);
  config::process_settings settings;
  if (!load_settings(arguments.settings_file, settings)) {
    return exit_invalid_settings;
  }
  runtime::set_up_log(settings.log, policy::node_name(settings.vm, role));
  return run_node(settings, role, arguments.address_file);
}

}  // namespace ibis::programs
