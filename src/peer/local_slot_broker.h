#ifndef PEER_LOCAL_SLOT_BROKER_H_
#define PEER_LOCAL_SLOT_BROKER_H_

#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "peer/slot_broker.h"
#include "state/state.h"

namespace bamboomount {

// Grants slots from this router's own queues, without contacting other routers.
// Suits a single router, and serves as the local budget while the owner of a
// cell is unreachable. Thread-safe; callbacks run on the calling thread without
// a lock.
class LocalSlotBroker : public SlotBroker {
 public:
  // The slots of each backend server are divided by `divisor` and rounded down,
  // but are at least one.
  LocalSlotBroker(const ServiceConfig& config, int divisor);

  void Configure(const ServiceConfig& config, int divisor);

  void Request(const PoolId& pool,
               const SlotRequest& request,
               Callback done) override;
  void Cancel(const RequestId& request) override;
  void Release(const RequestId& request, const SlotOutcome& outcome) override;
  void ReportProgress(const RequestId& request, Tokens generated) override;

  void MarkLeaving(const BackendId& backend);
  // Refuses requests that have waited too long. Call several times a second.
  void Tick();

 private:
  struct PendingRequest {
    PoolId pool;
    Callback done;
  };
  using DueCallback = std::pair<Callback, Result<Slot>>;

  std::vector<DueCallback> TakeDueCallbacks(const PoolId& pool);
  static void RunCallbacks(std::vector<DueCallback>&& due);

  std::mutex mutex_;
  std::map<PoolId, CellScheduler> schedulers_;
  std::unordered_map<RequestId, PendingRequest> pending_;
  std::unordered_map<RequestId, PoolId> granted_;
};

}  // namespace bamboomount

#endif  // PEER_LOCAL_SLOT_BROKER_H_
