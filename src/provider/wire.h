#ifndef PROVIDER_WIRE_H_
#define PROVIDER_WIRE_H_

#include <nlohmann/json_fwd.hpp>

#include "provider/backend_orders.h"
#include "provider/instance_directory.h"
#include "provider/table_store.h"
#include "provider/transaction.h"
#include "provider/usage_reports.h"

// JSON representations of the platform's types. The ...From functions throw
// nlohmann::json::exception if a member is missing or has the wrong type.
namespace bamboomount::wire {

nlohmann::json ToJson(const Transaction& transaction);
nlohmann::json ToJson(const Row& row);
nlohmann::json ToJson(const BackendOrder& order);
nlohmann::json ToJson(const UsageReport& report);
nlohmann::json ToJson(const ListedInstance& instance);
nlohmann::json ToJson(const DirectoryListing& listing);

Transaction TransactionFrom(const nlohmann::json& json);
Row RowFrom(const nlohmann::json& json);
BackendOrder BackendOrderFrom(const nlohmann::json& json);
UsageReport UsageReportFrom(const nlohmann::json& json);
ListedInstance ListedInstanceFrom(const nlohmann::json& json);
DirectoryListing DirectoryListingFrom(const nlohmann::json& json);

}  // namespace bamboomount::wire

#endif  // PROVIDER_WIRE_H_
