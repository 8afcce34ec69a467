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

enum class InstanceCondition { kLive, kSuspected, kLeaving };

// What is known of one instance. Of other instances it is what they last told.
struct InstanceStatus {
  InstanceId instance;
  ZoneId zone;
  // Where callers and where operators connect.
  std::string address;
  std::string admin_address;
  InstanceCondition condition = InstanceCondition::kLive;
  // Position of the change log and configuration in force there; the version
  // is empty where it is not known.
  ChangeSequence sequence;
  std::optional<ConfigVersion> config_version;
  Freshness freshness = Freshness::kStale;
  // Since the state was confirmed against the store.
  std::optional<Millis> confirmation_age;
};

enum class BackendCondition { kUp, kStraggler, kDown, kLeaving };

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

struct LeaseStatus {
  InstanceId holder;
  FencingToken token;
};

struct FleetStatus {
  // The instance that answers.
  InstanceStatus self;
  // All known instances, the one that answers included.
  std::vector<InstanceStatus> instances;
  std::vector<BackendStatus> backends;
  std::optional<LeaseStatus> lease;
  bool store_answers = false;
  // Withdrawals that are in force here and not yet in the log.
  std::vector<KeyId> emergency_withdrawals;
};

struct HealthStatus {
  bool serving = false;
  // For people.
  std::string detail;
};

struct ConfigReply {
  ConfigVersion version;
  ChangeSequence sequence;
  std::string author;
  std::int64_t unix_seconds = 0;
  std::string text;
};

struct ApplyConfigRequest {
  std::string author;
  ConfigVersion base;
  std::string text;
};

struct GrantKeyRequest {
  std::string author;
  KeyId key;
  // The key itself stays with the operator.
  KeyDigest digest;
  CustomerId customer;
};

struct WithdrawKeyRequest {
  std::string author;
  KeyId key;
  // Puts the withdrawal in force here even if the store does not answer or the
  // key is not known here.
  bool emergency = false;
};

struct DrainRequest {
  std::string author;
  InstanceId instance;
};

// A change that is in the log.
struct ChangeReply {
  ChangeSequence sequence;
  ConfigVersion config_version;
};

struct WithdrawKeyReply {
  // Empty for a withdrawal that is not in the log yet.
  std::optional<ChangeSequence> sequence;
  // Instances known to have an emergency withdrawal, and how many are listed.
  std::vector<InstanceId> reached;
  int listed = 0;

  // In the log, or reached a strict majority of the listed instances. Without
  // a list no majority is defined.
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

struct KeyListing {
  ChangeSequence sequence;
  std::vector<KeyStatus> keys;
};

enum class UsageWindowState { kOpen, kClosed, kSealed, kReported };

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
