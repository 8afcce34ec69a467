#include "config/service_config_reader.h"

#include <algorithm>
#include <functional>
#include <string_view>
#include <utility>

#include "config/internal/placed_rule.h"
#include "config/internal/rule_outline.h"
#include "config/internal/service_rules.h"

namespace bamboomount {
namespace {

using internal::FieldTable;
using internal::PlacedConfig;
using internal::PlacedRules;
using internal::RuleLine;

using Errors = std::vector<ConfigError>;

// How the rules of one array are read.
struct Section {
  std::string_view name;
  std::function<void(const RuleLine&, PlacedConfig&, Errors&)> read;
};

template <typename Rule>
Section MakeSection(std::string_view name,
                    const FieldTable<Rule>& fields,
                    PlacedRules<Rule> PlacedConfig::*rules) {
  return {name, [&fields, rules](const RuleLine& line, PlacedConfig& config,
                                 Errors& errors) {
            (config.*rules)
                .push_back({internal::ReadFields(fields, line.scan,
                                                 line.positions(), errors),
                            &line});
          }};
}

const std::vector<Section>& Sections() {
  static const std::vector<Section> sections = {
      MakeSection("zones", internal::ZoneFields(), &PlacedConfig::zones),
      MakeSection("pools", internal::PoolFields(), &PlacedConfig::pools),
      MakeSection("backends", internal::BackendFields(),
                  &PlacedConfig::backends),
      MakeSection("classes", internal::ClassFields(), &PlacedConfig::classes),
      MakeSection("routes", internal::RouteFields(), &PlacedConfig::routes),
      MakeSection("customers", internal::CustomerFields(),
                  &PlacedConfig::customers),
      MakeSection("limits", internal::LimitFields(), &PlacedConfig::limits),
  };
  return sections;
}

std::vector<std::string_view> SectionNames() {
  std::vector<std::string_view> names;
  for (const Section& section : Sections())
    names.push_back(section.name);
  return names;
}

template <typename Rule>
std::vector<Rule> WithoutPlaces(PlacedRules<Rule>& placed) {
  std::vector<Rule> rules;
  rules.reserve(placed.size());
  for (auto& rule : placed)
    rules.push_back(std::move(rule.rule));
  return rules;
}

void ReadRule(const RuleLine& line, PlacedConfig& config, Errors& errors) {
  if (line.scan.fault)
    return;
  for (const Section& section : Sections()) {
    if (section.name == line.section)
      section.read(line, config, errors);
  }
}

}  // namespace

ServiceConfigReading ReadServiceConfig(const std::string& text) {
  internal::RuleOutline outline =
      internal::ReadRuleOutline(text, SectionNames());
  ServiceConfigReading reading;
  reading.errors = std::move(outline.errors);
  PlacedConfig placed;
  for (const RuleLine& line : outline.rules)
    ReadRule(line, placed, reading.errors);
  CheckReferences(placed, reading.errors);
  std::stable_sort(reading.errors.begin(), reading.errors.end(),
                   [](const ConfigError& a, const ConfigError& b) {
                     return std::pair(a.line, a.column) <
                            std::pair(b.line, b.column);
                   });
  reading.config.zones = WithoutPlaces(placed.zones);
  reading.config.pools = WithoutPlaces(placed.pools);
  reading.config.backends = WithoutPlaces(placed.backends);
  reading.config.classes = WithoutPlaces(placed.classes);
  reading.config.routes = WithoutPlaces(placed.routes);
  reading.config.customers = WithoutPlaces(placed.customers);
  reading.config.limits = WithoutPlaces(placed.limits);
  return reading;
}

}  // namespace bamboomount
