#include "controller/internal/lease_row.h"

#include <nlohmann/json.hpp>

namespace bamboomount::internal {

std::string LeaseRow::ToText() const {
  return nlohmann::json{{"holder", holder.value()},       {"nonce", nonce},
                        {"fencing_token", token.value()}, {"renewals", renewal},
                        {"released", released},           {"era", era.value()}}
      .dump();
}

std::optional<LeaseRow> LeaseRow::Parse(const std::string& text) {
  try {
    const auto json = nlohmann::json::parse(text);
    return LeaseRow{InstanceId(json.at("holder").get<std::string>()),
                    json.at("nonce").get<std::string>(),
                    FencingToken(json.at("fencing_token").get<std::uint64_t>()),
                    json.at("renewals").get<std::int64_t>(),
                    json.at("released").get<bool>(),
                    StoreEra(json.value("era", std::uint64_t{0}))};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace bamboomount::internal
