#ifndef CONTROLLER_INTERNAL_RESTORE_ROW_H_
#define CONTROLLER_INTERNAL_RESTORE_ROW_H_

#include <optional>
#include <string>

#include "provider/usage_reports.h"

namespace bamboomount::internal {

inline constexpr char kRestoreKey[] = "usage-restore";

// Value of the row that records what a restore of the table may have lost. The
// first holder of the lease in each era writes it.
struct RestoreRow {
  StoreEra era;
  // Windows up to this one may have been sealed in an earlier era.
  UsageWindow sealed_through;

  std::string ToText() const;
  // Empty if `text` is malformed.
  static std::optional<RestoreRow> Parse(const std::string& text);
};

}  // namespace bamboomount::internal

#endif  // CONTROLLER_INTERNAL_RESTORE_ROW_H_
