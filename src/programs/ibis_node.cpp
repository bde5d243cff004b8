/// `ibis_node`: serves clients' requests over the leafs that the platform's store
/// names.

#include <CLI/CLI.hpp>  // for App
#include <csignal>      // for signal
#include <cstdlib>      // for getenv
#include <filesystem>   // for last_write_time
#include <fstream>      // for ofstream
#include <iostream>     // for cerr
#include <memory>       // for make_shared
#include <optional>     // for optional

#include "ibis/config/parse.hpp"              // for load_documents
#include "ibis/reactor/node_log.hpp"          // for set_up_log
#include "ibis/reactor/node_loop.hpp"         // for node_loop
#include "ibis/reactor/process_settings.hpp"  // for parse_process_settings
#include "platform.hpp"                       // for make_protocol

namespace {

using namespace ibis;

constexpr int exit_cut = 1;
constexpr int exit_settings = 2;
constexpr int exit_bind = 3;

/// Reads the settings, or says all that is wrong with them.
std::optional<reactor::process_settings> load(const std::string& file) {
  const auto source = config::load_documents({file});
  if (!source) {
    std::cerr << base::describe(source.error()) << '\n';
    return std::nullopt;
  }
  auto parsed = reactor::parse_process_settings(source.value());
  for (const config::document_error& wrong : parsed.errors) {
    std::cerr << config::describe(wrong) << '\n';
  }
  if (!parsed.errors.empty()) {
    return std::nullopt;
  }
  return std::move(parsed.value);
}

/// Reads the settings again when their file changed.
class settings_file {
 public:
  explicit settings_file(std::string path) : path_(std::move(path)) { changed(); }

  /// Takes what may change while the process runs; addresses wait for a restart.
  std::optional<serving::node_settings> reload(bool forced) {
    if (!changed() && !forced) {
      return std::nullopt;
    }
    const auto fresh = load(path_);
    if (!fresh) {
      reactor::write_log({"settings_rejected", true, {{"file", path_}}});
      return std::nullopt;
    }
    reactor::write_log({"settings_reloaded", false, {{"file", path_}}});
    return fresh->serving;
  }

 private:
  bool changed() {
    std::error_code ec;
    const auto written = std::filesystem::last_write_time(path_, ec);
    if (ec || written == written_) {
      return false;  // A file that is away for a moment is read once it is back.
    }
    written_ = written;
    return true;
  }

  std::string path_;
  std::filesystem::file_time_type written_{};
};

void announce(const std::string& file, const reactor::node_loop& loop) {
  if (file.empty()) {
    return;
  }
  const std::string partial = file + ".part";
  {
    std::ofstream out(partial);
    out << "clients=" << loop.client_address() << "\nready=" << loop.readiness_address()
        << "\nmetrics=" << loop.metrics_address() << '\n';
  }
  std::rename(partial.c_str(), file.c_str());
}

int serve(const std::string& file, const std::string& announce_file) {
  const auto settings = load(file);
  if (!settings) {
    return exit_settings;
  }
  reactor::set_up_log(settings->log);
  reactor::protocol names =
      platform::make_protocol({settings->node, settings->serving.availability_zone});
  reactor::node_loop loop(*settings, std::move(names),
                          [watched = std::make_shared<settings_file>(file)](
                              bool forced) { return watched->reload(forced); });
  if (const auto opened = loop.open(); !opened) {
    std::cerr << base::describe(opened.error()) << '\n';
    return exit_bind;
  }
  announce(announce_file, loop);
  reactor::write_log({"started",
                      false,
                      {{"clients", loop.client_address()},
                       {"ready", loop.readiness_address()},
                       {"store", settings->store_address}}});
  return loop.run() == 0 ? 0 : exit_cut;
}

}  // namespace

int main(int argc, char** argv) {
  // A write to a connection that its peer closed reports an error instead.
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app("Serves clients' requests over the leafs of an index.");
  std::string settings_file;
  std::string announce_file;
  app.add_option("--settings", settings_file, "The node's settings, a YAML file")
      ->envname(platform::settings_file_variable)
      ->required();
  app.add_option("--announce", announce_file,
                 "A file that the bound addresses are written to");
  CLI11_PARSE(app, argc, argv);
  return serve(settings_file, announce_file);
}
