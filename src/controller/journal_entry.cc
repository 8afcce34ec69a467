#include "controller/journal_entry.h"

#include <array>
#include <nlohmann/json.hpp>

namespace bamboomount {
namespace {

struct StateName {
  OrderState state;
  const char* name;
};

constexpr std::array<StateName, 4> kStateNames{
    {{OrderState::kRecorded, "recorded"},
     {OrderState::kAccepted, "accepted"},
     {OrderState::kRefused, "refused"},
     {OrderState::kAbandoned, "abandoned"}}};

}  // namespace

std::string JournalEntry::ToText() const {
  nlohmann::json json = wire::ToJson(order);
  for (const StateName& known : kStateNames) {
    if (known.state == state)
      json["state"] = known.name;
  }
  return json.dump();
}

std::optional<JournalEntry> JournalEntry::Parse(const std::string& text) {
  try {
    const auto json = nlohmann::json::parse(text);
    const auto name = json.at("state").get<std::string>();
    for (const StateName& known : kStateNames) {
      if (name == known.name)
        return JournalEntry{wire::BackendOrderFrom(json), known.state};
    }
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace bamboomount
