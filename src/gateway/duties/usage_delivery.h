#ifndef GATEWAY_DUTIES_USAGE_DELIVERY_H_
#define GATEWAY_DUTIES_USAGE_DELIVERY_H_

#include "gateway/duties/usage_ledger.h"
#include "gateway/membership/member.h"

namespace bamboomount {

// The holder of the duty lease confirms with it that it has received the final
// counts of an incarnation by gossip.
struct UsageReceipt {
  Incarnation incarnation;
  // The tenure of the holder that received the counts.
  FencingToken token;
  // Every window up to and including this one has arrived.
  WindowNumber complete_through;
};

// Tracks which of this instance's usage no longer depends on this process:
// windows that are sealed in the store, and windows whose counts the present
// holder of the duty lease has received. Not thread-safe.
class UsageDelivery {
 public:
  // Records that the lease is held with `token`. What an earlier holder has
  // received but not sealed must be delivered again, because its process may
  // have ended.
  void ObserveHolder(FencingToken token);
  // Records that the counts of every window up to `window` reached the holder
  // with `token`. Ignored if a newer holder is known.
  void RecordReceived(FencingToken token, WindowNumber window);
  // Records that every window up to `window` is sealed.
  void ObserveSealed(WindowNumber window);

  WindowNumber sealed_through() const { return sealed_through_; }
  // Newest window that is sealed or has been received by the present holder,
  // as are all windows before it.
  WindowNumber delivered_through() const;

 private:
  FencingToken token_;
  WindowNumber received_through_;
  WindowNumber sealed_through_;
};

}  // namespace bamboomount

#endif  // GATEWAY_DUTIES_USAGE_DELIVERY_H_
