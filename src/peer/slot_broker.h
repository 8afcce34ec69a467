#ifndef PEER_SLOT_BROKER_H_
#define PEER_SLOT_BROKER_H_

#include <functional>

#include "base/base.h"
#include "policy/policy.h"

namespace bamboomount {

// A granted slot: permission to run one request on a backend server.
struct Slot {
  RequestId request;
  BackendId backend;
};

// Obtains slots on backend servers for the requests of this router.
// Thread-safe.
class SlotBroker {
 public:
  using Callback = std::function<void(Result<Slot>)>;

  virtual ~SlotBroker() = default;

  // Requests a slot in `pool`. Calls `done` exactly once, from any thread and
  // possibly before Request returns, unless the request is cancelled first.
  // Errors have verdict kNotRun.
  virtual void Request(const PoolId& pool,
                       const SlotRequest& request,
                       Callback done) = 0;
  // Cancels a request; if it was already granted, its slot is freed. `done`
  // does not start after Cancel has returned.
  virtual void Cancel(const RequestId& request) = 0;
  // Returns a granted slot with the outcome of the request. Ignored if the
  // request holds no slot.
  virtual void Release(const RequestId& request,
                       const SlotOutcome& outcome) = 0;
  // Reports the total number of tokens that a running request has generated so
  // far.
  virtual void ReportProgress(const RequestId& request, Tokens generated) = 0;
};

}  // namespace bamboomount

#endif  // PEER_SLOT_BROKER_H_
