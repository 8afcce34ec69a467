#include "state/change_log.h"

#include <fmt/chrono.h>

#include <chrono>
#include <utility>

#include "state/events.h"
#include "state/internal/appender.h"
#include "state/internal/change_check.h"
#include "state/internal/deadline.h"
#include "state/internal/log_rows.h"
#include "telemetry/telemetry.h"

namespace bamboomount {
namespace {

using internal::Deadline;
using internal::Head;

// Changes between two snapshots. A start reads at most this many rows, about
// 0.2 s at 3 ms a read; 1,800 changes a day give 29 snapshots.
constexpr std::uint64_t kSnapshotInterval = 64;

std::int64_t SystemSeconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string VersionText(ConfigVersion version) {
  return std::to_string(version.value());
}

std::string UtcText(std::int64_t unix_seconds) {
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(static_cast<std::time_t>(unix_seconds)));
}

// Names who applied the version after the stale base.
Error StaleBaseError(TableStore& table,
                     const ConfigApplied& body,
                     const ControlState& state,
                     const Deadline& deadline) {
  Error error{ErrorCode::kStaleBase, RunVerdict::kNotRun, {}, {}};
  if (body.base > state.config_version) {
    error.message = "there is no version " + VersionText(body.base) +
                    "; version " + VersionText(state.config_version) +
                    " is in force";
    return error;
  }
  ConfigVersionEntry first{body.base + ConfigVersion(1), body.base,
                           state.sequence, state.config_author,
                           state.config_unix_seconds};
  auto entry = internal::ReadConfigVersionEntry(table, first.version,
                                                deadline.Remaining());
  if (entry)
    first = std::move(entry).value();
  error.message =
      first.author + " was first and applied version " +
      VersionText(first.version) + " at " + UtcText(first.unix_seconds) +
      "; your text was edited from version " + VersionText(body.base) +
      ", in force is version " + VersionText(state.config_version) + " by " +
      state.config_author;
  return error;
}

std::shared_ptr<const ControlState> ReadSnapshot(ObjectStore& objects,
                                                 const Deadline& deadline) {
  const auto content =
      objects.Get(internal::kSnapshotObject, deadline.Remaining());
  if (!content) {
    Log(kSnapshotNotRead, {{"reason", content.error().message}});
    return nullptr;
  }
  if (!content.value())
    return nullptr;
  auto state = DecodeControlState(*content.value());
  if (!state) {
    Log(kSnapshotNotRead, {{"reason", state.error().message}});
    return nullptr;
  }
  return std::make_shared<const ControlState>(std::move(state).value());
}

void WriteSnapshot(ObjectStore& objects,
                   const ControlState& state,
                   const Deadline& deadline) {
  const auto written =
      objects.Put(internal::kSnapshotObject, EncodeControlState(state),
                  deadline.Remaining());
  if (!written)
    Log(kSnapshotNotWritten, {{"reason", written.error().message}});
}

}  // namespace

ChangeLog::ChangeLog(TableStore& table, ObjectStore& objects)
    : ChangeLog(table, objects, SystemSeconds) {}

ChangeLog::ChangeLog(TableStore& table, ObjectStore& objects, WallClock clock)
    : table_(table), objects_(objects), clock_(std::move(clock)) {}

Result<AppendOutcome> ChangeLog::Append(const std::string& author,
                                        ChangeBody body,
                                        Millis timeout) {
  const Deadline deadline(timeout);
  Change change;
  change.author = author;
  change.nonce = RandomHex(16);
  while (true) {
    BOOST_OUTCOME_TRY(caught_up,
                      CatchUp(LatestKnownState(), deadline.Remaining()));
    if (caught_up.interruption)
      return *caught_up.interruption;
    const ControlState& state = *caught_up.state;
    // A snapshot can be newer than the head that was read before it.
    if (state.sequence != caught_up.head)
      continue;
    const Head head{caught_up.head, caught_up.head_row_version};

    const auto disposition = internal::CheckChange(state, body);
    if (!disposition && disposition.error().code == ErrorCode::kStaleBase) {
      Log(kStaleBaseRefused, {{"author", author}});
      return StaleBaseError(table_, std::get<ConfigApplied>(body), state,
                            deadline);
    }
    if (!disposition)
      return disposition.error();
    if (disposition.value() == internal::ChangeDisposition::kAlreadyInEffect)
      return AppendOutcome{std::nullopt, caught_up.state};

    change.sequence = head.sequence + ChangeSequence(1);
    change.unix_seconds = clock_();
    change.body = body;
    BOOST_OUTCOME_TRY(next, ApplyChange(state, change));
    BOOST_OUTCOME_TRY(result,
                      internal::CommitChange(table_, head, change, deadline));
    if (result == internal::AppendResult::kSequenceTaken)
      continue;

    const auto after = std::make_shared<const ControlState>(std::move(next));
    UpdateLatestKnownState(after);
    Log(kChangeAppended, {{"sequence", std::to_string(after->sequence.value())},
                          {"author", author}});
    if (after->sequence.value() % kSnapshotInterval == 0)
      WriteSnapshot(objects_, *after, deadline);
    return AppendOutcome{std::move(change), after};
  }
}

