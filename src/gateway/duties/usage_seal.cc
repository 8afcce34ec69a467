#include "gateway/duties/usage_seal.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bamboomount {
namespace {

using Json = nlohmann::json;

// Number of windows whose seals are retained in the store: those that a new
// holder may have to report again, and as many more for a holder that lost
// contact with the store.
constexpr std::int64_t kRetainedSeals = 8;

}  // namespace

std::string EncodeSeal(const UsageSeal& seal) {
  Json counts = Json::object();
  for (const auto& [customer, count] : seal.counts)
    counts[customer.value()] = count;
  return Json{{"window", seal.window.value()},
              {"counts", counts},
              {"reported_through", seal.reported_through.value()}}
      .dump();
}

Result<UsageSeal> DecodeSeal(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    UsageSeal seal;
    seal.window = WindowNumber(json.at("window").get<std::int64_t>());
    seal.reported_through =
        WindowNumber(json.at("reported_through").get<std::int64_t>());
    for (const auto& [customer, count] : json.at("counts").items())
      seal.counts[CustomerId(customer)] = count.get<std::int64_t>();
    return seal;
  } catch (const std::exception& error) {
    return Error{
        ErrorCode::kInternal,
        RunVerdict::kNotRun,
        std::string("sealed usage row cannot be read: ") + error.what(),
        {}};
  }
}

void UsageSchedule::Load(const std::vector<UsageSeal>& seals) {
  seals_.clear();
  reported_through_ = WindowNumber();
  for (const UsageSeal& seal : seals) {
    seals_[seal.window] = seal;
    reported_through_ = std::max(reported_through_, seal.reported_through);
  }
}

std::optional<WindowNumber> UsageSchedule::NextToSeal(Millis wall_time) const {
  const WindowNumber last =
      WindowAt(wall_time - kWriteGracePeriod, window_length_) - WindowNumber(1);
  for (int back = kReportableWindows - 1; back >= 0; --back) {
    const WindowNumber window = last - WindowNumber(back);
    if (window > skipped_through_ && !seals_.contains(window))
      return window;
  }
  return std::nullopt;
}

void UsageSchedule::SkipThrough(WindowNumber window) {
  skipped_through_ = std::max(skipped_through_, window);
}

bool UsageSchedule::IsLate(WindowNumber window, Millis wall_time) const {
  return wall_time >= window_length_ * (window.value() + 1) + kSealDeadline;
}

void UsageSchedule::MarkSealed(const UsageSeal& seal) {
  seals_[seal.window] = seal;
}

const UsageSeal* UsageSchedule::NextToReport() const {
  for (const auto& [window, seal] : seals_) {
    const bool old =
        window + WindowNumber(kReportableWindows) < seals_.rbegin()->first;
    if (window <= reported_through_ || old || seal.counts.empty())
      continue;
    return &seal;
  }
  return nullptr;
}

void UsageSchedule::MarkReported(WindowNumber window) {
  reported_through_ = std::max(reported_through_, window);
}

WindowNumber UsageSchedule::sealed_through() const {
  return seals_.empty() ? skipped_through_
                        : std::max(skipped_through_, seals_.rbegin()->first);
}

std::vector<WindowNumber> UsageSchedule::OutdatedSeals() const {
  std::vector<WindowNumber> outdated;
  if (seals_.empty())
    return outdated;
  const WindowNumber newest = seals_.rbegin()->first;
  for (const auto& [window, seal] : seals_) {
    if (window + WindowNumber(kRetainedSeals) < newest)
      outdated.push_back(window);
  }
  return outdated;
}

}  // namespace bamboomount
