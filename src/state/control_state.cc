#include "state/control_state.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace bamboomount {
namespace {

using Json = nlohmann::json;

Error ConflictError(std::string message) {
  return {ErrorCode::kConflict, RunVerdict::kNotRun, std::move(message), {}};
}

Result<std::shared_ptr<const ServiceConfig>> ReadConfig(
    const std::string& text) {
  ServiceConfigReadResult reading = ReadServiceConfig(text);
  if (reading.errors.empty())
    return std::make_shared<const ServiceConfig>(std::move(reading.config));
  const ConfigError& first = reading.errors.front();
  return Error{ErrorCode::kInvalidConfig,
               RunVerdict::kNotRun,
               "line " + std::to_string(first.line) + ", column " +
                   std::to_string(first.column) + ": " + first.message + " (" +
                   std::to_string(reading.errors.size()) + " faults in all)",
               {}};
}

// Puts the body of one change into a copy of the state.
class BodyApplier {
 public:
  BodyApplier(ControlState& state, const Change& change)
      : state_(state), change_(change) {}

  Result<void> operator()(const ConfigApplied& body) {
    if (body.base != state_.config_version ||
        body.version != body.base + ConfigVersion(1))
      return ConflictError("configuration " +
                           std::to_string(body.version.value()) +
                           " does not follow version " +
                           std::to_string(state_.config_version.value()));
    BOOST_OUTCOME_TRY(config, ReadConfig(body.text));
    state_.config = std::move(config);
    state_.config_version = body.version;
    state_.config_text = body.text;
    state_.config_author = change_.author;
    state_.config_unix_seconds = change_.unix_seconds;
    return Success();
  }

  Result<void> operator()(const KeyGranted& body) {
    if (FindKey(state_, body.key) == nullptr)
      state_.keys.try_emplace(body.digest, KeyEntry{body.key, body.customer});
    return Success();
  }

  Result<void> operator()(const KeyWithdrawn& body) {
    for (auto& [digest, entry] : state_.keys) {
      if (entry.key == body.key)
        entry.withdrawn = true;
    }
    return Success();
  }

  Result<void> operator()(const InstanceDrained& body) {
    state_.drained.insert(body.instance);
    return Success();
  }

  Result<void> operator()(const StateSnapshot& /*body*/) {
    return ConflictError("a whole state is no change of the log");
  }

 private:
  ControlState& state_;
  const Change& change_;
};

// In order of the digests, so that equal states have equal texts.
Json EncodeKeys(const ControlState& state) {
  const std::map<KeyDigest, KeyEntry> sorted(state.keys.begin(),
                                             state.keys.end());
  Json keys = Json::array();
  for (const auto& [digest, entry] : sorted)
    keys.push_back({{"digest", digest.value()},
                    {"key", entry.key.value()},
                    {"customer", entry.customer.value()},
                    {"withdrawn", entry.withdrawn}});
  return keys;
}

Result<ControlState> DecodeJson(const Json& json) {
  ControlState state;
  state.sequence = ChangeSequence(json.at("sequence").get<std::uint64_t>());
  state.config_version =
      ConfigVersion(json.at("config_version").get<std::uint64_t>());
  state.config_text = json.at("config_text").get<std::string>();
  state.config_author = json.at("config_author").get<std::string>();
  state.config_unix_seconds =
      json.at("config_unix_seconds").get<std::int64_t>();
  for (const Json& key : json.at("keys"))
    state.keys.emplace(
        KeyDigest(key.at("digest").get<std::string>()),
        KeyEntry{KeyId(key.at("key").get<std::string>()),
                 CustomerId(key.at("customer").get<std::string>()),
                 key.at("withdrawn").get<bool>()});
  for (const Json& instance : json.at("drained"))
    state.drained.emplace(instance.get<std::string>());
  if (state.config_version.value() > 0) {
    BOOST_OUTCOME_TRY(config, ReadConfig(state.config_text));
    state.config = std::move(config);
  }
  return state;
}

}  // namespace

Result<ControlState> ApplyChange(const ControlState& state,
                                 const Change& change) {
  if (change.sequence != state.sequence + ChangeSequence(1))
    return ConflictError("change " + std::to_string(change.sequence.value()) +
                         " does not follow " +
                         std::to_string(state.sequence.value()));
  ControlState next = state;
  BOOST_OUTCOME_TRY(std::visit(BodyApplier(next, change), change.body));
  next.sequence = change.sequence;
  return next;
}

const KeyEntry* FindKey(const ControlState& state, const KeyId& key) {
  const auto found = std::find_if(
      state.keys.begin(), state.keys.end(),
      [&](const auto& digest_entry) { return digest_entry.second.key == key; });
  return found == state.keys.end() ? nullptr : &found->second;
}

std::string EncodeControlState(const ControlState& state) {
  Json drained = Json::array();
  for (const InstanceId& instance : state.drained)
    drained.push_back(instance.value());
  const Json json = {{"sequence", state.sequence.value()},
                     {"config_version", state.config_version.value()},
                     {"config_text", state.config_text},
                     {"config_author", state.config_author},
                     {"config_unix_seconds", state.config_unix_seconds},
                     {"keys", EncodeKeys(state)},
                     {"drained", std::move(drained)}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ControlState> DecodeControlState(const std::string& text) {
  try {
    return DecodeJson(Json::parse(text));
  } catch (const Json::exception& error) {
    return Error{ErrorCode::kBadRequest,
                 RunVerdict::kNotRun,
                 std::string("not a control state: ") + error.what(),
                 {}};
  }
}

}  // namespace bamboomount
