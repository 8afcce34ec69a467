#include "report.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace bamboomount {
namespace {

// Fewer requests say little about a customer.
constexpr int kMinRequests = 50;
constexpr double kSecondsPerHour = 3600;

}  // namespace

double Report::Tally::percent() const {
  return requests == 0 ? 100 : 100.0 * attained / requests;
}

double Report::worst_customer_percent() const {
  double worst = 100;
  for (const auto& [key, tally] : by_customer_and_class) {
    if (key.first != flooding_customer && tally.requests >= kMinRequests)
      worst = std::min(worst, tally.percent());
  }
  return worst;
}

double Report::worst_customer_gap() const {
  double gap = 0;
  for (const auto& [key, tally] : by_customer_and_class) {
    if (key.first != flooding_customer && tally.requests >= kMinRequests)
      gap = std::max(gap, by_class[key.second].percent() - tally.percent());
  }
  return gap;
}

std::string Report::Header(const std::vector<std::string>& classes) {
  std::ostringstream out;
  out << "| strategy |";
  for (const std::string& name : classes)
    out << " " << name << " % |";
  out << " tier 0 / 2 in burst % | worst customer % | gap, points |"
      << " good tokens/s | wasted % | cost per million good tokens |"
      << " on cheap % | refused |\n|---|";
  for (std::size_t i = 0; i < classes.size() + 8; ++i)
    out << "---|";
  return out.str();
}

std::string Report::Row(const std::string& strategy) const {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << "| " << strategy << " |";
  for (const Tally& tally : by_class)
    out << " " << tally.percent() << " |";
  if (burst.requests > 0)
    out << " " << burst.percent() << " / " << tier2_in_burst.percent() << " |";
  else
    out << " - |";
  out << " " << worst_customer_percent() << " | " << worst_customer_gap()
      << " | " << std::setprecision(0) << good_tokens / seconds << " | "
      << std::setprecision(2) << 100 * wasted_seconds / busy_seconds << " | "
      << cost_per_hour * seconds / kSecondsPerHour / good_tokens * 1e6 << " | "
      << std::setprecision(1) << 100 * cheap_seconds / busy_seconds << " | "
      << refused << " |";
  return out.str();
}

}  // namespace bamboomount
