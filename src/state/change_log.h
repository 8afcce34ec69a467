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

// One line of the history of configurations.
struct ConfigVersionEntry {
  ConfigVersion version;
  ConfigVersion base;
  ChangeSequence sequence;
  std::string author;
  std::int64_t unix_seconds = 0;
};

struct AppendOutcome {
  // Empty if the state already was as the change asks.
  std::optional<Change> change;
  // The state that includes the change.
  std::shared_ptr<const ControlState> state;
};

struct CatchUpResult {
  // Never lower than the state that was passed in.
  std::shared_ptr<const ControlState> state;
  // The last changes that lead to `state`, 64 at most.
  std::vector<Change> changes;
  // Position of the log when the call began, and the version of its row.
  ChangeSequence head;
  RowVersion head_row_version;
  // Why `state` is behind `head`, if it is.
  std::optional<Error> interruption;
};

// The log of operators' changes in the table service. Rows:
//   change/head           sequence of the last change
//   change/<sequence>     the change
//   config/<version>      entry of the history of configurations
// A snapshot of the folded state is kept in the object store. Calls block for
// at most `timeout` and a little. Errors have code kStoreUnavailable unless
// stated otherwise. Thread-safe.
class ChangeLog {
 public:
  // Seconds since the Unix epoch.
  using WallClock = std::function<std::int64_t()>;

  ChangeLog(TableStore& table, ObjectStore& objects);
  ChangeLog(TableStore& table, ObjectStore& objects, WallClock clock);

  // Appends `body`. Errors: kStaleBase if the base of a configuration is not
  // the version in force (the message names who was first and the versions),
  // kInvalidConfig, kNotFound for an unknown customer or key, kConflict for a
  // key id or digest that was granted before. Verdict kMayHaveRun: the outcome
  // could not be learnt in time; a repeat is safe.
  Result<AppendOutcome> Append(const std::string& author,
                               ChangeBody body,
                               Millis timeout);

  // Folds all changes of the log that `known` does not include. Fails if the
  // head cannot be read, and with kConflict if the log is shorter than `known`.
  Result<CatchUpResult> CatchUp(std::shared_ptr<const ControlState> known,
                                Millis timeout);

  // Fails with kNotFound for a sequence that the log does not have.
  Result<Change> Read(ChangeSequence sequence, Millis timeout);

  // The last `count` versions up to `newest`, oldest first. Row by row, since a
  // scan would read the versions of all years.
  Result<std::vector<ConfigVersionEntry>> History(ConfigVersion newest,
                                                  std::uint64_t count,
                                                  Millis timeout);
  // The change that applied one version. Fails with kNotFound.
  Result<Change> ConfigChange(ConfigVersion version, Millis timeout);

 private:
  std::shared_ptr<const ControlState> LatestKnownState() const;
  void UpdateLatestKnownState(const std::shared_ptr<const ControlState>& state);

  TableStore& table_;
  ObjectStore& objects_;
  const WallClock clock_;
  mutable std::mutex mutex_;
  // Highest state that this process has folded; saves reads on append.
  std::shared_ptr<const ControlState> latest_known_state_ =
      std::make_shared<const ControlState>();
};

}  // namespace bamboomount

#endif  // STATE_CHANGE_LOG_H_
