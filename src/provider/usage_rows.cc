#include "provider/usage_rows.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bamboomount {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kWindowDigits = 12;

std::string ZeroPadded(UsageWindow window) {
  const std::string digits = std::to_string(window.value());
  return std::string(kWindowDigits - std::min(kWindowDigits, digits.size()),
                     '0') +
         digits;
}

Json ToJson(const UsageTotals& totals) {
  return {totals.requests, totals.prompt_tokens.value(),
          totals.output_tokens.value()};
}

UsageTotals TotalsFrom(const Json& json) {
  return {json.at(0).get<std::int64_t>(),
          Tokens(json.at(1).get<std::int64_t>()),
          Tokens(json.at(2).get<std::int64_t>())};
}

Json ToJson(const CustomerUsage& customers) {
  Json json = Json::object();
  for (const auto& [customer, totals] : customers)
    json[customer.value()] = ToJson(totals);
  return json;
}

CustomerUsage CustomerUsageFrom(const Json& json) {
  CustomerUsage customers;
  for (const auto& [customer, totals] : json.items())
    customers.emplace(CustomerId(customer), TotalsFrom(totals));
  return customers;
}

}  // namespace

std::string UsageRowPrefix(UsageWindow window) {
  return "usage/" + ZeroPadded(window) + "/";
}

std::string UsageRowKey(UsageWindow window, const std::string& writer) {
  return UsageRowPrefix(window) + writer;
}

std::string UsageClosedKey(UsageWindow window) {
  return "usage-closed/" + ZeroPadded(window);
}

std::string UsageSealedKey(UsageWindow window) {
  return "usage-sealed/" + ZeroPadded(window);
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
    return UsageRow{CustomerUsageFrom(json.at("customers")),
                    TotalsFrom(json.at("late")), json.at("final").get<bool>()};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

void SealedUsage::Add(const UsageRow& row) {
  for (const auto& [customer, totals] : row.customers)
    customers[customer] += totals;
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
    return SealedUsage{CustomerUsageFrom(json.at("customers")),
                       TotalsFrom(json.at("late")),
                       json.at("writers").get<std::int64_t>(),
                       json.at("unfinished_writers").get<std::int64_t>()};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace bamboomount
