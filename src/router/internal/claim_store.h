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

// The stored response of a call that ran, sent again when its caller retries.
struct StoredResponse {
  int status = 0;
  std::string content_type;
  std::string body;
};

// The exclusive right to send one non-idempotent call.
struct Claim {
  std::string row_key;
  std::string body_digest;
  // Distinguishes this claim from others with the same row key.
  std::string nonce;
  RowVersion version;
};

// Completes or releases a claim.
struct ClaimUpdate {
  Claim claim;
  // Stored for retries of the caller. Empty releases the claim, which is
  // allowed only if no byte of the call was sent.
  std::optional<StoredResponse> response;
};

// Another router or an earlier request holds the claim and has not stored a
// response, or the row of the claim is malformed.
struct ClaimInProgress {};

// The Idempotency-Key was used with another method, query or body.
struct ClaimBodyMismatch {};

using ClaimOutcome =
    std::variant<Claim, StoredResponse, ClaimInProgress, ClaimBodyMismatch>;

// Claims as rows of the platform's table, so that a non-idempotent call runs at
// most once across all routers. Acquire, Update and RetryPendingUpdates block
// on the store. Thread-safe.
class ClaimStore {
 public:
  // `timeout` limits the wait for each response of the store.
  ClaimStore(TableStore& table, InstanceId self, Millis timeout);

  static std::string MakeRowKey(const std::string& customer,
                                const std::string& path,
                                const std::string& idempotency_key);

  // Takes the claim if it is free. Fails with kStoreUnavailable and verdict
  // kNotRun if it cannot be confirmed that this router holds the claim.
  Result<ClaimOutcome> Acquire(const std::string& row_key,
                               const std::string& body_digest);
  // Writes the update. If the store does not respond, queues it for
  // RetryPendingUpdates.
  void Update(ClaimUpdate update);
  // Queues the update for RetryPendingUpdates; does not block.
  void QueueUpdate(ClaimUpdate update);

  // Retries the queued updates; to be called about once a second. Returns how
  // many are still pending.
  std::size_t RetryPendingUpdates();

 private:
  // Returns false if the store does not respond.
  bool TryUpdate(const ClaimUpdate& update);

  TableStore& table_;
  const InstanceId self_;
  const Millis timeout_;
  std::mutex mutex_;
  std::vector<ClaimUpdate> pending_updates_;
};

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_CLAIM_STORE_H_
