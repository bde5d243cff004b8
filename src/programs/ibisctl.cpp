/// `ibisctl`: checks, compares and applies declarations, and shows the state of a tier.
#include "ctl_options.hpp"  // for add_commands

int main(int argc, char** argv) {
  CLI::App app("Operates an ibiswheel tier from declarations kept in version control.");
  ibis::programs::ctl_options options;
  int exit_code = 0;
  ibis::programs::add_commands(app, options, exit_code);
  CLI11_PARSE(app, argc, argv);
  return exit_code;
}
