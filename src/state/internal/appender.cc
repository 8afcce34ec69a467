#include "state/internal/appender.h"

#include <thread>

#include "state/events.h"
#include "telemetry/telemetry.h"

namespace bamboomount::internal {
namespace {

// Pause before a commit is repeated; short against an operator's time limit of
// seconds, long against a round trip to the store.
constexpr Millis kCommitRetryDelay{20};

// Whose change stands at the sequence; an error if the store does not say.
Result<AppendResult> ReadCommitOutcome(TableStore& table,
                                       const Change& change,
                                       const Deadline& deadline) {
  BOOST_OUTCOME_TRY(stored,
                    ReadChange(table, change.sequence, deadline.Remaining()));
  return stored.nonce == change.nonce ? AppendResult::kAppended
                                      : AppendResult::kSequenceTaken;
}

}  // namespace

Result<AppendResult> CommitChange(TableStore& table,
                                  const Head& head,
                                  const Change& change,
                                  const Deadline& deadline) {
  const Transaction transaction = AppendTransaction(head, change);
  bool may_have_run = false;
  while (true) {
    const auto outcome = table.Commit(transaction, deadline.Remaining());
    if (outcome && outcome.value() == CommitOutcome::kCommitted)
      return AppendResult::kAppended;
    if (!outcome && outcome.error().verdict == RunVerdict::kMayHaveRun) {
      may_have_run = true;
      Log(kAppendOutcomeUnknown,
          {{"sequence", std::to_string(change.sequence.value())}});
    }
    if (!outcome && !may_have_run)
      return outcome.error();
    // A row at the sequence settles the outcome. While there is none, the first
    // commit may still be under way.
    const auto found = ReadCommitOutcome(table, change, deadline);
    if (found)
      return found.value();
    if (deadline.HasPassed())
      return Error{ErrorCode::kStoreUnavailable,
                   may_have_run ? RunVerdict::kMayHaveRun : RunVerdict::kNotRun,
                   "the outcome of the append is not known",
                   {}};
    std::this_thread::sleep_for(kCommitRetryDelay);
  }
}

}  // namespace bamboomount::internal
