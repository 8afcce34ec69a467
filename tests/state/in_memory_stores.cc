#include "state/in_memory_stores.h"

#include <algorithm>
#include <utility>

namespace bamboomount {
namespace {

Error Unavailable(RunVerdict verdict) {
  return {ErrorCode::kStoreUnavailable, verdict, "no response", {}};
}

}  // namespace

Result<StoreResponse<CommitOutcome>> ScriptedTableStore::CommitWithEra(
    const Transaction& transaction,
    Millis /*timeout*/) {
  std::function<void()> run;
  {
    const std::lock_guard lock(mutex_);
    run = std::exchange(before_commit, nullptr);
  }
  if (run)
    run();
  const std::lock_guard lock(mutex_);
  CommitFault fault = CommitFault::kNone;
  if (!faults.empty()) {
    fault = faults.front();
    faults.erase(faults.begin());
  }
  if (unavailable || fault == CommitFault::kNotSent)
    return Unavailable(RunVerdict::kNotRun);
  if (fault == CommitFault::kLostRequest)
    return Unavailable(RunVerdict::kMayHaveRun);
  const bool holds = ConditionsHold(transaction);
  for (const auto& write : transaction.writes()) {
    if (!holds)
      continue;
    if (!write.value) {
      rows_.erase(write.key);
      continue;
    }
    Row& row = rows_[write.key];
    row = {write.key, *write.value, row.version + RowVersion(1)};
  }
  if (fault == CommitFault::kLostResponse)
    return Unavailable(RunVerdict::kMayHaveRun);
  return StoreResponse<CommitOutcome>{
      holds ? CommitOutcome::kCommitted : CommitOutcome::kConflict, StoreEra()};
}

Result<StoreResponse<std::optional<Row>>> ScriptedTableStore::ReadWithEra(
    const std::string& key,
    Millis /*timeout*/) {
  ++reads;
  if (unavailable)
    return Unavailable(RunVerdict::kNotRun);
  const std::lock_guard lock(mutex_);
  const auto found = rows_.find(key);
  StoreResponse<std::optional<Row>> response;
  if (found != rows_.end())
    response.value = found->second;
  return response;
}

Result<StoreResponse<std::vector<Row>>> ScriptedTableStore::ScanWithEra(
    const std::string& prefix,
    Millis /*timeout*/) {
  if (unavailable)
    return Unavailable(RunVerdict::kNotRun);
  const std::lock_guard lock(mutex_);
  std::vector<Row> found;
  for (const auto& [key, row] : rows_) {
    if (key.starts_with(prefix))
      found.push_back(row);
  }
  return StoreResponse<std::vector<Row>>{std::move(found), StoreEra()};
}

bool ScriptedTableStore::ConditionsHold(const Transaction& transaction) const {
  const auto& conditions = transaction.conditions();
  return std::all_of(
      conditions.begin(), conditions.end(), [&](const auto& condition) {
        const auto found = rows_.find(condition.key);
        const RowVersion version =
            found == rows_.end() ? RowVersion() : found->second.version;
        return version == condition.version;
      });
}

Result<void> InMemoryObjectStore::Put(const std::string& name,
                                      const std::string& content,
                                      Millis /*timeout*/) {
  const std::lock_guard lock(mutex);
  objects[name] = content;
  return Success();
}

Result<std::optional<std::string>> InMemoryObjectStore::Get(
    const std::string& name,
    Millis /*timeout*/) {
  const std::lock_guard lock(mutex);
  const auto found = objects.find(name);
  if (found == objects.end())
    return std::optional<std::string>();
  return std::optional<std::string>(found->second);
}

}  // namespace bamboomount
