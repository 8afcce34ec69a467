#include "gateway/streams/stream_origin_message.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "gateway/replication/msgpack_parser.h"

namespace bamboomount {
namespace {

using Json = nlohmann::json;

// First element; a gossip message begins with the name of an instance.
constexpr std::uint8_t kMarker = 1;
// Header of a MessagePack array with the elements of this message.
constexpr std::uint8_t kArrayOfSix = 0x96;
constexpr int kLastKind = static_cast<int>(StreamOriginMessage::Kind::kReply);
constexpr int kLastAnswer =
    static_cast<int>(StreamOriginAnswer::kSeveralVersions);

int DecodeEnum(const Json& json, int last) {
  const int value = json.get<int>();
  if (value < 0 || value > last)
    throw std::invalid_argument("unknown value");
  return value;
}

Json EncodeEntries(const std::vector<StreamOriginTable::Entry>& entries) {
  Json encoded = Json::array();
  for (const StreamOriginTable::Entry& entry : entries) {
    encoded.push_back(entry.stream.value());
    encoded.push_back(entry.origin.pool.value());
    encoded.push_back(entry.origin.version.value());
  }
  return encoded;
}

std::vector<StreamOriginTable::Entry> DecodeEntries(const Json& json) {
  std::vector<StreamOriginTable::Entry> entries;
  for (std::size_t i = 0; i < json.size(); i += 3)
    entries.push_back({RequestId(json.at(i).get<std::string>()),
                       {PoolId(json.at(i + 1).get<std::string>()),
                        SoftwareVersion(json.at(i + 2).get<std::string>())}});
  return entries;
}

}  // namespace

std::vector<std::uint8_t> EncodeStreamOriginMessage(
    const StreamOriginMessage& message) {
  return Json::to_msgpack(Json::array({kMarker, static_cast<int>(message.kind),
                                       message.sender.value(), message.query,
                                       static_cast<int>(message.answer),
                                       EncodeEntries(message.entries)}));
}

Result<StreamOriginMessage> DecodeStreamOriginMessage(const std::uint8_t* data,
                                                      std::size_t size) {
  try {
    const Json json = ParseMsgpack(data, size);
    StreamOriginMessage message;
    message.kind = static_cast<StreamOriginMessage::Kind>(
        DecodeEnum(json.at(1), kLastKind));
    message.sender = InstanceId(json.at(2).get<std::string>());
    message.query = json.at(3).get<std::uint64_t>();
    message.answer =
        static_cast<StreamOriginAnswer>(DecodeEnum(json.at(4), kLastAnswer));
    message.entries = DecodeEntries(json.at(5));
    return message;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInternal,
                 RunVerdict::kNotRun,
                 std::string("malformed message on streams: ") + error.what(),
                 {}};
  }
}

bool IsStreamOriginMessage(const std::uint8_t* data, std::size_t size) {
  return size > 1 && data[0] == kArrayOfSix && data[1] == kMarker;
}

}  // namespace bamboomount
