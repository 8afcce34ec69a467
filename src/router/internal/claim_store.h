#ifndef ROUTER_INTERNAL_CLAIM_STORE_H_
#define ROUTER_INTERNAL_CLAIM_STORE_H_

#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "provider/provider.h"

namespace bamboomount {

// The kept answer of a call that ran.
struct StoredResponse {
  int status = 0;
  std::string content_type;
  std::string body;
};

// The right to send one non-idempotent call.
struct Claim {
  std::string row_key;
  std::string body_digest;
  // Tells this claim from others under the same row key.
  std::string nonce;
  RowVersion version;
};

// The end of a claim.
struct ClaimUpdate {
  Claim claim;
  // Kept for repeats of the call; empty gives the claim back, which is allowed
  // only if no byte of the call was sent.
  std::optional<StoredResponse> response;
};

// Another router, or an earlier request, holds the claim and has not finished.
struct ClaimInProgress {};

// The Idempotency-Key was used with another body.
struct ClaimBodyMismatch {};

using ClaimOutcome =
    std::variant<Claim, StoredResponse, ClaimInProgress, ClaimBodyMismatch>;

// Claim rows in the platform's table, which make a non-idempotent call run at
// most once over all routers. Calls block. Thread-safe.
class ClaimStore {
 public:
  // Each call waits at most `timeout` for one answer of the store.
  ClaimStore(TableStore& table, InstanceId self, Millis timeout);

  static std::string MakeRowKey(const std::string& customer,
                                const std::string& path,
                                const std::string& idempotency_key);

  // Takes the claim if nobody has it. Fails with kStoreUnavailable and verdict
  // kNotRun if it cannot be known that the claim is ours.
  Result<ClaimOutcome> Acquire(const std::string& row_key,
                               const std::string& body_digest);
  // If the store does not answer, the update is repeated by
  // RetryPendingUpdates.
  void Update(ClaimUpdate update);
  // Leaves the update to RetryPendingUpdates; does not block.
  void QueueUpdate(ClaimUpdate update);

  // Repeats the updates that failed; call it every second or so. Returns how
  // many are still pending.
  std::size_t RetryPendingUpdates();

 private:
  bool TryUpdate(const ClaimUpdate& update);

  TableStore& table_;
  const InstanceId self_;
  const Millis timeout_;
  std::mutex mutex_;
  std::vector<ClaimUpdate> pending_updates_;
};

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_CLAIM_STORE_H_
