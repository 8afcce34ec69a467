#include "provider/http_table_store.h"

#include "provider/internal/json_response.h"
#include "provider/wire.h"

namespace bamboomount {

Result<CommitOutcome> HttpTableStore::Commit(const Transaction& transaction,
                                             Millis timeout) {
  BOOST_OUTCOME_TRY(response, SendRequest(address_,
                                          {"POST", "/table/commit",
                                           wire::ToJson(transaction).dump()},
                                          timeout));
  return internal::ReadJson<CommitOutcome>(
      response, [](const nlohmann::json& json) {
        return json.at("committed").get<bool>() ? CommitOutcome::kCommitted
                                                : CommitOutcome::kConflict;
      });
}

Result<std::optional<Row>> HttpTableStore::Read(const std::string& key,
                                                Millis timeout) {
  BOOST_OUTCOME_TRY(
      response,
      SendRequest(address_,
                  {"GET", internal::WithQuery("/table/row", "key", key), {}},
                  timeout));
  if (response.status == 404)
    return std::optional<Row>();
  return internal::ReadJson<std::optional<Row>>(response, wire::RowFrom);
}

Result<std::vector<Row>> HttpTableStore::Scan(const std::string& prefix,
                                              Millis timeout) {
  BOOST_OUTCOME_TRY(
      response,
      SendRequest(
          address_,
          {"GET", internal::WithQuery("/table/scan", "prefix", prefix), {}},
          timeout));
  return internal::ReadJson<std::vector<Row>>(
      response, [](const nlohmann::json& json) {
        std::vector<Row> rows;
        for (const auto& row : json.at("rows"))
          rows.push_back(wire::RowFrom(row));
        return rows;
      });
}

}  // namespace bamboomount
