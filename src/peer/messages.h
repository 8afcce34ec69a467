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

// Start number of a process; a restarted instance has a higher one.
using Incarnation = StrongCount<struct IncarnationTag, std::uint64_t>;
// Raised by one with each interval of the sender.
using HeartbeatNumber = StrongCount<struct HeartbeatNumberTag, std::uint64_t>;
// Identifies one placement of a request; a repeat at another owner or after a
// failure has a higher one.
using SlotAttempt = StrongCount<struct SlotAttemptTag, std::uint64_t>;

enum class PeerState { kLive, kLeaving, kSuspected, kRemoved };

// What the sender knows of a router, at first or at second hand.
struct RosterEntry {
  InstanceId instance;
  std::string peer_address;
  Incarnation incarnation;
  HeartbeatNumber heartbeat;
  PeerState state = PeerState::kLive;
  ChangeSequence sequence;
  // Digest of the set of emergency withdrawals that the router holds.
  std::uint64_t withdrawals_digest = 0;
  // Upper bound of the time since the router was heard from; empty if unknown.
  std::optional<Millis> liveness_age;
};

struct HeartbeatMessage {
  // The sender itself. `liveness_age` stays empty.
  RosterEntry self;
  // The highest heartbeat that the sender got from the receiver itself, 0 for
  // none. It bounds the age of this message by the receiver's own clock, also
  // if the message waited in a queue while the receiver was stopped.
  HeartbeatNumber echo;
  Incarnation echo_incarnation;
  // Whether the receiver should answer with a heartbeat at once.
  bool reply_wanted = false;
  // Time since the store confirmed the sender's change sequence; empty if it
  // never did.
  std::optional<Millis> confirmation_age;
  std::vector<RosterEntry> sample;
};

struct EncodedChange {
  ChangeSequence sequence;
  // Text as EncodeChange() writes it.
  std::string text;
};

// Changes in ascending order.
struct ChangePushMessage {
  std::vector<EncodedChange> changes;
};

// Asks for the changes after `after`.
struct ChangeFetchMessage {
  ChangeSequence after;
};

// The whole set that the sender holds.
struct EmergencyWithdrawalMessage {
  std::set<KeyId> keys;
};

// Asks for the receiver's set of emergency withdrawals.
struct EmergencyFetchMessage {};

struct SlotRequestMessage {
  CellId cell;
  SlotAttempt attempt;
  SlotRequest request;
};

// The owner has queued the request.
struct SlotAcceptedMessage {
  CellId cell;
  SlotAttempt attempt;
  RequestId request;
};

struct SlotGrantMessage {
  CellId cell;
  SlotAttempt attempt;
  RequestId request;
  BackendId backend;
};

struct SlotRefusalMessage {
  CellId cell;
  SlotAttempt attempt;
  RequestId request;
  // The receiver of the request does not own the cell; the other fields below
  // have no meaning then.
  bool not_owner = false;
  ErrorCode reason = ErrorCode::kOverloaded;
  Millis retry_after{0};
};

struct SlotReleaseMessage {
  CellId cell;
  SlotAttempt attempt;
  RequestId request;
  SlotOutcome outcome;
};

struct SlotCancelMessage {
  CellId cell;
  SlotAttempt attempt;
  RequestId request;
};

struct SlotProgress {
  CellId cell;
  SlotAttempt attempt;
  RequestId request;
  // All tokens of the request so far.
  Tokens generated;
};

// Progress of running requests; also confirms that their slots are in use.
struct SlotProgressMessage {
  std::vector<SlotProgress> slots;
};

struct RunningSlot {
  SlotAttempt attempt;
  SlotRequest request;
  BackendId backend;
  Tokens generated;
};

struct WaitingSlot {
  SlotAttempt attempt;
  SlotRequest request;
};

// All requests that the sender has in a cell, for a new owner.
struct CellReportMessage {
  CellId cell;
  // Incarnation of the owner that the report is meant for.
  Incarnation owner;
  std::vector<RunningSlot> running;
  std::vector<WaitingSlot> waiting;
};

// Sent by a new owner. Routers answer also if their roster does not show the
// sender as owner yet: removals are seen up to an interval apart, which is
// longer than the new owner waits.
struct CellReportRequestMessage {
  CellId cell;
  // Incarnation of the sender.
  Incarnation owner;
};

struct CellReportAcceptedMessage {
  CellId cell;
  Incarnation owner;
};

struct LeavingMessage {
  Incarnation incarnation;
};

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
