#ifndef GATEWAY_CONTROL_BACKEND_OBSERVER_H_
#define GATEWAY_CONTROL_BACKEND_OBSERVER_H_

#include <vector>

#include "gateway/control/state_decoder.h"
#include "gateway/control/table_follower.h"
#include "gateway/forwarding/dispatcher.h"

namespace bamboomount {

// Keeps the registry of backend servers, and gives waiting requests another
// chance when it changes.
class BackendObserver : public TableObserver {
 public:
  BackendObserver(const StateDecoder& decoder, Dispatcher& dispatcher)
      : decoder_(decoder), dispatcher_(dispatcher) {}

  void OnTable(const std::vector<TableRow>& rows,
               const StoreMoment& moment) override;
  void OnChanges(const std::vector<TableRow>& rows,
                 const StoreMoment& moment) override;
  void OnStoreAway(const Error& error) override;
  void OnStoreBack(Instant now) override;

 private:
  void ApplyChange(const TableRow& row, Instant now);
  // Logs rows that are new or say something new beside their sequence number.
  void NoteListed(const BackendServer& server);
  void Settle(Instant now);

  BackendRegistry& backends() { return dispatcher_.state().backends(); }

  const StateDecoder& decoder_;
  Dispatcher& dispatcher_;
  std::uint64_t revision_ = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_BACKEND_OBSERVER_H_
