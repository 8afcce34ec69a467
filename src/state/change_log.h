#ifndef STATE_CHANGE_LOG_H_
#define STATE_CHANGE_LOG_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "provider/provider.h"
#include "state/change.h"
#include "state/control_state.h"

namespace bamboomount {

// One entry of the configuration history.
struct ConfigVersionEntry {
  ConfigVersion version;
  ConfigVersion base;
  ChangeSequence sequence;
  std::string author;
  std::int64_t unix_seconds = 0;
};

struct AppendOutcome {
  // The appended change; empty if the state already had its effect.
  std::optional<Change> change;
  // State that includes the change.
  std::shared_ptr<const ControlState> state;
};

struct CatchUpResult {
  // Sequence is never lower than that of the state passed in.
  std::shared_ptr<const ControlState> state;
  // The most recent changes leading to `state`, at most 64.
  std::vector<Change> changes;
  // Last sequence of the log when the call began, and version of the head row.
  ChangeSequence head;
  RowVersion head_row_version;
  // Error that left `state` behind `head`; empty if it reached `head`.
  std::optional<Error> interruption;
};

// Append-only log of operators' changes, stored in the table service. Rows:
//   change/head           sequence of the last change
//   change/<sequence>     the change
//   config/<version>      entry of the configuration history
// A snapshot of the state is kept in the object store. Calls block; they may
// exceed `timeout` slightly. Errors have code kStoreUnavailable unless stated
// otherwise. Thread-safe.
class ChangeLog {
 public:
  // Seconds since the Unix epoch.
  using WallClock = std::function<std::int64_t()>;

  ChangeLog(TableStore& table, ObjectStore& objects);
  ChangeLog(TableStore& table, ObjectStore& objects, WallClock clock);

  // Appends `body` at the end of the log, retrying if another writer takes the
  // sequence. Errors: kStaleBase if the base of a configuration is not the
  // version in force (the message names the conflicting author and versions),
  // kInvalidConfig, kNotFound for an unknown customer or key, kConflict for a
  // key id or digest that was granted before. Verdict kMayHaveRun means that
  // the outcome was not known by the deadline; retrying is safe.
  Result<AppendOutcome> Append(const std::string& author,
                               ChangeBody body,
                               Millis timeout);

  // Applies all changes of the log that `known` does not include. Fails if the
  // head cannot be read, and with kConflict if the log ends before `known`.
  // Later read or apply errors are returned in `interruption`.
  Result<CatchUpResult> CatchUp(std::shared_ptr<const ControlState> known,
                                Millis timeout);

  // Reads one change. Fails with kNotFound if the log has no such sequence.
  Result<Change> Read(ChangeSequence sequence, Millis timeout);

  // Returns the last `count` versions up to `newest`, oldest first. Reads row
  // by row, since a scan would read every version ever applied.
  Result<std::vector<ConfigVersionEntry>> History(ConfigVersion newest,
                                                  std::uint64_t count,
                                                  Millis timeout);
  // Returns the change that applied `version`. Fails with kNotFound if there is
  // none.
  Result<Change> ConfigChange(ConfigVersion version, Millis timeout);

 private:
  std::shared_ptr<const ControlState> LatestKnownState() const;
  void UpdateLatestKnownState(const std::shared_ptr<const ControlState>& state);

  TableStore& table_;
  ObjectStore& objects_;
  const WallClock clock_;
  mutable std::mutex mutex_;
  // Newest state that this process has computed; saves reads on append.
  std::shared_ptr<const ControlState> latest_known_state_ =
      std::make_shared<const ControlState>();
};

}  // namespace bamboomount

#endif  // STATE_CHANGE_LOG_H_
