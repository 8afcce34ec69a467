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
  // A condition did not hold; nothing was written.
  kConflict,
};

// The platform's transactional table service. Calls block for at most
// `timeout`. Errors have code kStoreUnavailable; verdict kMayHaveRun means
// that a commit may have taken effect. Thread-safe.
class TableStore {
 public:
  virtual ~TableStore() = default;

  virtual Result<CommitOutcome> Commit(const Transaction& transaction,
                                       Millis timeout) = 0;
  virtual Result<std::optional<Row>> Read(const std::string& key,
                                          Millis timeout) = 0;
  // All rows whose key starts with `prefix`, in key order, from one moment.
  virtual Result<std::vector<Row>> Scan(const std::string& prefix,
                                        Millis timeout) = 0;
};

}  // namespace bamboomount

#endif  // PROVIDER_TABLE_STORE_H_
