#ifndef PROVIDER_IN_MEMORY_TABLE_STORE_H_
#define PROVIDER_IN_MEMORY_TABLE_STORE_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "provider/table_store.h"

namespace bamboomount {

// A table service in memory with fault switches, for tests and stand-ins.
class InMemoryTableStore : public TableStore {
 public:
  struct Faults {
    // Every call fails with verdict kNotRun.
    bool outage = false;
    // Each call takes this long. A call whose timeout is not longer takes
    // effect, but its response is lost.
    Millis delay{0};
    // Number of commits to come that take effect but whose response is lost.
    int lost_commit_responses = 0;
    // Number of commits to come that are lost before they take effect, with
    // the same error to the caller as a lost response.
    int lost_commits = 0;
    // Number of commits to come whose response is lost and that are kept back
    // until DeliverDelayedCommits, as a packet delayed in the network is.
    int delayed_commits = 0;
  };

  Result<CommitOutcome> Commit(const Transaction& transaction,
                               Millis timeout) override;
  Result<std::optional<Row>> Read(const std::string& key,
                                  Millis timeout) override;
  Result<std::vector<Row>> Scan(const std::string& prefix,
                                Millis timeout) override;

  void SetFaults(const Faults& faults);
  // Applies the held commits in order; each one's conditions are checked now.
  void DeliverDelayedCommits();
  // Calls of all kinds that have arrived, outages included.
  std::size_t call_count() const;

 private:
  struct StoredValue {
    std::string value;
    RowVersion version;
  };

  // Sleeps for the delay; fails if the call does not come through in time.
  Result<void> BeginCall(Millis timeout, bool& response_lost);
  CommitOutcome Apply(const Transaction& transaction);
  RowVersion CurrentVersion(const std::string& key) const;

  mutable std::mutex mutex_;
  std::map<std::string, StoredValue> rows_;
  std::vector<Transaction> delayed_commits_;
  Faults faults_;
  std::size_t call_count_ = 0;
};

}  // namespace bamboomount

#endif  // PROVIDER_IN_MEMORY_TABLE_STORE_H_
