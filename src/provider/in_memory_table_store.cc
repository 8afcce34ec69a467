#include "provider/in_memory_table_store.h"

#include <algorithm>
#include <thread>

namespace bamboomount {
namespace {

Error Unavailable(RunVerdict verdict, std::string message) {
  return Error{ErrorCode::kStoreUnavailable, verdict, std::move(message),
               std::nullopt};
}

Error LostResponse() {
  return Unavailable(RunVerdict::kMayHaveRun, "the store did not respond");
}

}  // namespace

Result<StoreResponse<CommitOutcome>> InMemoryTableStore::CommitWithEra(
    const Transaction& transaction,
    Millis timeout) {
  bool response_lost = false;
  BOOST_OUTCOME_TRY(BeginCall(timeout, response_lost));
  const std::lock_guard lock(mutex_);
  if (faults_.lost_commits > 0) {
    --faults_.lost_commits;
    return LostResponse();
  }
  if (faults_.delayed_commits > 0) {
    --faults_.delayed_commits;
    delayed_commits_.push_back(transaction);
    return LostResponse();
  }
  const CommitOutcome outcome = Apply(transaction);
  if (faults_.lost_commit_responses > 0) {
    --faults_.lost_commit_responses;
    response_lost = true;
  }
  if (response_lost)
    return LostResponse();
  return StoreResponse<CommitOutcome>{outcome, era_};
}

Result<StoreResponse<std::optional<Row>>> InMemoryTableStore::ReadWithEra(
    const std::string& key,
    Millis timeout) {
  bool response_lost = false;
  BOOST_OUTCOME_TRY(BeginCall(timeout, response_lost));
  if (response_lost)
    return LostResponse();
  const std::lock_guard lock(mutex_);
  const auto found = rows_.find(key);
  StoreResponse<std::optional<Row>> response{std::nullopt, era_};
  if (found != rows_.end())
    response.value = Row{key, found->second.value, found->second.version};
  return response;
}

Result<StoreResponse<std::vector<Row>>> InMemoryTableStore::ScanWithEra(
    const std::string& prefix,
    Millis timeout) {
  bool response_lost = false;
  BOOST_OUTCOME_TRY(BeginCall(timeout, response_lost));
  if (response_lost)
    return LostResponse();
  const std::lock_guard lock(mutex_);
  std::vector<Row> rows;
  for (auto it = rows_.lower_bound(prefix);
       it != rows_.end() && it->first.starts_with(prefix); ++it) {
    rows.push_back({it->first, it->second.value, it->second.version});
  }
  return StoreResponse<std::vector<Row>>{std::move(rows), era_};
}

void InMemoryTableStore::SetFaults(const Faults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

void InMemoryTableStore::SaveCopy() {
  const std::lock_guard lock(mutex_);
  saved_copy_ = rows_;
}

void InMemoryTableStore::RestoreCopy() {
  const std::lock_guard lock(mutex_);
  rows_ = saved_copy_;
  era_ += StoreEra(1);
}

void InMemoryTableStore::DeliverDelayedCommits() {
  const std::lock_guard lock(mutex_);
  for (const Transaction& transaction : std::exchange(delayed_commits_, {}))
    Apply(transaction);
}

std::size_t InMemoryTableStore::call_count() const {
  const std::lock_guard lock(mutex_);
  return call_count_;
}

Result<void> InMemoryTableStore::BeginCall(Millis timeout,
                                           bool& response_lost) {
  Millis delay{0};
  {
    const std::lock_guard lock(mutex_);
    ++call_count_;
    if (faults_.outage)
      return Unavailable(RunVerdict::kNotRun, "simulated store outage");
    delay = faults_.delay;
  }
  response_lost = delay >= timeout;
  std::this_thread::sleep_for(std::min(delay, timeout));
  return Success();
}

CommitOutcome InMemoryTableStore::Apply(const Transaction& transaction) {
  for (const auto& condition : transaction.conditions()) {
    if (CurrentVersion(condition.key) != condition.version)
      return CommitOutcome::kConflict;
  }
  for (const auto& write : transaction.writes()) {
    if (!write.value) {
      rows_.erase(write.key);
      continue;
    }
    StoredValue& stored = rows_[write.key];
    stored.value = *write.value;
    stored.version += RowVersion(1);
  }
  return CommitOutcome::kCommitted;
}

RowVersion InMemoryTableStore::CurrentVersion(const std::string& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? RowVersion(0) : found->second.version;
}

}  // namespace bamboomount
