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

// A result of the store, and the era in which the store produced it.
template <typename T>
struct StoreResponse {
  T value;
  StoreEra era;
};

// The platform's transactional table service. Calls block for at most
// `timeout`. Errors have code kStoreUnavailable; a commit that fails with
// verdict kMayHaveRun may have taken effect.
//
// The service may come back from an older copy. Writes since the copy are then
// gone, row versions are given out again, and the era is higher by one.
// Thread-safe.
class TableStore {
 public:
  virtual ~TableStore() = default;

  virtual Result<StoreResponse<CommitOutcome>> CommitWithEra(
      const Transaction& transaction,
      Millis timeout) = 0;
  virtual Result<StoreResponse<std::optional<Row>>> ReadWithEra(
      const std::string& key,
      Millis timeout) = 0;
  // Returns a consistent snapshot of all rows whose key starts with `prefix`,
  // in key order.
  virtual Result<StoreResponse<std::vector<Row>>> ScanWithEra(
      const std::string& prefix,
      Millis timeout) = 0;

  // The same calls for callers that do not depend on the era.
  Result<CommitOutcome> Commit(const Transaction& transaction, Millis timeout);
  Result<std::optional<Row>> Read(const std::string& key, Millis timeout);
  Result<std::vector<Row>> Scan(const std::string& prefix, Millis timeout);
};

}  // namespace bamboomount

#endif  // PROVIDER_TABLE_STORE_H_
