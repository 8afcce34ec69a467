#include "support/faults.h"

#include <nlohmann/json.hpp>
#include <variant>

namespace standin {
namespace {

struct Switch {
  const char* name;
  std::variant<bool Faults::*, std::int64_t Faults::*> member;
};

constexpr Switch kSwitches[] = {
    {"delay_ms", &Faults::delay_ms},
    {"late_ms", &Faults::late_ms},
    {"refuse", &Faults::refuse},
    {"lose_answer", &Faults::lose_answer},
    {"reset_at_byte", &Faults::reset_at_byte},
    {"crash_after_tokens", &Faults::crash_after_tokens},
    {"crash_process", &Faults::crash_process},
    {"close_after_tokens", &Faults::close_after_tokens},
    {"truncate_after_tokens", &Faults::truncate_after_tokens},
    {"answer_twice", &Faults::answer_twice},
    {"cross_answers", &Faults::cross_answers},
    {"freeze", &Faults::freeze},
    {"slow_factor", &Faults::slow_factor},
    {"leaving", &Faults::leaving},
    {"times", &Faults::times},
};

const Switch* FindSwitch(const std::string& name) {
  for (const Switch& candidate : kSwitches) {
    if (name == candidate.name) {
      return &candidate;
    }
  }
  return nullptr;
}

bool Assign(const Switch& entry, const nlohmann::json& value, Faults& faults) {
  if (const auto* flag = std::get_if<bool Faults::*>(&entry.member)) {
    if (!value.is_boolean()) {
      return false;
    }
    faults.*(*flag) = value.get<bool>();
    return true;
  }
  if (!value.is_number_integer()) {
    return false;
  }
  faults.*std::get<std::int64_t Faults::*>(entry.member) =
      value.get<std::int64_t>();
  return true;
}

}  // namespace

std::string FaultSwitches::Set(const std::string& text) {
  const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
  if (!object.is_object()) {
    return "not a JSON object";
  }
  Faults faults;
  for (const auto& [name, value] : object.items()) {
    const Switch* entry = FindSwitch(name);
    if (entry == nullptr) {
      return "unknown switch " + name;
    }
    if (!Assign(*entry, value, faults)) {
      return "wrong type of value for " + name;
    }
  }
  if (faults.reset_at_byte >= 0 && faults.times < 0) {
    return "reset_at_byte needs times";
  }
  current_ = faults;
  return "";
}

Faults FaultSwitches::Take() {
  const Faults taken = current_;
  if (current_.times > 0 && --current_.times == 0) {
    current_ = Faults();
  }
  return taken;
}

}  // namespace standin
