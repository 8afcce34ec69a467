#include "gateway/duties/incarnation_usage.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace bamboomount {
namespace {

using Json = nlohmann::json;

Json EncodeCounts(const UsageCounts& counts) {
  Json row = Json::object();
  for (const auto& [customer, count] : counts)
    row[customer.value()] = count;
  return row;
}

}  // namespace

std::string EncodeIncarnationUsage(const IncarnationUsage& usage) {
  Json windows = Json::object();
  for (const auto& [window, counts] : usage.windows)
    windows[std::to_string(window.value())] = EncodeCounts(counts);
  return Json{{"instance", usage.instance.value()},
              {"complete_through", usage.complete_through.value()},
              {"windows", std::move(windows)}}
      .dump();
}

Result<IncarnationUsage> DecodeIncarnationUsage(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    IncarnationUsage usage;
    usage.instance = InstanceId(json.at("instance").get<std::string>());
    usage.complete_through =
        WindowNumber(json.at("complete_through").get<std::int64_t>());
    for (const auto& [window, counts] : json.at("windows").items()) {
      UsageCounts& row = usage.windows[WindowNumber(std::stoll(window))];
      for (const auto& [customer, count] : counts.items())
        row[CustomerId(customer)] = count.get<std::int64_t>();
    }
    return usage;
  } catch (const std::exception& error) {
    return Error{
        ErrorCode::kInternal,
        RunVerdict::kNotRun,
        std::string("incarnation usage row cannot be read: ") + error.what(),
        {}};
  }
}

void UsageByIncarnation::Put(const std::string& key, IncarnationUsage usage) {
  usage_by_key_.insert_or_assign(key, std::move(usage));
}

void UsageByIncarnation::MergeMaximum(const UsageByIncarnation& other) {
  for (const auto& [key, other_usage] : other.usage_by_key_) {
    IncarnationUsage& usage = usage_by_key_[key];
    usage.instance = other_usage.instance;
    usage.complete_through =
        std::max(usage.complete_through, other_usage.complete_through);
    for (const auto& [window, counts] : other_usage.windows) {
      for (const auto& [customer, count] : counts) {
        std::int64_t& known = usage.windows[window][customer];
        known = std::max(known, count);
      }
    }
  }
}

void UsageByIncarnation::DropOutdated(WindowNumber window) {
  for (const std::string& key : OutdatedKeys(window))
    usage_by_key_.erase(key);
}

UsageCounts UsageByIncarnation::Sum(WindowNumber window) const {
  UsageCounts sum;
  for (const auto& [key, usage] : usage_by_key_) {
    const auto counts = usage.windows.find(window);
    if (counts == usage.windows.end())
      continue;
    for (const auto& [customer, count] : counts->second)
      sum[customer] += count;
  }
  return sum;
}

bool UsageByIncarnation::IsIncomplete(
    WindowNumber window,
    const std::vector<InstanceId>& live_instances) const {
  std::map<InstanceId, WindowNumber> complete;
  for (const auto& [key, usage] : usage_by_key_) {
    WindowNumber& through = complete[usage.instance];
    through = std::max(through, usage.complete_through);
  }
  return std::any_of(
      live_instances.begin(), live_instances.end(), [&](const InstanceId& id) {
        const auto through = complete.find(id);
        return through != complete.end() && through->second < window;
      });
}

std::vector<std::string> UsageByIncarnation::OutdatedKeys(
    WindowNumber window) const {
  std::vector<std::string> outdated;
  for (const auto& [key, usage] : usage_by_key_) {
    const bool has_newer_window = std::any_of(
        usage.windows.begin(), usage.windows.end(),
        [window](const auto& counts) { return counts.first > window; });
    if (!has_newer_window && usage.complete_through <= window)
      outdated.push_back(key);
  }
  return outdated;
}

}  // namespace bamboomount
