#include "ibis/runtime/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>  // for stderr_logger_mt
#include <spdlog/spdlog.h>              // for log, set_pattern

#include <nlohmann/json.hpp>  // for json

namespace ibis::runtime {
namespace {

struct log_format {
  bool json = false;
  std::string node;
};

// Written once, by `set_up_log` before any thread is started.
log_format active_format;  // NOLINT(*-avoid-non-const-global-variables)

spdlog::level::level_enum level_of(policy::log_level level) {
  switch (level) {
    case policy::log_level::debug:
      return spdlog::level::debug;
    case policy::log_level::info:
      return spdlog::level::info;
    case policy::log_level::warning:
      break;
  }
  return spdlog::level::warn;
}

std::string write_json(const policy::log_line& line) {
  nlohmann::json root = {{"message", line.message}, {"node", active_format.node}};
  for (const policy::log_field& field : line.fields) {
    root[field.name] = field.value;
  }
  return root.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string write_text(const policy::log_line& line) {
  std::string text = line.message + " node=" + active_format.node;
  for (const policy::log_field& field : line.fields) {
    text += ' ' + field.name + "=\"" + field.value + '"';
  }
  return text;
}

}  // namespace

void set_up_log(const config::log_settings& settings, const std::string& node) {
  active_format = {settings.format == "json", node};
  const auto logger = spdlog::stderr_logger_mt("ibis");
  spdlog::set_default_logger(logger);
  spdlog::set_level(spdlog::level::from_str(settings.level));
  const char* json_pattern =
      R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","event":%v})";
  spdlog::set_pattern(active_format.json ? json_pattern : "%Y-%m-%dT%H:%M:%S.%eZ %l %v",
                      spdlog::pattern_time_type::utc);
}

void write_log(const policy::log_line& line) {
  spdlog::log(level_of(line.level),
              active_format.json ? write_json(line) : write_text(line));
}

void log_error(const base::error& value) {
  write_log({policy::log_level::warning,
             value.detail,
             {{"step", value.step},
              {"peer", value.peer},
              {"code", std::string(base::to_string(value.code))}}});
}

}  // namespace ibis::runtime
