#include "controller/internal/restore_row.h"

#include <cstdint>
#include <nlohmann/json.hpp>

namespace bamboomount::internal {

std::string RestoreRow::ToText() const {
  return nlohmann::json{{"era", era.value()},
                        {"sealed_through", sealed_through.value()}}
      .dump();
}

std::optional<RestoreRow> RestoreRow::Parse(const std::string& text) {
  try {
    const auto json = nlohmann::json::parse(text);
    return RestoreRow{
        StoreEra(json.at("era").get<std::uint64_t>()),
        UsageWindow(json.at("sealed_through").get<std::int64_t>())};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace bamboomount::internal
