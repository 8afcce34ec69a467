#ifndef STATE_INTERNAL_APPENDER_H_
#define STATE_INTERNAL_APPENDER_H_

#include "provider/provider.h"
#include "state/change.h"
#include "state/internal/deadline.h"
#include "state/internal/log_rows.h"

namespace bamboomount::internal {

enum class AppendResult {
  kAppended,
  // Another change took the sequence; nothing of this change was written.
  kSequenceTaken,
};

// Appends `change` after `head`. A commit without a response is retried
// unchanged: all attempts are conditional on the same head, so at most one
// takes effect, and the nonce of the row at that sequence identifies the
// writer. Fails with verdict kMayHaveRun if the deadline passes before the
// outcome is known.
Result<AppendResult> CommitChange(TableStore& table,
                                  const Head& head,
                                  const Change& change,
                                  const Deadline& deadline);

}  // namespace bamboomount::internal

#endif  // STATE_INTERNAL_APPENDER_H_