Result<CatchUpResult> ChangeLog::CatchUp(
    std::shared_ptr<const ControlState> known,
    Millis timeout) {
  const Deadline deadline(timeout);
  BOOST_OUTCOME_TRY(head, internal::ReadHead(table_, deadline.Remaining()));
  if (head.sequence < known->sequence)
    return Error{ErrorCode::kConflict,
                 RunVerdict::kNotRun,
                 "the log ends at " + std::to_string(head.sequence.value()) +
                     ", before the known state " +
                     std::to_string(known->sequence.value()),
                 {}};
  CatchUpResult caught_up{
      std::move(known), {}, head.sequence, head.row_version, {}};
  const auto gap = head.sequence - caught_up.state->sequence;
  if (gap.value() > kSnapshotInterval) {
    const auto snapshot = ReadSnapshot(objects_, deadline);
    // A snapshot past the head was written after the head was read.
    if (snapshot != nullptr && snapshot->sequence > caught_up.state->sequence)
      caught_up.state = snapshot;
  }
  while (caught_up.state->sequence < head.sequence) {
    const auto sequence = caught_up.state->sequence + ChangeSequence(1);
    auto change = internal::ReadChange(table_, sequence, deadline.Remaining());
    if (!change) {
      caught_up.interruption = change.error();
      break;
    }
    auto next = ApplyChange(*caught_up.state, change.value());
    if (!next) {
      caught_up.interruption = next.error();
      break;
    }
    caught_up.state =
        std::make_shared<const ControlState>(std::move(next).value());
    caught_up.changes.push_back(std::move(change).value());
    if (caught_up.changes.size() > kSnapshotInterval)
      caught_up.changes.erase(caught_up.changes.begin());
  }
  UpdateLatestKnownState(caught_up.state);
  return caught_up;
}

Result<Change> ChangeLog::Read(ChangeSequence sequence, Millis timeout) {
  return internal::ReadChange(table_, sequence, timeout);
}

Result<std::vector<ConfigVersionEntry>> ChangeLog::History(ConfigVersion newest,
                                                           std::uint64_t count,
                                                           Millis timeout) {
  const Deadline deadline(timeout);
  const std::uint64_t last = newest.value();
  std::vector<ConfigVersionEntry> entries;
  for (std::uint64_t version = last > count ? last - count + 1 : 1;
       version <= last; ++version) {
    BOOST_OUTCOME_TRY(
        entry, internal::ReadConfigVersionEntry(table_, ConfigVersion(version),
                                                deadline.Remaining()));
    entries.push_back(std::move(entry));
  }
  return entries;
}

Result<Change> ChangeLog::ConfigChange(ConfigVersion version, Millis timeout) {
  const Deadline deadline(timeout);
  BOOST_OUTCOME_TRY(entry, internal::ReadConfigVersionEntry(
                               table_, version, deadline.Remaining()));
  BOOST_OUTCOME_TRY(change, Read(entry.sequence, deadline.Remaining()));
  const auto* config = std::get_if<ConfigApplied>(&change.body);
  if (config == nullptr || config->version != version)
    return Error{ErrorCode::kInternal,
                 RunVerdict::kNotRun,
                 "the history names the wrong change for version " +
                     VersionText(version),
                 {}};
  return std::move(change);
}

std::shared_ptr<const ControlState> ChangeLog::LatestKnownState() const {
  const std::lock_guard lock(mutex_);
  return latest_known_state_;
}

void ChangeLog::UpdateLatestKnownState(
    const std::shared_ptr<const ControlState>& state) {
  const std::lock_guard lock(mutex_);
  if (state->sequence > latest_known_state_->sequence)
    latest_known_state_ = state;
}

}  // namespace bamboomount
