#ifndef PEER_SLOT_BROKER_H_
#define PEER_SLOT_BROKER_H_

#include <functional>

#include "base/base.h"
#include "policy/policy.h"

namespace bamboomount {

// A granted place on a backend server.
struct Slot {
  RequestId request;
  BackendId backend;
};

// Gives out slots on backend servers to the requests of this router.
// Thread-safe.
class SlotBroker {
 public:
  using Callback = std::function<void(Result<Slot>)>;

  virtual ~SlotBroker() = default;

  // Calls `done` exactly once, from any thread and possibly before Request
  // returns, unless the request is cancelled first. Failures have verdict
  // kNotRun.
  virtual void Request(const PoolId& pool,
                       const SlotRequest& request,
                       Callback done) = 0;
  // Withdraws a request. If it was granted already, its slot is freed. `done`
  // does not start after Cancel has returned.
  virtual void Cancel(const RequestId& request) = 0;
  // Returns a granted slot.
  virtual void Release(const RequestId& request,
                       const SlotOutcome& outcome) = 0;
  // Tells how many tokens a running request has produced so far.
  virtual void ReportProgress(const RequestId& request, Tokens generated) = 0;
};

}  // namespace bamboomount

#endif  // PEER_SLOT_BROKER_H_
