#ifndef APPS_BAMBOOMOUNTD_USAGE_LINES_H_
#define APPS_BAMBOOMOUNTD_USAGE_LINES_H_

#include <vector>

#include "admin/admin.h"
#include "provider/provider.h"

namespace bamboomount {

// Usage of each customer in the last `windows` windows, oldest first: the
// sealed figures where a window is sealed, else the sum of what the routers
// have written. Fails with kStoreUnavailable.
Result<std::vector<UsageLine>> ReadUsage(TableStore& table,
                                         int windows,
                                         Millis timeout);

}  // namespace bamboomount

#endif  // APPS_BAMBOOMOUNTD_USAGE_LINES_H_
