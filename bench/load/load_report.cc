#include "load/load_report.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace bamboomount {
namespace {

constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;

struct Measure {
  const char* name;
  Samples LoadResult::*samples;
};

constexpr Measure kMeasures[] = {
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
  for (const Measure& measure : kMeasures) {
    const Samples& samples = result.*measure.samples;
    side[std::string(measure.name) + "_us"] = {
        {"samples", samples.count()},
        {"median", samples.Quantile(kMedian)},
        {"p99", samples.Quantile(kTail)}};
  }
  if (result.idle_bytes >= 0) {
    side["resident_bytes_per_idle_connection"] = result.idle_bytes;
  }
  if (result.running_bytes >= 0) {
    side["resident_bytes_per_running_stream"] = result.running_bytes;
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
  for (const Measure& measure : kMeasures) {
    const Samples& samples = result.*measure.samples;
    if (samples.count() > 0) {
      out << "    " << measure.name << ": median " << samples.Quantile(kMedian)
          << " us, p99 " << samples.Quantile(kTail) << " us\n";
    }
  }
  if (result.idle_bytes >= 0) {
    out << "    resident bytes per idle connection: " << result.idle_bytes
        << "\n";
  }
  if (result.running_bytes >= 0) {
    out << "    resident bytes per running stream: " << result.running_bytes
        << "\n";
  }
}

bool IsCompared(const LevelReport& level) {
  return level.direct.requests.count() > 0 && level.router.requests.count() > 0;
}

void PrintDifference(std::ostream& out,
                     const char* name,
                     const Samples& direct,
                     const Samples& router,
                     double share) {
  const std::int64_t base = direct.Quantile(share);
  const std::int64_t value = router.Quantile(share);
  out << "    " << name << (share == kMedian ? " median" : " p99") << ": "
      << std::showpos << value - base << std::noshowpos << " us";
  if (base > 0) {
    out << ", ratio " << static_cast<double>(value) / static_cast<double>(base);
  }
  out << "\n";
}

void PrintComparison(std::ostream& out, const LevelReport& level) {
  if (!IsCompared(level)) {
    return;
  }
  out << "  added by the router:\n";
  for (const Measure& measure : kMeasures) {
    const Samples& direct = level.direct.*measure.samples;
    const Samples& router = level.router.*measure.samples;
    if (direct.count() > 0 && router.count() > 0) {
      PrintDifference(out, measure.name, direct, router, kMedian);
      PrintDifference(out, measure.name, direct, router, kTail);
    }
  }
}

nlohmann::json ComparisonToJson(const LevelReport& level) {
  nlohmann::json added = nlohmann::json::object();
  if (!IsCompared(level)) {
    return added;
  }
  for (const Measure& measure : kMeasures) {
    const Samples& direct = level.direct.*measure.samples;
    const Samples& router = level.router.*measure.samples;
    if (direct.count() == 0 || router.count() == 0) {
      continue;
    }
    added[std::string(measure.name) + "_us"] = {
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
