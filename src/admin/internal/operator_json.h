// JSON conversion of the operators' messages. Include it in source files only:
// it pulls in nlohmann/json.
#ifndef ADMIN_INTERNAL_OPERATOR_JSON_H_
#define ADMIN_INTERNAL_OPERATOR_JSON_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "admin/operator_messages.h"
#include "telemetry/telemetry.h"

namespace nlohmann {

// An empty optional becomes null.
template <typename T>
struct adl_serializer<std::optional<T>> {
  static void to_json(json& json, const std::optional<T>& value) {
    if (value)
      json = *value;
    else
      json = nullptr;
  }
  static void from_json(const json& json, std::optional<T>& value) {
    if (json.is_null())
      value.reset();
    else
      value = json.get<T>();
  }
};

template <>
struct adl_serializer<bamboomount::Millis> {
  static void to_json(json& json, const bamboomount::Millis& value) {
    json = value.count();
  }
  static void from_json(const json& json, bamboomount::Millis& value) {
    value = bamboomount::Millis(json.get<std::int64_t>());
  }
};

}  // namespace nlohmann

namespace bamboomount {

template <typename Tag>
void to_json(nlohmann::json& json, const StrongId<Tag>& id) {
  json = id.value();
}
template <typename Tag>
void from_json(const nlohmann::json& json, StrongId<Tag>& id) {
  id = StrongId<Tag>(json.get<std::string>());
}
template <typename Tag, typename Rep>
void to_json(nlohmann::json& json, const StrongCount<Tag, Rep>& count) {
  json = count.value();
}
template <typename Tag, typename Rep>
void from_json(const nlohmann::json& json, StrongCount<Tag, Rep>& count) {
  count = StrongCount<Tag, Rep>(json.get<Rep>());
}

NLOHMANN_JSON_SERIALIZE_ENUM(InstanceCondition,
                             {{InstanceCondition::kLive, "live"},
                              {InstanceCondition::kSuspected, "suspected"},
                              {InstanceCondition::kLeaving, "leaving"}})
NLOHMANN_JSON_SERIALIZE_ENUM(BackendCondition,
                             {{BackendCondition::kDown, "down"},
                              {BackendCondition::kUp, "up"},
                              {BackendCondition::kStraggler, "straggler"},
                              {BackendCondition::kLeaving, "leaving"}})
NLOHMANN_JSON_SERIALIZE_ENUM(BackendKind,
                             {{BackendKind::kFirm, "firm"},
                              {BackendKind::kCheap, "cheap"}})
NLOHMANN_JSON_SERIALIZE_ENUM(Freshness,
                             {{Freshness::kStale, "stale"},
                              {Freshness::kConfirmed, "confirmed"},
                              {Freshness::kMajority, "majority"}})
NLOHMANN_JSON_SERIALIZE_ENUM(UsageWindowState,
                             {{UsageWindowState::kOpen, "open"},
                              {UsageWindowState::kClosed, "closed"},
                              {UsageWindowState::kSealed, "sealed"},
                              {UsageWindowState::kReported, "reported"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(InstanceStatus,
                                   instance,
                                   zone,
                                   address,
                                   admin_address,
                                   condition,
                                   sequence,
                                   config_version,
                                   freshness,
                                   confirmation_age)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BackendStatus,
                                   backend,
                                   zone,
                                   pool,
                                   kind,
                                   condition,
                                   running,
                                   waiting,
                                   slots)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaseStatus, holder, token)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FleetStatus,
                                   self,
                                   instances,
                                   backends,
                                   lease,
                                   store_answers,
                                   emergency_withdrawals)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HealthStatus, serving, detail)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigReply,
                                   version,
                                   sequence,
                                   author,
                                   unix_seconds,
                                   text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigVersionEntry,
                                   version,
                                   base,
                                   sequence,
                                   author,
                                   unix_seconds)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ApplyConfigRequest, author, base, text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GrantKeyRequest,
                                   author,
                                   key,
                                   digest,
                                   customer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WithdrawKeyRequest, author, key, emergency)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DrainRequest, author, instance)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ChangeReply, sequence, config_version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WithdrawKeyReply, sequence, reached, listed)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyStatus, key, customer, withdrawn)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyListing, sequence, keys)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(UsageLine,
                                   window,
                                   customer,
                                   requests,
                                   prompt_tokens,
                                   output_tokens,
                                   state)

// Times are in microseconds; `start_us` counts from the Unix epoch.
inline void to_json(nlohmann::json& json, const Span& span) {
  json = {{"trace_id", span.context.trace_id},
          {"span_id", span.context.span_id},
          {"parent_span_id", span.parent_span_id},
          {"name", span.name},
          {"process", span.process},
          {"start_us", std::chrono::duration_cast<std::chrono::microseconds>(
                           span.start.time_since_epoch())
                           .count()},
          {"duration_us", span.duration.count()},
          {"attributes", span.attributes}};
}
inline void from_json(const nlohmann::json& json, Span& span) {
  json.at("trace_id").get_to(span.context.trace_id);
  json.at("span_id").get_to(span.context.span_id);
  json.at("parent_span_id").get_to(span.parent_span_id);
  json.at("name").get_to(span.name);
  json.at("process").get_to(span.process);
  span.start = std::chrono::system_clock::time_point(
      std::chrono::microseconds(json.at("start_us").get<std::int64_t>()));
  span.duration =
      std::chrono::microseconds(json.at("duration_us").get<std::int64_t>());
  json.at("attributes").get_to(span.attributes);
}

}  // namespace bamboomount

#endif  // ADMIN_INTERNAL_OPERATOR_JSON_H_
