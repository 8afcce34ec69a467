#ifndef GATEWAY_CONTROL_BACKEND_OBSERVER_H_
#define GATEWAY_CONTROL_BACKEND_OBSERVER_H_

#include <vector>

#include "gateway/control/state_decoder.h"
#include "gateway/forwarding/dispatcher.h"
#include "gateway/replication/table_follower.h"

namespace bamboomount {

// Keeps the registry of backend servers in line with the store, and wakes
// waiting requests when it changes.
class BackendObserver : public TableObserver {
 public:
  BackendObserver(const StateDecoder& decoder, Dispatcher& dispatcher)
      : decoder_(decoder), dispatcher_(dispatcher) {}

  void OnSnapshot(const std::vector<TableRow>& rows) override;
  void OnChanges(const std::vector<TableRow>& rows) override;
  void OnConfirmed(const StoreResponseInfo& info) override;
  void OnConfirmedByPeer(Millis store_time) override;
  void OnStoreRestored(Millis store_time) override;
  void OnStoreRecovered(const StoreResponseInfo& info) override;

 private:
  void ApplyChange(const TableRow& row, Instant now);
  // Logs servers that are new or whose draining state, address or start time
  // has changed. Drops the connections and the health record of a server that
  // was restarted.
  void ProcessListedServer(const BackendServer& server);
  void ExpireAndWakeWaiting(Instant now);

  BackendRegistry& backends() { return dispatcher_.state().backends(); }

  const StateDecoder& decoder_;
  Dispatcher& dispatcher_;
  std::uint64_t revision_ = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_BACKEND_OBSERVER_H_
