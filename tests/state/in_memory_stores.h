#ifndef TESTS_STATE_IN_MEMORY_STORES_H_
#define TESTS_STATE_IN_MEMORY_STORES_H_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "provider/provider.h"

namespace bamboomount {

// Fault that is injected into a commit.
enum class CommitFault {
  kNone,
  // Nothing is written; the caller gets verdict kNotRun.
  kNotSent,
  // Nothing is written; the caller gets verdict kMayHaveRun.
  kLostRequest,
  // The commit takes effect; the caller gets verdict kMayHaveRun.
  kLostResponse,
};

// In-memory table with fault injection. Its era is always 0.
class ScriptedTableStore : public TableStore {
 public:
  Result<StoreResponse<CommitOutcome>> CommitWithEra(
      const Transaction& transaction,
      Millis timeout) override;
  Result<StoreResponse<std::optional<Row>>> ReadWithEra(
      const std::string& key,
      Millis timeout) override;
  Result<StoreResponse<std::vector<Row>>> ScanWithEra(const std::string& prefix,
                                                      Millis timeout) override;

  // Faults of the next commits, in order.
  std::vector<CommitFault> faults;
  // Runs once before the next commit, without the lock held.
  std::function<void()> before_commit;
  // Makes all calls fail with kStoreUnavailable and verdict kNotRun.
  std::atomic<bool> unavailable = false;
  // Number of calls of ReadWithEra.
  std::atomic<int> reads = 0;

 private:
  bool ConditionsHold(const Transaction& transaction) const;

  std::mutex mutex_;
  std::map<std::string, Row> rows_;
};

// In-memory object store whose content tests may read and change.
class InMemoryObjectStore : public ObjectStore {
 public:
  Result<void> Put(const std::string& name,
                   const std::string& content,
                   Millis timeout) override;
  Result<std::optional<std::string>> Get(const std::string& name,
                                         Millis timeout) override;

  std::mutex mutex;
  std::map<std::string, std::string> objects;
};

}  // namespace bamboomount

#endif  // TESTS_STATE_IN_MEMORY_STORES_H_
