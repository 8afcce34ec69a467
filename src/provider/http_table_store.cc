#include "provider/http_table_store.h"

#include "provider/internal/json_response.h"
#include "provider/wire.h"

namespace bamboomount {
namespace {

// Adds the era that `response` states to the value converted from it.
template <typename T>
Result<StoreResponse<T>> AddEra(const ExchangeResponse& response,
                                Result<T> value) {
  BOOST_OUTCOME_TRY(converted, std::move(value));
  BOOST_OUTCOME_TRY(era, internal::EraOf(response));
  return StoreResponse<T>{std::move(converted), era};
}

}  // namespace

Result<StoreResponse<CommitOutcome>> HttpTableStore::CommitWithEra(
    const Transaction& transaction,
    Millis timeout) {
  BOOST_OUTCOME_TRY(response, SendRequest(address_,
                                          {"POST", "/table/commit",
                                           wire::ToJson(transaction).dump()},
                                          timeout));
  return AddEra(response, internal::ReadJson<CommitOutcome>(
                              response, [](const nlohmann::json& json) {
                                return json.at("committed").get<bool>()
                                           ? CommitOutcome::kCommitted
                                           : CommitOutcome::kConflict;
                              }));
}

Result<StoreResponse<std::optional<Row>>> HttpTableStore::ReadWithEra(
    const std::string& key,
    Millis timeout) {
  BOOST_OUTCOME_TRY(
      response,
      SendRequest(address_,
                  {"GET", internal::WithQuery("/table/row", "key", key), {}},
                  timeout));
  if (response.status == 404)
    return AddEra<std::optional<Row>>(response, std::optional<Row>());
  return AddEra(response, internal::ReadJson<std::optional<Row>>(
                              response, wire::RowFrom));
}

Result<StoreResponse<std::vector<Row>>> HttpTableStore::ScanWithEra(
    const std::string& prefix,
    Millis timeout) {
  BOOST_OUTCOME_TRY(
      response,
      SendRequest(
          address_,
          {"GET", internal::WithQuery("/table/scan", "prefix", prefix), {}},
          timeout));
  return AddEra(response, internal::ReadJson<std::vector<Row>>(
                              response, [](const nlohmann::json& json) {
                                std::vector<Row> rows;
                                for (const auto& row : json.at("rows"))
                                  rows.push_back(wire::RowFrom(row));
                                return rows;
                              }));
}

}  // namespace bamboomount
