#ifndef PEER_MESSAGES_H_
#define PEER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "policy/policy.h"

namespace bamboomount {

// Identifies one run of an instance's process; a restarted instance has a
// higher one.
using Incarnation = StrongCount<struct IncarnationTag, std::uint64_t>;
// Counter that a router increments once per heartbeat interval.
using HeartbeatNumber = StrongCount<struct HeartbeatNumberTag, std::uint64_t>;
// Identifies one attempt to place a request. An attempt with another owner or
// after a failure has a higher number.
using SlotAttempt = StrongCount<struct SlotAttemptTag, std::uint64_t>;

enum class PeerState { kLive, kLeaving, kSuspected, kRemoved };

// What the sender knows of a router, directly or by gossip.
struct RosterEntry {
  InstanceId instance;
  std::string peer_address;
  Incarnation incarnation;
  HeartbeatNumber heartbeat;
  PeerState state = PeerState::kLive;
  ChangeSequence sequence;
  // Digest of the set of emergency withdrawals that the router holds.
  std::uint64_t withdrawals_digest = 0;
  // Upper bound of the time since the router was known to be alive; empty if
  // unknown.
  std::optional<Millis> liveness_age;
};

struct HeartbeatMessage {
  // Entry of the sender itself; its `liveness_age` is empty.
  RosterEntry self;
  // The highest heartbeat number that the sender received directly from the
  // receiver; 0 if none. It lets the receiver bound the age of this message by
  // its own clock, even if the message waited in a queue while the receiver was
  // stopped.
  HeartbeatNumber echo;
  Incarnation echo_incarnation;
  // Whether the receiver should respond with a heartbeat immediately.
  bool reply_wanted = false;
  // Time since the store confirmed the change sequence of the sender; empty if
  // it never did.
  std::optional<Millis> confirmation_age;
  // Gossip: entries of other routers.
  std::vector<RosterEntry> sample;
};

// A change of the control state in its log encoding.
struct EncodedChange {
  ChangeSequence sequence;
  // Output of EncodeChange().
  std::string text;
};

// Carries changes in ascending order of their sequences.
struct ChangePushMessage {
  std::vector<EncodedChange> changes;
};

// Requests the changes that follow `after`.
struct ChangeFetchMessage {
  ChangeSequence after;
};

// Carries all emergency withdrawals that the sender holds.
struct EmergencyWithdrawalMessage {
  std::set<KeyId> keys;
};

// Requests the receiver's set of emergency withdrawals.
struct EmergencyFetchMessage {};

// Requests a slot from the owner of `cell`.
struct SlotRequestMessage {
  CellId cell;
  SlotAttempt attempt;
  SlotRequest request;
};

// Acknowledges that the owner has queued the request.
struct SlotAcceptedMessage {
  CellId cell;
  SlotAttempt attempt;
  RequestId request;
};

// Grants a slot. Sent again later to confirm that the slot is still in use.
struct SlotGrantMessage {
  CellId cell;
  SlotAttempt attempt;
  RequestId request;
  BackendId backend;
};

// Refuses a request.
struct SlotRefusalMessage {
  CellId cell;
  SlotAttempt attempt;
  RequestId request;
  // Whether the router that received the request does not own the cell; the
  // fields below have no meaning in that case.
  bool not_owner = false;
  ErrorCode reason = ErrorCode::kOverloaded;
  Millis retry_after{0};
};

// Returns a granted slot.
struct SlotReleaseMessage {
  CellId cell;
  SlotAttempt attempt;
  RequestId request;
  SlotOutcome outcome;
};

// Cancels a request, whether it waits or was already granted.
struct SlotCancelMessage {
  CellId cell;
  SlotAttempt attempt;
  RequestId request;
};

struct SlotProgress {
  CellId cell;
  SlotAttempt attempt;
  RequestId request;
  // Total number of tokens generated for the request so far.
  Tokens generated;
};

// Reports the progress of running requests, and thereby confirms that their
// slots are in use.
struct SlotProgressMessage {
  std::vector<SlotProgress> slots;
};

// A request that holds a slot, as part of a CellReportMessage.
struct RunningSlot {
  SlotAttempt attempt;
  SlotRequest request;
  BackendId backend;
  Tokens generated;
};

// A request that waits for a slot, as part of a CellReportMessage.
struct WaitingSlot {
  SlotAttempt attempt;
  SlotRequest request;
};

// Reports to a new owner all requests that the sender has in a cell.
struct CellReportMessage {
  CellId cell;
  // Incarnation of the owner to which the report is addressed.
  Incarnation owner;
  std::vector<RunningSlot> running;
  std::vector<WaitingSlot> waiting;
};

// Requests a report for a new owner. Routers respond even if their roster does
// not show the sender as the owner yet: routers detect a removal up to one
// heartbeat interval apart, which is longer than the new owner waits.
struct CellReportRequestMessage {
  CellId cell;
  // Incarnation of the sender.
  Incarnation owner;
};

// Acknowledges a cell report. `owner` is the incarnation of the sender.
struct CellReportAcceptedMessage {
  CellId cell;
  Incarnation owner;
};

// Announces the graceful shutdown of the sender.
struct LeavingMessage {
  Incarnation incarnation;
};

// The position of a type is its kind on the wire and must not change.
using PeerMessage = std::variant<HeartbeatMessage,
                                 ChangePushMessage,
                                 ChangeFetchMessage,
                                 EmergencyWithdrawalMessage,
                                 EmergencyFetchMessage,
                                 SlotRequestMessage,
                                 SlotAcceptedMessage,
                                 SlotGrantMessage,
                                 SlotRefusalMessage,
                                 SlotReleaseMessage,
                                 SlotCancelMessage,
                                 SlotProgressMessage,
                                 CellReportMessage,
                                 CellReportAcceptedMessage,
                                 CellReportRequestMessage,
                                 LeavingMessage>;

}  // namespace bamboomount

#endif  // PEER_MESSAGES_H_
