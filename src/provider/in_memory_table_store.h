#ifndef PROVIDER_IN_MEMORY_TABLE_STORE_H_
#define PROVIDER_IN_MEMORY_TABLE_STORE_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "provider/table_store.h"

namespace bamboomount {

// In-memory table service with fault injection, for tests and stand-ins.
// Thread-safe.
class InMemoryTableStore : public TableStore {
 public:
  struct Faults {
    // Every call fails with verdict kNotRun.
    bool outage = false;
    // Duration of each call. A call whose timeout is not longer than this takes
    // effect, but its response is lost.
    Millis delay{0};
    // Number of subsequent commits that take effect but whose response is lost.
    int lost_commit_responses = 0;
    // Number of subsequent commits that are lost before they take effect. The
    // caller gets the same error as for a lost response.
    int lost_commits = 0;
    // Number of subsequent commits whose response is lost and that take effect
    // only in DeliverDelayedCommits, like packets delayed in the network.
    int delayed_commits = 0;
  };

  Result<StoreResponse<CommitOutcome>> CommitWithEra(
      const Transaction& transaction,
      Millis timeout) override;
  Result<StoreResponse<std::optional<Row>>> ReadWithEra(
      const std::string& key,
      Millis timeout) override;
  Result<StoreResponse<std::vector<Row>>> ScanWithEra(const std::string& prefix,
                                                      Millis timeout) override;

  void SetFaults(const Faults& faults);
  // Keeps a copy of all rows, in place of an earlier copy.
  void SaveCopy();
  // Replaces all rows by those of the copy, or by none if there is no copy, and
  // begins the next era. Delayed commits stay delayed.
  void RestoreCopy();
  // Applies the delayed commits in the order of their calls. Their conditions
  // are checked now.
  void DeliverDelayedCommits();
  // Number of calls of all kinds so far, including those that failed in an
  // outage.
  std::size_t call_count() const;

 private:
  struct StoredValue {
    std::string value;
    RowVersion version;
  };

  // Counts the call, fails it in an outage, and sleeps for the injected delay,
  // at most `timeout`. Sets `response_lost` if the delay reaches the timeout.
  Result<void> BeginCall(Millis timeout, bool& response_lost);
  CommitOutcome Apply(const Transaction& transaction);
  RowVersion CurrentVersion(const std::string& key) const;

  mutable std::mutex mutex_;
  std::map<std::string, StoredValue> rows_;
  std::map<std::string, StoredValue> saved_copy_;
  StoreEra era_;
  std::vector<Transaction> delayed_commits_;
  Faults faults_;
  std::size_t call_count_ = 0;
};

}  // namespace bamboomount

#endif  // PROVIDER_IN_MEMORY_TABLE_STORE_H_
