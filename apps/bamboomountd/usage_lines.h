#ifndef APPS_BAMBOOMOUNTD_USAGE_LINES_H_
#define APPS_BAMBOOMOUNTD_USAGE_LINES_H_

#include <vector>

#include "admin/admin.h"
#include "provider/provider.h"

namespace bamboomount {

// Usage of each customer in the last `windows` usage windows, oldest first: the
// sealed totals of a sealed window, else the sum of the routers' usage rows,
// of which malformed ones are skipped. `timeout` applies to each read of the
// table. Fails with kStoreUnavailable, or with kInternal if a sealed row is
// malformed.
Result<std::vector<UsageLine>> ReadUsage(TableStore& table,
                                         int windows,
                                         Millis timeout);

}  // namespace bamboomount

#endif  // APPS_BAMBOOMOUNTD_USAGE_LINES_H_
