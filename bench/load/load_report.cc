#include "load/load_report.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace bamboomount {
namespace {

constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;

struct Metric {
  const char* name;
  Samples LoadResult::*samples;
};

constexpr Metric kMetrics[] = {
    {"first_token", &LoadResult::first_token},
    {"between_tokens", &LoadResult::between_tokens},
    {"token_passing", &LoadResult::token_passing},
    {"request", &LoadResult::requests},
};

double RequestsPerSecond(const LoadResult& result) {
  return result.seconds > 0
             ? static_cast<double>(result.requests.count()) / result.seconds
             : 0;
}

nlohmann::json SideToJson(const LoadResult& result) {
  nlohmann::json side = {{"requests", result.requests.count()},
                         {"failures", result.failures},
                         {"first_failure", result.first_failure},
                         {"requests_per_second", RequestsPerSecond(result)}};
  for (const Metric& metric : kMetrics) {
    const Samples& samples = result.*metric.samples;
    side[std::string(metric.name) + "_us"] = {
        {"samples", samples.count()},
        {"median", samples.Quantile(kMedian)},
        {"p99", samples.Quantile(kTail)}};
  }
  if (result.bytes_per_idle_connection >= 0) {
    side["resident_bytes_per_idle_connection"] =
        result.bytes_per_idle_connection;
  }
  if (result.bytes_per_running_stream >= 0) {
    side["resident_bytes_per_running_stream"] = result.bytes_per_running_stream;
  }
  return side;
}

void PrintSide(std::ostream& out, const char* name, const LoadResult& result) {
  if (result.requests.count() == 0 && result.failures == 0) {
    return;
  }
  out << "  " << name << ": " << result.requests.count() << " requests, "
      << result.failures << " failures, " << RequestsPerSecond(result)
      << " requests/s\n";
  if (result.failures > 0) {
    out << "    first failure: " << result.first_failure << "\n";
  }
  for (const Metric& metric : kMetrics) {
    const Samples& samples = result.*metric.samples;
    if (samples.count() > 0) {
      out << "    " << metric.name << ": median " << samples.Quantile(kMedian)
          << " us, p99 " << samples.Quantile(kTail) << " us\n";
    }
  }
  if (result.bytes_per_idle_connection >= 0) {
    out << "    resident bytes per idle connection: "
        << result.bytes_per_idle_connection << "\n";
  }
  if (result.bytes_per_running_stream >= 0) {
    out << "    resident bytes per running stream: "
        << result.bytes_per_running_stream << "\n";
  }
}

bool HasBothSides(const LevelReport& level) {
  return level.direct.requests.count() > 0 && level.router.requests.count() > 0;
}

void PrintDifference(std::ostream& out,
                     const char* name,
                     const Samples& direct,
                     const Samples& router,
                     double fraction) {
  const std::int64_t base = direct.Quantile(fraction);
  const std::int64_t value = router.Quantile(fraction);
  out << "    " << name << (fraction == kMedian ? " median" : " p99") << ": "
      << std::showpos << value - base << std::noshowpos << " us";
  if (base > 0) {
    out << ", ratio " << static_cast<double>(value) / static_cast<double>(base);
  }
  out << "\n";
}

void PrintComparison(std::ostream& out, const LevelReport& level) {
  if (!HasBothSides(level)) {
    return;
  }
  out << "  added by the router:\n";
  for (const Metric& metric : kMetrics) {
    const Samples& direct = level.direct.*metric.samples;
    const Samples& router = level.router.*metric.samples;
    if (direct.count() > 0 && router.count() > 0) {
      PrintDifference(out, metric.name, direct, router, kMedian);
      PrintDifference(out, metric.name, direct, router, kTail);
    }
  }
}

nlohmann::json ComparisonToJson(const LevelReport& level) {
  nlohmann::json added = nlohmann::json::object();
  if (!HasBothSides(level)) {
    return added;
  }
  for (const Metric& metric : kMetrics) {
    const Samples& direct = level.direct.*metric.samples;
    const Samples& router = level.router.*metric.samples;
    if (direct.count() == 0 || router.count() == 0) {
      continue;
    }
    added[std::string(metric.name) + "_us"] = {
        {"median", router.Quantile(kMedian) - direct.Quantile(kMedian)},
        {"p99", router.Quantile(kTail) - direct.Quantile(kTail)}};
  }
  return added;
}

}  // namespace

std::string ToText(const std::vector<LevelReport>& levels) {
  std::ostringstream out;
  for (const LevelReport& level : levels) {
    out << level.level << " concurrent:\n";
    PrintSide(out, "direct", level.direct);
    PrintSide(out, "router", level.router);
    PrintComparison(out, level);
  }
  return out.str();
}

std::string ToJson(const std::vector<LevelReport>& levels) {
  nlohmann::json list = nlohmann::json::array();
  for (const LevelReport& level : levels) {
    list.push_back({{"concurrent", level.level},
                    {"direct", SideToJson(level.direct)},
                    {"router", SideToJson(level.router)},
                    {"added", ComparisonToJson(level)}});
  }
  return nlohmann::json({{"levels", list}}).dump(2);
}

}  // namespace bamboomount
