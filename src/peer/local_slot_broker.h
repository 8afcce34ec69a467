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

// Gives out slots by this router's own queues, without asking other routers.
// Serves a single router, and as the local budget while the owner of a cell
// cannot be reached.
class LocalSlotBroker : public SlotBroker {
 public:
  // Slots of each backend server are divided by `divisor`, at least one each.
  LocalSlotBroker(const ServiceConfig& config, int divisor);

  void Configure(const ServiceConfig& config, int divisor);

  void Request(const PoolId& pool,
               const SlotRequest& request,
               Callback done) override;
  void Cancel(const RequestId& request) override;
  void Release(const RequestId& request, const SlotOutcome& outcome) override;
  void ReportProgress(const RequestId& request, Tokens generated) override;

  void MarkLeaving(const BackendId& backend);
  // Sheds requests whose wait has become too long; call a few times a second.
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
