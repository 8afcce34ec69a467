#ifndef CONFIG_INTERNAL_SERVICE_RULES_H_
#define CONFIG_INTERNAL_SERVICE_RULES_H_

#include "config/internal/field_table.h"
#include "config/service_config.h"

namespace bamboomount::internal {

// Return the fields of each kind of rule.
const FieldTable<ZoneRule>& ZoneFields();
const FieldTable<PoolRule>& PoolFields();
const FieldTable<BackendRule>& BackendFields();
const FieldTable<ClassRule>& ClassFields();
const FieldTable<RouteRule>& RouteFields();
const FieldTable<CustomerRule>& CustomerFields();
const FieldTable<LimitRule>& LimitFields();

}  // namespace bamboomount::internal

#endif  // CONFIG_INTERNAL_SERVICE_RULES_H_
