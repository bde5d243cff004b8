#include "ibis/reactor/node_log.hpp"

#include <spdlog/details/null_mutex.h>  // for null_mutex
#include <spdlog/sinks/base_sink.h>     // for base_sink
#include <spdlog/spdlog.h>              // for logger
#include <unistd.h>                     // for STDOUT_FILENO

#include <memory>             // for make_shared
#include <nlohmann/json.hpp>  // for json

namespace ibis::reactor {
namespace {

/// A sink of spdlog that writes formatted lines to a `bounded_output`.
class bounded_sink final
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit bounded_sink(const output_limits& limits) : output_(STDOUT_FILENO, limits) {}

  bounded_output& output() { return output_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t formatted;
    formatter_->format(message, formatted);
    const bool urgent = message.level >= spdlog::level::warn;
    std::string_view line(formatted.data(), formatted.size());
    line.remove_suffix(1);  // The formatter adds a newline; so does the output.
    output_.add(line, urgent, base::clock::now());
  }
  void flush_() override { output_.flush(); }

 private:
  bounded_output output_;
};

struct log_state {
  std::string node;
  std::shared_ptr<bounded_sink> sink;
  std::shared_ptr<spdlog::logger> logger;
};

// Set once by `set_up_log`. It is not synchronized, since the process has one thread.
log_state process_log;  // NOLINT(*-avoid-non-const-global-variables)

void append_json_string(std::string& out, std::string_view text) {
  // Printable ASCII such as identifiers and addresses needs no escaping; any other text
  // is escaped by the JSON library.
  const bool plain = text.find_first_of("\"\\") == std::string_view::npos &&
                     std::none_of(text.begin(), text.end(), [](char character) {
                       return static_cast<unsigned char>(character) < 0x20 ||
                              static_cast<unsigned char>(character) > 0x7e;
                     });
  if (plain) {
    out += '"';
    out += text;
    out += '"';
    return;
  }
  out += nlohmann::json(std::string(text))
             .dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

}  // namespace

std::string format_log_members(const std::string& node, const serving::log_line& line) {
  std::string text = R"("node":)";
  append_json_string(text, node);
  text += R"(,"event":)";
  append_json_string(text, line.name);
  for (const serving::log_field& field : line.fields) {
    if (field.value.empty()) {
      continue;
    }
    text += ',';
    append_json_string(text, field.name);
    text += ':';
    append_json_string(text, field.value);
  }
  return text;
}

void set_up_log(const node_log_settings& settings) {
  process_log.node = settings.node;
  process_log.sink = std::make_shared<bounded_sink>(settings.limits);
  process_log.logger = std::make_shared<spdlog::logger>("node", process_log.sink);
  process_log.logger->set_level(settings.log_requests ? spdlog::level::info
                                                      : spdlog::level::warn);
  process_log.logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})",
                                  spdlog::pattern_time_type::utc);
}

void write_log(const serving::log_line& line) {
  if (!process_log.logger) {
    return;
  }
  const auto level = line.warning ? spdlog::level::warn : spdlog::level::info;
  if (process_log.logger->should_log(level)) {
    process_log.logger->log(
        level, spdlog::string_view_t(format_log_members(process_log.node, line)));
  }
}

void flush_log() {
  if (!process_log.logger) {
    return;
  }
  if (const std::uint64_t dropped = process_log.sink->output().take_dropped_count();
      dropped > 0) {
    write_log({"log_lines_dropped", true, {{"count", std::to_string(dropped)}}});
  }
  process_log.logger->flush();
}

}  // namespace ibis::reactor
