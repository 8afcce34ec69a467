#include "telemetry/log.h"

#include <spdlog/async.h>
#include <spdlog/fmt/chrono.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>

namespace bamboomount {
namespace {

// Lines that may wait for the reader of standard output.
constexpr std::size_t kMaxQueuedLines = 1024;
constexpr int kMaxInfoLinesPerSecond = 200;

struct LogTarget {
  std::mutex mutex;
  std::string process = "bamboomount";
  std::shared_ptr<spdlog::logger> logger = MakeLogger();

  // Bounds informational lines; used with asynchronous output.
  bool rate_limited = false;
  std::chrono::steady_clock::time_point window_start;
  int info_lines = 0;
  int dropped_lines = 0;

  static std::shared_ptr<spdlog::logger> MakeLogger() {
    auto logger = std::make_shared<spdlog::logger>(
        "events", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    logger->set_pattern("%v");
    logger->flush_on(spdlog::level::info);
    return logger;
  }
};

LogTarget& SharedLogTarget() {
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

// Whether one more line may be written in this second; `dropped` receives the
// number of lines that the last second left out. The caller holds the lock.
bool AllowLine(LogTarget& target, Severity severity, int& dropped) {
  if (!target.rate_limited)
    return true;
  const auto now = std::chrono::steady_clock::now();
  if (now - target.window_start >= std::chrono::seconds(1)) {
    target.window_start = now;
    target.info_lines = 0;
    dropped = std::exchange(target.dropped_lines, 0);
  }
  if (severity != Severity::kInfo ||
      ++target.info_lines <= kMaxInfoLinesPerSecond)
    return true;
  ++target.dropped_lines;
  return false;
}

}  // namespace

void UseAsyncStandardOutputForLogs() {
  spdlog::init_thread_pool(kMaxQueuedLines, 1);
  auto logger = std::make_shared<spdlog::async_logger>(
      "events", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
      spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
  logger->set_pattern("%v");
  logger->flush_on(spdlog::level::info);
  const std::lock_guard lock(SharedLogTarget().mutex);
  SharedLogTarget().logger = std::move(logger);
  SharedLogTarget().rate_limited = true;
}

void SetLogProcess(std::string process) {
  const std::lock_guard lock(SharedLogTarget().mutex);
  SharedLogTarget().process = std::move(process);
}

void Log(const LogEvent& event, std::initializer_list<LogField> fields) {
  const auto level = ToLevel(event.severity);
  int dropped = 0;
  {
    const std::lock_guard lock(SharedLogTarget().mutex);
    if (!AllowLine(SharedLogTarget(), event.severity, dropped))
      return;
  }
  nlohmann::ordered_json line;
  line["time"] = UtcNow();
  {
    const std::lock_guard lock(SharedLogTarget().mutex);
    line["process"] = SharedLogTarget().process;
  }
  line["level"] = std::string(spdlog::level::to_string_view(level).data());
  line["event"] = event.number;
  line["name"] = event.name;
  for (const LogField& field : fields)
    line[std::string(field.name)] = field.value;
  if (dropped > 0)
    line["lines_dropped_before"] = dropped;
  SharedLogTarget().logger->log(
      level,
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace bamboomount
