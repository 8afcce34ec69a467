#include "gateway/duties/usage_part.h"

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

std::string EncodeUsagePart(const UsagePart& part) {
  Json windows = Json::object();
  for (const auto& [window, counts] : part.windows)
    windows[std::to_string(window.value())] = EncodeCounts(counts);
  return Json{{"instance", part.instance.value()},
              {"complete_through", part.complete_through.value()},
              {"windows", std::move(windows)}}
      .dump();
}

Result<UsagePart> DecodeUsagePart(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    UsagePart part;
    part.instance = InstanceId(json.at("instance").get<std::string>());
    part.complete_through =
        WindowNumber(json.at("complete_through").get<std::int64_t>());
    for (const auto& [window, counts] : json.at("windows").items()) {
      UsageCounts& row = part.windows[WindowNumber(std::stoll(window))];
      for (const auto& [customer, count] : counts.items())
        row[CustomerId(customer)] = count.get<std::int64_t>();
    }
    return part;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInternal,
                 RunVerdict::kNotRun,
                 std::string("usage part cannot be read: ") + error.what(),
                 {}};
  }
}

void UsageParts::Put(const std::string& key, UsagePart part) {
  parts_.insert_or_assign(key, std::move(part));
}

void UsageParts::Raise(const UsageParts& told) {
  for (const auto& [key, other] : told.parts_) {
    UsagePart& part = parts_[key];
    part.instance = other.instance;
    for (const auto& [window, counts] : other.windows) {
      for (const auto& [customer, count] : counts) {
        std::int64_t& known = part.windows[window][customer];
        known = std::max(known, count);
      }
    }
  }
}

void UsageParts::DropThrough(WindowNumber window) {
  for (const std::string& key : Outdated(window))
    parts_.erase(key);
}

UsageCounts UsageParts::Sum(WindowNumber window) const {
  UsageCounts sum;
  for (const auto& [key, part] : parts_) {
    const auto counts = part.windows.find(window);
    if (counts == part.windows.end())
      continue;
    for (const auto& [customer, count] : counts->second)
      sum[customer] += count;
  }
  return sum;
}

bool UsageParts::IsAwaited(WindowNumber window,
                           const std::vector<InstanceId>& alive) const {
  std::map<InstanceId, WindowNumber> complete;
  for (const auto& [key, part] : parts_) {
    WindowNumber& through = complete[part.instance];
    through = std::max(through, part.complete_through);
  }
  return std::any_of(alive.begin(), alive.end(), [&](const InstanceId& id) {
    const auto through = complete.find(id);
    return through != complete.end() && through->second < window;
  });
}

std::vector<std::string> UsageParts::Outdated(WindowNumber window) const {
  std::vector<std::string> outdated;
  for (const auto& [key, part] : parts_) {
    const bool tells = std::any_of(
        part.windows.begin(), part.windows.end(),
        [window](const auto& counts) { return counts.first > window; });
    if (!tells && part.complete_through <= window)
      outdated.push_back(key);
  }
  return outdated;
}

}  // namespace bamboomount
