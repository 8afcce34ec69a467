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
    "A configuration was rejected because it was edited from a version that "
    "is no longer in force. Edit the current version and apply again."};
inline constexpr LogEvent kAppendOutcomeUnknown{
    2002, Severity::kWarning, "append_outcome_unknown",
    "The store did not respond to a commit; the log is read to determine "
    "whether the change was appended."};
inline constexpr LogEvent kSnapshotNotWritten{
    2003, Severity::kWarning, "snapshot_not_written",
    "Writing a snapshot to the object store failed. Starting instances read "
    "more changes until the next snapshot is written."};
inline constexpr LogEvent kSnapshotNotRead{
    2004, Severity::kWarning, "snapshot_not_read",
    "The snapshot could not be read from the object store; all changes are "
    "read instead."};
inline constexpr LogEvent kStateAdvanced{
    2010, Severity::kInfo, "state_advanced",
    "This instance applied a higher position of the change log."};
inline constexpr LogEvent kChangeNotApplicable{
    2011, Severity::kError, "change_not_applicable",
    "This instance cannot apply a change from the log and stays behind it; "
    "keyed requests are refused after 4 s. Update the software of this "
    "instance."};
inline constexpr LogEvent kStorePollFailed{
    2012, Severity::kWarning, "store_poll_failed",
    "The store stopped responding to polls of the change log."};
inline constexpr LogEvent kStorePollRecovered{
    2013, Severity::kInfo, "store_poll_recovered",
    "The store responds to polls of the change log again."};
inline constexpr LogEvent kLogShorterThanState{
    2014, Severity::kError, "log_shorter_than_state",
    "The change log in the store ends before the state in force, for example "
    "after a restore from a backup. The state is kept; do not append changes "
    "until the log is repaired."};
inline constexpr LogEvent kFreshnessChanged{
    2020, Severity::kWarning, "freshness_changed",
    "The freshness of the control state changed to confirmed, majority or "
    "stale. Keyed requests are refused while it is stale."};

// All events of this library, for the event catalogue.
inline constexpr std::array kStateEvents{
    kChangeAppended,      kStaleBaseRefused, kAppendOutcomeUnknown,
    kSnapshotNotWritten,  kSnapshotNotRead,  kStateAdvanced,
    kChangeNotApplicable, kStorePollFailed,  kStorePollRecovered,
    kLogShorterThanState, kFreshnessChanged};

}  // namespace bamboomount

#endif  // STATE_EVENTS_H_
