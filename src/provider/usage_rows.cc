#include "provider/usage_rows.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bamboomount {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kWindowDigits = 12;

std::string Padded(UsageWindow window) {
  const std::string digits = std::to_string(window.value());
  return std::string(kWindowDigits - std::min(kWindowDigits, digits.size()),
                     '0') +
         digits;
}

Json ToJson(const UsageFigures& figures) {
  return {figures.requests, figures.prompt_tokens.value(),
          figures.output_tokens.value()};
}

UsageFigures FiguresFrom(const Json& json) {
  return {json.at(0).get<std::int64_t>(),
          Tokens(json.at(1).get<std::int64_t>()),
          Tokens(json.at(2).get<std::int64_t>())};
}

Json ToJson(const CustomerUsage& customers) {
  Json json = Json::object();
  for (const auto& [customer, figures] : customers)
    json[customer.value()] = ToJson(figures);
  return json;
}

CustomerUsage CustomersFrom(const Json& json) {
  CustomerUsage customers;
  for (const auto& [customer, figures] : json.items())
    customers.emplace(CustomerId(customer), FiguresFrom(figures));
  return customers;
}

}  // namespace

std::string UsageRowPrefix(UsageWindow window) {
  return "usage/" + Padded(window) + "/";
}

std::string UsageRowKey(UsageWindow window, const std::string& writer) {
  return UsageRowPrefix(window) + writer;
}

std::string UsageClosedKey(UsageWindow window) {
  return "usage-closed/" + Padded(window);
}

std::string UsageSealedKey(UsageWindow window) {
  return "usage-sealed/" + Padded(window);
}

std::string UsageRow::ToText() const {
  return Json{{"customers", ToJson(customers)},
              {"late", ToJson(late)},
              {"final", final}}
      .dump();
}

std::optional<UsageRow> UsageRow::Parse(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    return UsageRow{CustomersFrom(json.at("customers")),
                    FiguresFrom(json.at("late")), json.at("final").get<bool>()};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

void SealedUsage::Add(const UsageRow& row) {
  for (const auto& [customer, figures] : row.customers)
    customers[customer] += figures;
  late += row.late;
  ++writers;
  if (!row.final)
    ++unfinished_writers;
}

std::string SealedUsage::ToText() const {
  return Json{{"customers", ToJson(customers)},
              {"late", ToJson(late)},
              {"writers", writers},
              {"unfinished_writers", unfinished_writers}}
      .dump();
}

std::optional<SealedUsage> SealedUsage::Parse(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    return SealedUsage{CustomersFrom(json.at("customers")),
                       FiguresFrom(json.at("late")),
                       json.at("writers").get<std::int64_t>(),
                       json.at("unfinished_writers").get<std::int64_t>()};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace bamboomount
