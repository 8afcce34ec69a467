#include "gateway/membership/member.h"

#include <nlohmann/json.hpp>

namespace bamboomount {
namespace {

using Json = nlohmann::json;

}  // namespace

std::string EncodeMember(const Member& member) {
  const Json row{{"instance", member.instance.value()},
                 {"incarnation", member.incarnation.value()},
                 {"caller_address", member.caller_address},
                 {"peer_address", member.peer_address},
                 {"zone", member.zone.value()},
                 {"region", member.region.value()},
                 {"capacity", member.capacity},
                 {"leaving", member.leaving}};
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
    return member;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInternal,
                 RunVerdict::kNotRun,
                 std::string("member row cannot be read: ") + error.what(),
                 {}};
  }
}

}  // namespace bamboomount
