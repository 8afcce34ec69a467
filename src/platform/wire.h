#ifndef PLATFORM_WIRE_H_
#define PLATFORM_WIRE_H_

#include <nlohmann/json_fwd.hpp>

#include "platform/backend_orders.h"
#include "platform/instance_directory.h"
#include "platform/table_store.h"
#include "platform/transaction.h"
#include "platform/usage_reports.h"

// JSON forms of the platform's types. The From functions throw
// nlohmann::json::exception if a member is missing or has another type.
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

#endif  // PLATFORM_WIRE_H_
