#ifndef STATE_INTERNAL_APPENDER_H_
#define STATE_INTERNAL_APPENDER_H_

#include "provider/provider.h"
#include "state/change.h"
#include "state/internal/deadline.h"
#include "state/internal/log_rows.h"

namespace bamboomount::internal {

enum class AppendResult {
  kAppended,
  // Another change has taken the sequence; nothing of this one was written.
  kSequenceTaken,
};

// Commits `change` after `head`. A commit without an answer is repeated as it
// is: both commits are conditional on the same head, so at most one takes
// effect, and the nonce of the row at that sequence tells whose it was. Fails
// with verdict kMayHaveRun if the deadline passes before that is known.
Result<AppendResult> CommitChange(TableStore& table,
                                  const Head& head,
                                  const Change& change,
                                  const Deadline& deadline);

}  // namespace bamboomount::internal

#endif  // STATE_INTERNAL_APPENDER_H_
