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

// What happens to a commit.
enum class CommitFault {
  kNone,
  // Nothing is written, and the caller knows.
  kNotSent,
  // Nothing is written, and the caller cannot know.
  kLostRequest,
  // It takes effect, and the caller cannot know.
  kLostResponse,
};

class ScriptedTableStore : public TableStore {
 public:
  Result<CommitOutcome> Commit(const Transaction& transaction,
                               Millis timeout) override;
  Result<std::optional<Row>> Read(const std::string& key,
                                  Millis timeout) override;
  Result<std::vector<Row>> Scan(const std::string& prefix,
                                Millis timeout) override;

  // Faults of the next commits, first one first.
  std::vector<CommitFault> faults;
  // Runs once before the next commit, outside the lock.
  std::function<void()> before_commit;
  std::atomic<bool> unavailable = false;
  std::atomic<int> reads = 0;

 private:
  bool ConditionsHold(const Transaction& transaction) const;

  std::mutex mutex_;
  std::map<std::string, Row> rows_;
};

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
