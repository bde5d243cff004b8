/// `ibis_node`: serves client requests from the leafs that the platform's store lists.

#include <CLI/CLI.hpp>  // for App
#include <csignal>      // for signal
#include <cstdlib>      // for getenv
#include <filesystem>   // for last_write_time
#include <iostream>     // for cerr
#include <memory>       // for make_shared
#include <optional>     // for optional

#include "ibis/config/parse.hpp"              // for load_documents
#include "ibis/reactor/node_log.hpp"          // for set_up_log
#include "ibis/reactor/node_loop.hpp"         // for node_loop
#include "ibis/reactor/process_settings.hpp"  // for parse_process_settings
#include "ibis/runtime/address_file.hpp"      // for write_address_file
#include "platform.hpp"                       // for make_protocol

namespace {

using namespace ibis;

constexpr int exit_requests_aborted = 1;
constexpr int exit_invalid_settings = 2;
constexpr int exit_bind_failed = 3;

/// Loads and checks the settings; prints every error to standard error.
std::optional<reactor::process_settings> load_settings(const std::string& file) {
  const auto source = config::load_documents({file});
  if (!source) {
    std::cerr << base::describe(source.error()) << '\n';
    return std::nullopt;
  }
  auto parsed = reactor::parse_process_settings(source.value());
  for (const config::document_error& issue : parsed.errors) {
    std::cerr << config::describe(issue) << '\n';
  }
  if (!parsed.errors.empty()) {
    return std::nullopt;
  }
  return std::move(parsed.value);
}

/// Reloads the settings when their file has been modified.
class settings_watcher {
 public:
  explicit settings_watcher(std::string path) : path_(std::move(path)) {
    modified_since_last_check();
  }

  /// Reloads the settings that may change while the process runs; changed addresses
  /// take effect only after a restart.
  /// @param forced Reloads even if the file is not modified.
  /// @return Nothing if there is nothing to reload or the settings have errors.
  std::optional<serving::node_settings> reload(bool forced) {
    if (!modified_since_last_check() && !forced) {
      return std::nullopt;
    }
    const auto reloaded = load_settings(path_);
    if (!reloaded) {
      reactor::write_log({"settings_rejected", true, {{"file", path_}}});
      return std::nullopt;
    }
    reactor::write_log({"settings_reloaded", false, {{"file", path_}}});
    return reloaded->serving;
  }

 private:
  bool modified_since_last_check() {
    std::error_code ec;
    const auto modified_at = std::filesystem::last_write_time(path_, ec);
    if (ec || modified_at == last_modified_at_) {
      return false;  // A file that is briefly missing is read once it exists again.
    }
    last_modified_at_ = modified_at;
    return true;
  }

  std::string path_;
  std::filesystem::file_time_type last_modified_at_{};
};

int serve(const std::string& file, const std::string& address_file) {
  const auto settings = load_settings(file);
  if (!settings) {
    return exit_invalid_settings;
  }
  reactor::set_up_log(settings->log);
  reactor::protocol site_protocol =
      platform::make_protocol({settings->node, settings->serving.availability_zone});
  reactor::node_loop loop(*settings, std::move(site_protocol),
                          [watcher = std::make_shared<settings_watcher>(file)](
                              bool forced) { return watcher->reload(forced); });
  if (const auto bound = loop.open(); !bound) {
    std::cerr << base::describe(bound.error()) << '\n';
    return exit_bind_failed;
  }
  const auto written =
      runtime::write_address_file(address_file, {{"clients", loop.client_address()},
                                                 {"ready", loop.readiness_address()},
                                                 {"metrics", loop.metrics_address()}});
  if (!written) {
    std::cerr << base::describe(written.error()) << '\n';
    return exit_bind_failed;
  }
  reactor::write_log({"started",
                      false,
                      {{"clients", loop.client_address()},
                       {"ready", loop.readiness_address()},
                       {"store", settings->store_address}}});
  return loop.run() == 0 ? 0 : exit_requests_aborted;
}

}  // namespace

int main(int argc, char** argv) {
  // Without SIGPIPE, writing to a connection that the peer has closed returns an error
  // instead of ending the process.
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app("Serves client requests from the leafs that hold an index.");
  std::string settings_path;
  std::string address_file;
  app.add_option("--settings", settings_path,
                 "Path of the node's settings, a YAML file")
      ->envname(platform::settings_file_variable)
      ->required();
  app.add_option("--announce", address_file,
                 "Path of a file to write the bound addresses to");
  CLI11_PARSE(app, argc, argv);
  return serve(settings_path, address_file);
}
