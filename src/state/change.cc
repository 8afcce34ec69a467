#include "state/change.h"

#include <array>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace bamboomount {
namespace {

using Json = nlohmann::json;

struct BodyEncoder {
  Json operator()(const ConfigApplied& body) const {
    return {{"kind", "config_applied"},
            {"version", body.version.value()},
            {"base", body.base.value()},
            {"text", body.text}};
  }
  Json operator()(const KeyGranted& body) const {
    return {{"kind", "key_granted"},
            {"key", body.key.value()},
            {"digest", body.digest.value()},
            {"customer", body.customer.value()}};
  }
  Json operator()(const KeyWithdrawn& body) const {
    return {{"kind", "key_withdrawn"}, {"key", body.key.value()}};
  }
  Json operator()(const InstanceDrained& body) const {
    return {{"kind", "instance_drained"}, {"instance", body.instance.value()}};
  }
  Json operator()(const StateSnapshot& body) const {
    return {{"kind", "whole_state"}, {"state", body.encoded}};
  }
};

ChangeBody DecodeConfigApplied(const Json& json) {
  return ConfigApplied{ConfigVersion(json.at("version").get<std::uint64_t>()),
                       ConfigVersion(json.at("base").get<std::uint64_t>()),
                       json.at("text").get<std::string>()};
}

ChangeBody DecodeKeyGranted(const Json& json) {
  return KeyGranted{KeyId(json.at("key").get<std::string>()),
                    KeyDigest(json.at("digest").get<std::string>()),
                    CustomerId(json.at("customer").get<std::string>())};
}

ChangeBody DecodeKeyWithdrawn(const Json& json) {
  return KeyWithdrawn{KeyId(json.at("key").get<std::string>())};
}

ChangeBody DecodeInstanceDrained(const Json& json) {
  return InstanceDrained{InstanceId(json.at("instance").get<std::string>())};
}

ChangeBody DecodeStateSnapshot(const Json& json) {
  return StateSnapshot{json.at("state").get<std::string>()};
}

using BodyDecoder = ChangeBody (*)(const Json&);

constexpr std::array<std::pair<std::string_view, BodyDecoder>, 5>
    kBodyDecoders = {{{"config_applied", DecodeConfigApplied},
                      {"key_granted", DecodeKeyGranted},
                      {"key_withdrawn", DecodeKeyWithdrawn},
                      {"instance_drained", DecodeInstanceDrained},
                      {"whole_state", DecodeStateSnapshot}}};

Error InvalidChangeError(const std::string& reason) {
  return {ErrorCode::kBadRequest,
          RunVerdict::kNotRun,
          "not a change: " + reason,
          {}};
}

Result<Change> DecodeJson(const Json& json) {
  const auto kind = json.at("kind").get<std::string>();
  for (const auto& [name, decode] : kBodyDecoders) {
    if (name != kind)
      continue;
    return Change{ChangeSequence(json.at("sequence").get<std::uint64_t>()),
                  json.at("author").get<std::string>(),
                  json.at("unix_seconds").get<std::int64_t>(), decode(json),
                  json.at("nonce").get<std::string>()};
  }
  return InvalidChangeError("unknown kind \"" + kind + "\"");
}

}  // namespace

std::string EncodeChange(const Change& change) {
  Json json = std::visit(BodyEncoder(), change.body);
  json["sequence"] = change.sequence.value();
  json["author"] = change.author;
  json["unix_seconds"] = change.unix_seconds;
  json["nonce"] = change.nonce;
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Change> DecodeChange(const std::string& text) {
  try {
    return DecodeJson(Json::parse(text));
  } catch (const Json::exception& error) {
    return InvalidChangeError(error.what());
  }
}

}  // namespace bamboomount
