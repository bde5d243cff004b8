/// A stand-in for the platform's object API, in memory.
#include <CLI/CLI.hpp>  // for App

#include <csignal>   // for sigwait
#include <fstream>   // for ofstream
#include <iostream>  // for cout

#include "platform_server.hpp"  // for platform_server

int main(int argc, char** argv) {
  CLI::App app("A stand-in platform for demos, tests and benchmarks.");
  std::string ip = "127.0.0.1";
  std::string announce_file;
  int port = 0;
  app.add_option("--ip", ip, "Address to listen on");
  app.add_option("--port", port, "Port; 0 for any free port");
  app.add_option("--announce", announce_file,
                 "File to write the bound address to; standard output by default");
  CLI11_PARSE(app, argc, argv);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  ibis::standins::platform_server server;
  const auto address = server.start(ip, port);
  if (!address) {
    std::cerr << ibis::base::describe(address.error()) << '\n';
    return 3;
  }
  if (announce_file.empty()) {
    std::cout << "platform=" << address.value() << std::endl;
  } else {
    const std::string temporary_path = announce_file + ".part";
    std::ofstream(temporary_path) << "platform=" << address.value() << '\n';
    std::rename(temporary_path.c_str(), announce_file.c_str());
  }
  int received = 0;
  sigwait(&signals, &received);
  return 0;
}
