#ifndef CONFIG_INTERNAL_FIELD_TABLE_H_
#define CONFIG_INTERNAL_FIELD_TABLE_H_

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/base.h"
#include "config/internal/field_values.h"
#include "config/internal/object_scan.h"

namespace bamboomount::internal {

// Whether a rule or the process settings must set a field.
enum class FieldPresence { kRequired, kOptional };

// One field of a rule or of the process settings.
template <typename Rule>
struct FieldSpec {
  std::string_view name;
  FieldPresence presence;
  // Sets a member from the value. Returns an error message, empty on success.
  std::function<std::string(const nlohmann::json&, Rule&)> read;
};

template <typename Rule>
using FieldTable = std::vector<FieldSpec<Rule>>;

template <typename Rule, typename Tag>
auto IdField(StrongId<Tag> Rule::*member) {
  return [member](const nlohmann::json& value, Rule& rule) {
    std::string text;
    std::string fault = ReadName(value, text);
    rule.*member = StrongId<Tag>(std::move(text));
    return fault;
  };
}

template <typename Rule, typename Tag>
auto IdListField(std::vector<StrongId<Tag>> Rule::*member) {
  return [member](const nlohmann::json& value, Rule& rule) {
    std::vector<std::string> names;
    std::string fault = ReadStringList(value, ReadName, names);
    for (std::string& name : names)
      (rule.*member).emplace_back(std::move(name));
    return fault;
  };
}

template <typename Rule>
auto TextField(std::string Rule::*member, TextReader reader) {
  return [member, reader](const nlohmann::json& value, Rule& rule) {
    return reader(value, rule.*member);
  };
}

template <typename Rule>
auto TextListField(std::vector<std::string> Rule::*member, TextReader reader) {
  return [member, reader](const nlohmann::json& value, Rule& rule) {
    return ReadStringList(value, reader, rule.*member);
  };
}

template <typename Rule>
auto BoolField(bool Rule::*member) {
  return [member](const nlohmann::json& value, Rule& rule) -> std::string {
    if (!value.is_boolean())
      return "must be true or false";
    rule.*member = value.get<bool>();
    return {};
  };
}

template <typename Rule>
auto NumberField(double Rule::*member, Range range) {
  return [member, range](const nlohmann::json& value, Rule& rule) {
    return ReadNumber(value, range, rule.*member);
  };
}

// For members of type int, Millis or StrongCount.
template <typename Rule, typename Integer>
auto IntegerField(Integer Rule::*member, Range range) {
  return [member, range](const nlohmann::json& value, Rule& rule) {
    std::int64_t number = 0;
    std::string fault = ReadInteger(value, range, number);
    if (fault.empty())
      rule.*member = Integer(static_cast<std::int32_t>(number));
    return fault;
  };
}

template <typename Rule, typename Enum>
auto EnumField(Enum Rule::*member,
               std::vector<std::pair<std::string_view, Enum>> names) {
  return [member, names](const nlohmann::json& value,
                         Rule& rule) -> std::string {
    std::string allowed;
    for (const auto& [name, enumerator] : names) {
      if (value == name) {
        rule.*member = enumerator;
        return {};
      }
      allowed += (allowed.empty() ? "\"" : " or \"") + std::string(name) + "\"";
    }
    return "must be " + allowed;
  };
}

// Reads the fields of `scan` into a rule and appends all errors to `errors`.
template <typename Rule>
Rule ReadFields(const FieldTable<Rule>& table,
                const ObjectScan& scan,
                const TextPositions& positions,
                std::vector<ConfigError>& errors) {
  Rule rule;
  std::set<std::string_view> seen;
  for (const ScannedField& field : scan.fields) {
    const auto spec = std::find_if(
        table.begin(), table.end(),
        [&](const auto& candidate) { return candidate.name == field.name; });
    if (spec == table.end()) {
      errors.push_back(positions.ErrorAt(
          field.name_offset, "unknown field \"" + field.name + "\""));
      continue;
    }
    if (!seen.insert(spec->name).second) {
      errors.push_back(positions.ErrorAt(
          field.name_offset, "field \"" + field.name + "\" is given twice"));
      continue;
    }
    const std::string fault = spec->read(scan.value.at(field.name), rule);
    if (!fault.empty())
      errors.push_back(positions.ErrorAt(
          field.value_offset, "field \"" + field.name + "\" " + fault));
  }
  for (const FieldSpec<Rule>& spec : table) {
    if (spec.presence == FieldPresence::kOptional || seen.contains(spec.name))
      continue;
    errors.push_back(positions.ErrorAt(
        0, "field \"" + std::string(spec.name) + "\" is missing"));
  }
  return rule;
}

}  // namespace bamboomount::internal

#endif  // CONFIG_INTERNAL_FIELD_TABLE_H_
