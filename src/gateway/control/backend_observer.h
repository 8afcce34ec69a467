#ifndef GATEWAY_CONTROL_BACKEND_OBSERVER_H_
#define GATEWAY_CONTROL_BACKEND_OBSERVER_H_

#include <vector>

#include "gateway/control/state_decoder.h"
#include "gateway/forwarding/dispatcher.h"
#include "gateway/replication/table_follower.h"

namespace bamboomount {

// Keeps the registry of backend servers, and gives waiting requests another
// chance when it changes.
class BackendObserver : public TableObserver {
 public:
  // An outage of the store that lasted this long may have let rows of live
  // servers lapse. A shorter one, or one in which other instances still reached
  // the store, has not.
  static constexpr Millis kMinOutageDuration{1500};

  BackendObserver(const StateDecoder& decoder, Dispatcher& dispatcher)
      : decoder_(decoder), dispatcher_(dispatcher) {}

  void OnSnapshot(const std::vector<TableRow>& rows) override;
  void OnChanges(const std::vector<TableRow>& rows) override;
  void OnConfirmed(const StoreResponseInfo& info) override;
  void OnConfirmedByPeer(Millis store_time) override;
  void OnStoreRecovered(const StoreResponseInfo& info) override;

 private:
  void ApplyChange(const TableRow& row, Instant now);
  // Logs rows that are new or say something new beside their sequence number.
  void ProcessListedServer(const BackendServer& server);
  void ExpireAndWakeWaiting(Instant now);

  BackendRegistry& backends() { return dispatcher_.state().backends(); }

  const StateDecoder& decoder_;
  Dispatcher& dispatcher_;
  std::uint64_t revision_ = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_BACKEND_OBSERVER_H_
