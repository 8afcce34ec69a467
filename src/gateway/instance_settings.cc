#include "gateway/instance_settings.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace bamboomount {
namespace {

using Json = nlohmann::json;
// Stores a value in the settings. Throws Json::exception if the value has
// another type.
using Setter = std::function<void(InstanceSettings&, const Json&)>;

constexpr double kBytesPerMegabyte = 1'000'000;
constexpr double kMillisPerSecond = 1000;

Setter StringSetter(std::string InstanceSettings::*member) {
  return [member](InstanceSettings& settings, const Json& value) {
    settings.*member = value.get<std::string>();
  };
}

template <typename Tag>
Setter IdSetter(StrongId<Tag> InstanceSettings::*member) {
  return [member](InstanceSettings& settings, const Json& value) {
    settings.*member = StrongId<Tag>(value.get<std::string>());
  };
}

Setter BoolSetter(bool InstanceSettings::*member) {
  return [member](InstanceSettings& settings, const Json& value) {
    settings.*member = value.get<bool>();
  };
}

Setter MillisSetter(Millis InstanceSettings::*member) {
  return [member](InstanceSettings& settings, const Json& value) {
    settings.*member = Millis(static_cast<Millis::rep>(value.get<double>()));
  };
}

Setter SecondsSetter(Millis InstanceSettings::*member) {
  return [member](InstanceSettings& settings, const Json& value) {
    settings.*member = Millis(
        static_cast<Millis::rep>(value.get<double>() * kMillisPerSecond));
  };
}

// The duties for which instances compete by a lease. Other duties are not
// handled by this program and are ignored.
void ParseDuties(InstanceSettings& settings, const Json& value) {
  for (const Json& duty : value) {
    const auto name = duty.get<std::string>();
    settings.reports_usage |= name == "usage_reporting";
    settings.orders_backends |= name == "scaling";
  }
}

void ParseZones(InstanceSettings& settings, const Json& value) {
  settings.zone_regions.clear();
  for (const auto& [zone, zone_region] : value.items())
    settings.zone_regions[ZoneId(zone)] =
        RegionId(zone_region.get<std::string>());
}

const std::map<std::string, Setter>& Setters() {
  static const std::map<std::string, Setter> setters{
      {"instance", IdSetter(&InstanceSettings::instance)},
      {"zone", IdSetter(&InstanceSettings::zone)},
      {"region", IdSetter(&InstanceSettings::region)},
      {"zones", ParseZones},
      {"capacity",
       [](InstanceSettings& settings, const Json& value) {
         settings.capacity = value.get<double>();
       }},
      {"memory_mb",
       [](InstanceSettings& settings, const Json& value) {
         settings.memory_bytes = static_cast<std::uint64_t>(
             value.get<double>() * kBytesPerMegabyte);
       }},
      {"max_open_files",
       [](InstanceSettings& settings, const Json& value) {
         settings.max_open_files = value.get<std::size_t>();
       }},
      {"caller_address", StringSetter(&InstanceSettings::caller_address)},
      {"readiness_address", StringSetter(&InstanceSettings::readiness_address)},
      {"directory_address", StringSetter(&InstanceSettings::directory_address)},
      {"peer_address", StringSetter(&InstanceSettings::peer_address)},
      {"metrics_address", StringSetter(&InstanceSettings::metrics_address)},
      {"store_address", StringSetter(&InstanceSettings::store_address)},
      {"orders_address", StringSetter(&InstanceSettings::orders_address)},
      {"duties", ParseDuties},
      {"config_deadline_ms", MillisSetter(&InstanceSettings::config_deadline)},
      {"leaving_deadline_ms",
       MillisSetter(&InstanceSettings::leaving_deadline)},
      {"key_withdrawal_deadline_ms",
       MillisSetter(&InstanceSettings::key_withdrawal_deadline)},
      {"refuse_keys_when_stale",
       BoolSetter(&InstanceSettings::refuse_keys_when_stale)},
      {"fleet_admission", BoolSetter(&InstanceSettings::fleet_admission)},
      {"stop_deadline_s", SecondsSetter(&InstanceSettings::stop_deadline)},
      {"lease_ms", MillisSetter(&InstanceSettings::lease_duration)},
      {"usage_window_s", SecondsSetter(&InstanceSettings::usage_window)},
      {"max_address_lifetime_s",
       SecondsSetter(&InstanceSettings::max_address_lifetime)},
      {"retry_ratio",
       [](InstanceSettings& settings, const Json& value) {
         settings.retry_limits.ratio = value.get<double>();
       }},
      {"retry_slack",
       [](InstanceSettings& settings, const Json& value) {
         settings.retry_limits.slack = value.get<double>();
       }},
      {"retry_window_s",
       [](InstanceSettings& settings, const Json& value) {
         settings.retry_limits.window = Millis(
             static_cast<Millis::rep>(value.get<double>() * kMillisPerSecond));
       }},
  };
  return setters;
}

const std::set<std::string>& RequiredSettings() {
  static const std::set<std::string> names{
      "instance",          "zone",
      "caller_address",    "readiness_address",
      "directory_address", "store_address"};
  return names;
}

void ParseSetting(const std::string& name,
                  const Json& value,
                  ParsedSettings& parsed) {
  const auto setter = Setters().find(name);
  if (setter == Setters().end()) {
    parsed.errors.push_back(name + " is not a known setting");
    return;
  }
  // Null marks a setting that the deployment does not use.
  if (value.is_null())
    return;
  try {
    setter->second(parsed.settings, value);
  } catch (const Json::exception&) {
    parsed.errors.push_back(name + " has a value of the wrong type");
  }
}

}  // namespace

RegionId InstanceSettings::RegionOf(const ZoneId& zone_id) const {
  const auto found = zone_regions.find(zone_id);
  return found == zone_regions.end() ? RegionId() : found->second;
}

ParsedSettings ParseInstanceSettings(const std::string& text) {
  ParsedSettings parsed;
  const Json fields = Json::parse(text, nullptr, /*allow_exceptions=*/false,
                                  /*ignore_comments=*/true);
  if (!fields.is_object()) {
    parsed.errors.emplace_back("the settings are not a JSON object");
    return parsed;
  }
  for (const auto& [name, value] : fields.items())
    ParseSetting(name, value, parsed);
  for (const std::string& name : RequiredSettings()) {
    if (!fields.contains(name) || fields[name].is_null())
      parsed.errors.push_back(name + " is missing");
  }
  return parsed;
}

std::vector<std::string> InstanceSettingNames() {
  std::vector<std::string> names;
  for (const auto& [name, setter] : Setters())
    names.push_back(name);
  return names;
}

}  // namespace bamboomount
