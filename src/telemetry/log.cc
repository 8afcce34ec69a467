#include "telemetry/log.h"

#include <spdlog/fmt/chrono.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>

namespace bamboomount {
namespace {

struct LogTarget {
  std::mutex mutex;
  std::string process = "bamboomount";
  std::shared_ptr<spdlog::logger> logger = MakeLogger();

  static std::shared_ptr<spdlog::logger> MakeLogger() {
    auto logger = std::make_shared<spdlog::logger>(
        "events", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    logger->set_pattern("%v");
    logger->flush_on(spdlog::level::info);
    return logger;
  }
};

LogTarget& Target() {
  static LogTarget target;
  return target;
}

spdlog::level::level_enum ToLevel(Severity severity) {
  switch (severity) {
    case Severity::kInfo:
      return spdlog::level::info;
    case Severity::kWarning:
      return spdlog::level::warn;
    case Severity::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

std::string UtcNow() {
  const auto now = std::chrono::system_clock::now();
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                          now.time_since_epoch())
                          .count();
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                     millis % 1000);
}

}  // namespace

void SetLogProcess(std::string process) {
  const std::lock_guard lock(Target().mutex);
  Target().process = std::move(process);
}

void Log(const LogEvent& event, std::initializer_list<LogField> fields) {
  const auto level = ToLevel(event.severity);
  nlohmann::ordered_json line;
  line["time"] = UtcNow();
  {
    const std::lock_guard lock(Target().mutex);
    line["process"] = Target().process;
  }
  line["level"] = std::string(spdlog::level::to_string_view(level).data());
  line["event"] = event.number;
  line["name"] = event.name;
  for (const LogField& field : fields)
    line[std::string(field.name)] = field.value;
  Target().logger->log(
      level,
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace bamboomount
