#ifndef ADMIN_OPERATOR_MESSAGES_H_
#define ADMIN_OPERATOR_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "provider/provider.h"
#include "state/state.h"

namespace bamboomount {

// kSuspected: its heartbeats are missing. kLeaving: it announced a graceful
// shutdown.
enum class InstanceCondition { kLive, kSuspected, kLeaving };

// Status of one instance. For another instance it is the last status that was
// received from it, and incomplete.
struct InstanceStatus {
  InstanceId instance;
  ZoneId zone;
  // "ip:port" for callers and for operators; empty if not known.
  std::string address;
  std::string admin_address;
  InstanceCondition condition = InstanceCondition::kLive;
  // Position in the change log and configuration version in force there. The
  // version is empty if not known.
  ChangeSequence sequence;
  std::optional<ConfigVersion> config_version;
  Freshness freshness = Freshness::kStale;
  // Time since the state was last confirmed against the store; empty if it
  // never was or is not known.
  std::optional<Millis> confirmation_age;
};

// kStraggler: slower than its peers. kLeaving: it gets no new requests.
enum class BackendCondition { kUp, kStraggler, kDown, kLeaving };

// Status of one backend server. `running` and `waiting` count requests; `slots`
// is the configured number of slots.
struct BackendStatus {
  BackendId backend;
  ZoneId zone;
  PoolId pool;
  BackendKind kind = BackendKind::kFirm;
  BackendCondition condition = BackendCondition::kUp;
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

// Holder of the controller lease and its fencing token.
struct LeaseStatus {
  InstanceId holder;
  FencingToken token;
};

struct FleetStatus {
  // The instance that responds.
  InstanceStatus self;
  // All known instances, including `self`.
  std::vector<InstanceStatus> instances;
  std::vector<BackendStatus> backends;
  // The controller lease; empty if nobody holds it or it could not be read.
  std::optional<LeaseStatus> lease;
  bool store_answers = false;
  // Withdrawals that are in force here but not in the change log yet.
  std::vector<KeyId> emergency_withdrawals;
};

// Result of /healthz: status 200 if `serving`, else 503.
struct HealthStatus {
  bool serving = false;
  // Explanation for a person.
  std::string detail;
};

// A configuration version with its text, author and time of application.
struct ConfigReply {
  ConfigVersion version;
  ChangeSequence sequence;
  std::string author;
  std::int64_t unix_seconds = 0;
  std::string text;
};

// `base` is the version that the text was edited from; the request fails with
// kStaleBase if another version is in force.
struct ApplyConfigRequest {
  std::string author;
  ConfigVersion base;
  std::string text;
};

struct GrantKeyRequest {
  std::string author;
  KeyId key;
  // SHA-256 of the secret, which never leaves the operator's machine.
  KeyDigest digest;
  CustomerId customer;
};

struct WithdrawKeyRequest {
  std::string author;
  KeyId key;
  // Applies the withdrawal on this instance without the change log, even if
  // the key is not known here.
  bool emergency = false;
};

struct DrainRequest {
  std::string author;
  InstanceId instance;
};

// Position and configuration version after a change was logged.
struct ChangeReply {
  ChangeSequence sequence;
  ConfigVersion config_version;
};

struct WithdrawKeyReply {
  // Position in the change log; empty if the withdrawal is not logged yet.
  std::optional<ChangeSequence> sequence;
  // Instances that acknowledged an emergency withdrawal, and the size of the
  // instance list.
  std::vector<InstanceId> reached;
  int listed = 0;

  // Whether the withdrawal is logged or was acknowledged by a strict majority
  // of the listed instances. An empty instance list has no majority.
  bool confirmed() const {
    return sequence.has_value() ||
           (listed > 0 && static_cast<int>(reached.size()) * 2 > listed);
  }
};

struct KeyStatus {
  KeyId key;
  CustomerId customer;
  bool withdrawn = false;
};

// The keys in force at position `sequence`, sorted by key.
struct KeyListing {
  ChangeSequence sequence;
  std::vector<KeyStatus> keys;
};

// kOpen: not closed yet. kClosed: closed, but not sealed. kSealed: the totals
// are final. kReported: the sealed totals were reported.
enum class UsageWindowState { kOpen, kClosed, kSealed, kReported };

// Usage of one customer in one window.
struct UsageLine {
  UsageWindow window;
  CustomerId customer;
  std::int64_t requests = 0;
  Tokens prompt_tokens;
  Tokens output_tokens;
  UsageWindowState state = UsageWindowState::kOpen;
};

}  // namespace bamboomount

#endif  // ADMIN_OPERATOR_MESSAGES_H_
