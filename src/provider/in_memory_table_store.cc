#include "provider/in_memory_table_store.h"

#include <algorithm>
#include <thread>

namespace bamboomount {
namespace {

Error Unavailable(RunVerdict verdict, std::string message) {
  return Error{ErrorCode::kStoreUnavailable, verdict, std::move(message),
               std::nullopt};
}

Error LostAnswer() {
  return Unavailable(RunVerdict::kMayHaveRun, "no answer from the store");
}

}  // namespace

Result<CommitOutcome> InMemoryTableStore::Commit(const Transaction& transaction,
                                                 Millis timeout) {
  bool answer_lost = false;
  BOOST_OUTCOME_TRY(Enter(timeout, answer_lost));
  const std::lock_guard lock(mutex_);
  if (faults_.lost_commits > 0) {
    --faults_.lost_commits;
    return LostAnswer();
  }
  if (faults_.held_commits > 0) {
    --faults_.held_commits;
    held_.push_back(transaction);
    return LostAnswer();
  }
  const CommitOutcome outcome = Apply(transaction);
  if (faults_.lost_commit_answers > 0) {
    --faults_.lost_commit_answers;
    answer_lost = true;
  }
  if (answer_lost)
    return LostAnswer();
  return outcome;
}

Result<std::optional<Row>> InMemoryTableStore::Read(const std::string& key,
                                                    Millis timeout) {
  bool answer_lost = false;
  BOOST_OUTCOME_TRY(Enter(timeout, answer_lost));
  if (answer_lost)
    return LostAnswer();
  const std::lock_guard lock(mutex_);
  const auto found = rows_.find(key);
  if (found == rows_.end())
    return std::optional<Row>();
  return std::optional<Row>(
      Row{key, found->second.value, found->second.version});
}

Result<std::vector<Row>> InMemoryTableStore::Scan(const std::string& prefix,
                                                  Millis timeout) {
  bool answer_lost = false;
  BOOST_OUTCOME_TRY(Enter(timeout, answer_lost));
  if (answer_lost)
    return LostAnswer();
  const std::lock_guard lock(mutex_);
  std::vector<Row> rows;
  for (auto it = rows_.lower_bound(prefix);
       it != rows_.end() && it->first.starts_with(prefix); ++it) {
    rows.push_back({it->first, it->second.value, it->second.version});
  }
  return rows;
}

void InMemoryTableStore::SetFaults(const Faults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

void InMemoryTableStore::ReleaseHeldCommits() {
  const std::lock_guard lock(mutex_);
  for (const Transaction& transaction : std::exchange(held_, {}))
    Apply(transaction);
}

std::size_t InMemoryTableStore::call_count() const {
  const std::lock_guard lock(mutex_);
  return call_count_;
}

Result<void> InMemoryTableStore::Enter(Millis timeout, bool& answer_lost) {
  Millis delay{0};
  {
    const std::lock_guard lock(mutex_);
    ++call_count_;
    if (faults_.outage)
      return Unavailable(RunVerdict::kNotRun, "store outage");
    delay = faults_.delay;
  }
  answer_lost = delay >= timeout;
  std::this_thread::sleep_for(std::min(delay, timeout));
  return Success();
}

CommitOutcome InMemoryTableStore::Apply(const Transaction& transaction) {
  for (const auto& condition : transaction.conditions()) {
    if (VersionOf(condition.key) != condition.version)
      return CommitOutcome::kConflict;
  }
  for (const auto& write : transaction.writes()) {
    if (!write.value) {
      rows_.erase(write.key);
      continue;
    }
    Cell& cell = rows_[write.key];
    cell.value = *write.value;
    cell.version += RowVersion(1);
  }
  return CommitOutcome::kCommitted;
}

RowVersion InMemoryTableStore::VersionOf(const std::string& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? RowVersion(0) : found->second.version;
}

}  // namespace bamboomount
