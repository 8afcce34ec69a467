#include "gateway/membership/member.h"

#include <nlohmann/json.hpp>

namespace bamboomount {
namespace {

using Json = nlohmann::json;

Json EncodeUsage(const std::map<WindowNumber, UsageCounts>& usage) {
  Json windows = Json::object();
  for (const auto& [window, counts] : usage) {
    Json& row = windows[std::to_string(window.value())] = Json::object();
    for (const auto& [customer, count] : counts)
      row[customer.value()] = count;
  }
  return windows;
}

std::map<WindowNumber, UsageCounts> DecodeUsage(const Json& windows) {
  std::map<WindowNumber, UsageCounts> usage;
  for (const auto& [window, counts] : windows.items()) {
    UsageCounts& row = usage[WindowNumber(std::stoll(window))];
    for (const auto& [customer, count] : counts.items())
      row[CustomerId(customer)] = count.get<std::int64_t>();
  }
  return usage;
}

}  // namespace

std::string EncodeMember(const Member& member) {
  const Json row{{"instance", member.instance.value()},
                 {"incarnation", member.incarnation.value()},
                 {"caller_address", member.caller_address},
                 {"peer_address", member.peer_address},
                 {"zone", member.zone.value()},
                 {"region", member.region.value()},
                 {"capacity", member.capacity},
                 {"leaving", member.leaving},
                 {"store_time_ms", member.store_time.count()},
                 {"wall_offset_ms", member.wall_offset.count()},
                 {"usage", EncodeUsage(member.usage)}};
  return row.dump();
}

Result<Member> DecodeMember(const std::string& text) {
  try {
    const Json row = Json::parse(text);
    Member member;
    member.instance = InstanceId(row.at("instance").get<std::string>());
    member.incarnation = Incarnation(row.at("incarnation").get<std::string>());
    member.caller_address = row.at("caller_address").get<std::string>();
    member.peer_address = row.at("peer_address").get<std::string>();
    member.zone = ZoneId(row.at("zone").get<std::string>());
    member.region = RegionId(row.at("region").get<std::string>());
    member.capacity = row.at("capacity").get<double>();
    member.leaving = row.at("leaving").get<bool>();
    member.store_time = Millis(row.at("store_time_ms").get<std::int64_t>());
    member.wall_offset = Millis(row.at("wall_offset_ms").get<std::int64_t>());
    member.usage = DecodeUsage(row.at("usage"));
    return member;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInternal,
                 RunVerdict::kNotRun,
                 std::string("member row cannot be read: ") + error.what(),
                 {}};
  }
}

}  // namespace bamboomount
