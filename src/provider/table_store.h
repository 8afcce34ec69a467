#ifndef PROVIDER_TABLE_STORE_H_
#define PROVIDER_TABLE_STORE_H_

#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "provider/transaction.h"

namespace bamboomount {

struct Row {
  std::string key;
  std::string value;
  RowVersion version;
};

enum class CommitOutcome {
  kCommitted,
  // At least one condition did not hold, so nothing was written.
  kConflict,
};

// The platform's transactional table service. Calls block for at most
// `timeout`. Errors have code kStoreUnavailable; a commit that fails with
// verdict kMayHaveRun may have taken effect. Thread-safe.
class TableStore {
 public:
  virtual ~TableStore() = default;

  virtual Result<CommitOutcome> Commit(const Transaction& transaction,
                                       Millis timeout) = 0;
  virtual Result<std::optional<Row>> Read(const std::string& key,
                                          Millis timeout) = 0;
  // Returns a consistent snapshot of all rows whose key starts with `prefix`,
  // in key order.
  virtual Result<std::vector<Row>> Scan(const std::string& prefix,
                                        Millis timeout) = 0;
};

}  // namespace bamboomount

#endif  // PROVIDER_TABLE_STORE_H_
