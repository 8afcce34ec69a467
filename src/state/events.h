#ifndef STATE_EVENTS_H_
#define STATE_EVENTS_H_

#include <array>

#include "telemetry/log_event.h"

namespace bamboomount {

// Log events of the libraries config and state: 2000 to 2999.
inline constexpr LogEvent kChangeAppended{
    2000, Severity::kInfo, "change_appended",
    "This instance appended a change to the log."};
inline constexpr LogEvent kStaleBaseRefused{
    2001, Severity::kWarning, "stale_base_refused",
    "An operator's configuration was edited from a version that is no longer "
    "in force. Edit the current version and apply again."};
inline constexpr LogEvent kAppendOutcomeUnknown{
    2002, Severity::kWarning, "append_outcome_unknown",
    "The store did not answer a commit; the log is read back."};
inline constexpr LogEvent kSnapshotNotWritten{
    2003, Severity::kWarning, "snapshot_not_written",
    "The object store did not take a snapshot. Starting instances read more "
    "changes until the next one."};
inline constexpr LogEvent kSnapshotNotRead{
    2004, Severity::kWarning, "snapshot_not_read",
    "The snapshot could not be read; all changes are read instead."};
inline constexpr LogEvent kStateAdvanced{
    2010, Severity::kInfo, "state_advanced",
    "A higher position of the change log is in force on this instance."};
inline constexpr LogEvent kChangeNotApplicable{
    2011, Severity::kError, "change_not_applicable",
    "This instance cannot read a change that is in the log and stays behind "
    "it; keyed requests are refused after 4 s. Update its program."};
inline constexpr LogEvent kStorePollFailed{
    2012, Severity::kWarning, "store_poll_failed",
    "The store stopped answering polls of the change log."};
inline constexpr LogEvent kStorePollRecovered{
    2013, Severity::kInfo, "store_poll_recovered",
    "The store answers polls of the change log again."};
inline constexpr LogEvent kLogShorterThanState{
    2014, Severity::kError, "log_shorter_than_state",
    "The store's log ends before the state in force, for example after a "
    "restore from a backup. The state is kept; do not append before the log "
    "is repaired."};
inline constexpr LogEvent kFreshnessChanged{
    2020, Severity::kWarning, "freshness_changed",
    "The basis on which keyed requests are served changed: confirmed, "
    "majority or stale. Keyed requests are refused while stale."};

// All events of this library, for the catalogue.
inline constexpr std::array kStateEvents{
    kChangeAppended,      kStaleBaseRefused, kAppendOutcomeUnknown,
    kSnapshotNotWritten,  kSnapshotNotRead,  kStateAdvanced,
    kChangeNotApplicable, kStorePollFailed,  kStorePollRecovered,
    kLogShorterThanState, kFreshnessChanged};

}  // namespace bamboomount

#endif  // STATE_EVENTS_H_
